/**
 * Scenarios in which users cancel jobs while controllers, the links between them or the state service fail.
 */
import assert from 'node:assert/strict';
import { defaultOperatorSettings } from '../settings/operator.js';
import {
  cancelDeadlineMs,
  type Cluster,
  everyTask,
  labels,
  workerLeaseMs,
  pause,
  heartbeatIntervalMs,
  tasksOf,
  untilStopped,
} from '../testing/cluster.js';
import { scenario } from '../testing/scenario.js';
import { submission } from '../testing/submission.js';

/**
 * Time limit, in ms, for a team to use up its quota. Some tasks may have to wait until the quota is divided
 * among the blocks again, which happens once per share period.
 */
const quotaSettlingMs = defaultOperatorSettings.blocks.quotaSharePeriodS * 1000 + 15_000;
/** Returns the index of a controller in `labels`. The methods of `Cluster` take this index as `node`. */
const nodeOf = (label: string): number => labels.indexOf(label);

/**
 * Waits until one of the jobs has at least two running tasks, all on machines of the same controller. Returns
 * the id of this job and the label of the controller.
 */
async function awaitJobWithOneOwner(cluster: Cluster, ids: string[]): Promise<{ id: string; owner: string }> {
  let found: { id: string; owner: string } | undefined;
  await cluster.waitUntil('all running tasks of a job are on machines of one controller', () => {
    for (const id of ids) {
      const machines = [...cluster.workers.values()].filter((w) =>
        w.running.some((p) => p.startsWith(`${id}/`)),
      );
      const owners = new Set(machines.map((w) => cluster.ownerOf(w.machine.id)));
      const [owner] = owners;
      if (owner !== undefined && owners.size === 1 && cluster.runningOf(id).length >= 2)
        found = { id, owner };
    }
    return found !== undefined;
  });
  return found ?? { id: '', owner: '' };
}

/** Returns the number of task starts of a job. A task that was started several times counts several times. */
const startCountOf = (cluster: Cluster, id: string): number =>
  cluster.history.events.filter((h) => h.kind === 'started' && h.task.startsWith(`${id}/`)).length;

// First the state service refuses one controller, then a peer confirms a cancel to the user, and then the
// state service fails for all controllers. The refused controller must not take the time of its own
// latest response from the state service as the beginning of the outage. It would then assume that its peers
// have the same data, and would miss the cancel. Only the cancelled tasks may end; the tasks of all other
// jobs continue.
scenario(
  'a job is cancelled while the state service refuses only the owner of its tasks, and is down for all a moment later',
  { port: 23_000, taskMs: untilStopped, capacity: 6 },
  async (cluster) => {
    const ids = ['req-000001', 'req-000002', 'req-000003'];
    for (const [i, id] of ids.entries()) await cluster.submitUntilAccepted(submission(id, 4), i);
    const { id, owner } = await awaitJobWithOneOwner(cluster, ids);
    const others = ids.filter((other) => other !== id);
    await cluster.waitUntil('all tasks run', () =>
      ids.every((jobId) => cluster.runningOf(jobId).length === 4),
    );
    cluster.store.refusedClients.add(owner);
    await pause(heartbeatIntervalMs / 4);
    const status = await cluster.cancelUntilEnded(
      id,
      [0, 1, 2].filter((node) => node !== nodeOf(owner)),
    );
    assert.equal(status, 'cancelled');
    cluster.store.hasOutage = true;
    await cluster.waitUntil(
      'the tasks of the cancelled job have ended',
      () => cluster.runningOf(id).length === 0,
      cancelDeadlineMs,
    );
    await pause(cancelDeadlineMs * 1.2);
    // No other task ended, because the statuses of its peers allowed the owner to renew the worker leases.
    for (const other of others)
      assert.deepEqual([cluster.runningOf(other).length, startCountOf(cluster, other)], [4, 4]);
    cluster.store.refusedClients.clear();
    cluster.store.hasOutage = false;
    await cluster.waitUntil(
      'the owner of the tasks reports the job as cancelled',
      async () => (await cluster.queryStatus(nodeOf(owner), id)) === 'cancelled',
    );
  },
);

// A controller confirms a cancel to the user, and the state service fails before the controller's watch
// delivers the cancellation. If the controller waited for the watch before it stopped the tasks in its own
// block, these tasks would continue to run.
scenario(
  'the owner of the tasks confirms a cancel, and the state service fails before the watch delivers the cancellation',
  { port: 23_040, taskMs: untilStopped, capacity: 6 },
  async (cluster) => {
    const ids = ['req-000001', 'req-000002', 'req-000003'];
    for (const [i, id] of ids.entries()) await cluster.submitUntilAccepted(submission(id, 3), i);
    const { id, owner } = await awaitJobWithOneOwner(cluster, ids);
    assert.equal(await cluster.cancelUntilEnded(id, [nodeOf(owner)]), 'cancelled');
    cluster.store.hasOutage = true;
    await cluster.waitUntil(
      'the tasks of the cancelled job have ended',
      () => cluster.runningOf(id).length === 0,
      workerLeaseMs,
    );
    await pause(cancelDeadlineMs);
    cluster.store.hasOutage = false;
  },
);

// A controller can reach neither the state service nor its peers, and a peer confirms a cancel to the user.
// If the controller continued to answer heartbeats, it would renew the worker leases, and the cancelled tasks
// would continue to run.
scenario(
  'one controller cannot reach state service and peers during a cancel: all its worker leases expire in time',
  { port: 23_080, taskMs: untilStopped, capacity: 6 },
  async (cluster) => {
    const ids = ['req-000001', 'req-000002', 'req-000003'];
    for (const [i, id] of ids.entries()) await cluster.submitUntilAccepted(submission(id, 3), i);
    const { id, owner } = await awaitJobWithOneOwner(cluster, ids);
    cluster.store.refusedClients.add(owner);
    for (const link of cluster.peerLinksOf(owner)) link.cut();
    await cluster.cancelUntilEnded(
      id,
      [0, 1, 2].filter((node) => node !== nodeOf(owner)),
    );
    cluster.store.hasOutage = true;
    await pause(cancelDeadlineMs * 1.2);
    assert.deepEqual(cluster.runningOf(id), []);
    cluster.store.refusedClients.clear();
    cluster.store.hasOutage = false;
    for (const link of cluster.peerLinksOf(owner)) link.heal();
  },
);

// A peer confirms a cancel and then restarts during the outage. Its new incarnation does not list the
// cancellations that the previous incarnation confirmed. If the owner of the tasks assumed that the list of
// the new incarnation is complete, the cancelled tasks would continue to run.
scenario(
  'the peer that confirmed a cancel restarts during the outage of the state service',
  { port: 23_120, taskMs: untilStopped, capacity: 6 },
  async (cluster) => {
    const ids = ['req-000001', 'req-000002', 'req-000003'];
    for (const [i, id] of ids.entries()) await cluster.submitUntilAccepted(submission(id, 3), i);
    const { id, owner } = await awaitJobWithOneOwner(cluster, ids);
    const confirmingNode = (nodeOf(owner) + 1) % 3;
    cluster.store.refusedClients.add(owner);
    for (const link of cluster.peerLinksOf(owner)) link.cut();
    await cluster.cancelUntilEnded(id, [confirmingNode]);
    cluster.store.hasOutage = true;
    await cluster.restart(labels[confirmingNode] ?? '', 50);
    // The links first deliver the delayed statuses of both incarnations of the peer, then the current
    // statuses of its new incarnation.
    for (const link of cluster.peerLinksOf(owner)) link.heal();
    await pause(cancelDeadlineMs * 1.2);
    assert.deepEqual(cluster.runningOf(id), []);
    cluster.store.refusedClients.clear();
    cluster.store.hasOutage = false;
  },
);

// The leader is partitioned from the state service and its peers, so it never receives the cancels that the
// other controllers confirm. It must not continue to run the cancelled tasks or answer users from outdated
// data.
scenario(
  'the leader is partitioned from state service and peers, not from workers and users, and its peers cancel jobs',
  { port: 23_160, taskMs: untilStopped, capacity: 6 },
  async (cluster) => {
    const ids = ['req-000001', 'req-000002', 'req-000003', 'req-000004'];
    for (const [i, id] of ids.entries()) await cluster.submitUntilAccepted(submission(id, 3), i);
    await cluster.waitUntil('all tasks run', () => ids.every((id) => cluster.runningOf(id).length === 3));
    const leader = await cluster.waitForLeader();
    const otherNodes = [0, 1, 2].filter((node) => node !== nodeOf(leader));
    cluster.store.partitionedClients.add(leader);
    for (const link of cluster.peerLinksOf(leader)) link.cut();
    for (const id of ids) await cluster.cancelUntilEnded(id, otherNodes);
    // The partitioned leader may leave status requests unanswered, but must not return an outdated status.
    for (let i = 0; i < 10; i++) {
      for (const id of ids) await cluster.queryStatus(nodeOf(leader), id);
      await pause(cancelDeadlineMs / 8);
    }
    for (const id of ids) assert.deepEqual(cluster.runningOf(id), []);
    cluster.store.partitionedClients.clear();
    for (const link of cluster.peerLinksOf(leader)) link.heal();
    await cluster.waitUntil(
      'the partitioned controller reports the cancellation',
      async () => (await cluster.queryStatus(nodeOf(leader), ids[0] ?? '')) === 'cancelled',
    );
  },
);

// The state service first answers slowly and then not at all. Guards against outdated answers to users, and
// against tasks of cancelled jobs that are halted too late.
scenario(
  'the state service is slow, refuses the leader alone and then all controllers, while users cancel and query jobs',
  { port: 23_200, taskMs: untilStopped, capacity: 6 },
  async (cluster) => {
    const ids = ['req-000001', 'req-000002', 'req-000003', 'req-000004', 'req-000005'];
    for (const [i, id] of ids.entries()) await cluster.submitUntilAccepted(submission(id, 2), i);
    await cluster.waitUntil('all tasks run', () => ids.every((id) => cluster.runningOf(id).length === 2));
    const queryAllControllers = async (): Promise<void> => {
      await Promise.all(ids.flatMap((id) => [0, 1, 2].map((node) => cluster.queryStatus(node, id))));
    };
    cluster.store.answerDelayMs = 300;
    await cluster.cancelUntilEnded(ids[0] ?? '');
    await queryAllControllers();
    cluster.store.refusedClients.add(await cluster.waitForLeader());
    await cluster.cancelUntilEnded(ids[1] ?? '');
    const cancelBeforeOutage = cluster.cancel(0, ids[2] ?? '');
    cluster.store.hasOutage = true;
    await cancelBeforeOutage;
    await queryAllControllers();
    await pause(cancelDeadlineMs * 1.2);
    await queryAllControllers();
    for (const id of ids.slice(0, 2)) assert.deepEqual(cluster.runningOf(id), []);
    cluster.store.refusedClients.clear();
    cluster.store.hasOutage = false;
    cluster.store.answerDelayMs = 0;
    for (const id of ids) assert.equal(await cluster.cancelUntilEnded(id), 'cancelled');
    await queryAllControllers();
  },
);

// A new leader is elected while a team uses its full quota. Some of the machines with tasks are partitioned,
// so they send no heartbeats during the change of leaders. If the new leader did not count the tasks on these
// machines, it would grant the same quota a second time.
scenario(
  'a team is at its quota when the leader fails over, some of the machines are partitioned, and a job is cancelled',
  { port: 23_240, taskMs: 2500, capacity: 10 },
  async (cluster) => {
    const [cancelled, running] = ['req-000001', 'req-000002'];
    const waiting = ['req-000003', 'req-000004'];
    const otherTeamJob = 'req-000009';
    cluster.shouldHoldTask = everyTask;
    for (const [i, id] of [cancelled, running].entries())
      await cluster.submitUntilAccepted(submission(id, 6), i);
    await cluster.waitUntil(
      'the team has used up its quota',
      () => [cancelled, running].every((id) => cluster.runningOf(id).length === 6),
      quotaSettlingMs,
    );
    // A job of another team causes more machines to be rented. This job is cancelled below, which frees
    // capacity on these machines.
    await cluster.submitUntilAccepted(submission(otherTeamJob, 18, { owner: 'blue' }));
    await cluster.waitUntil(
      'all tasks of the other team run',
      () => cluster.runningOf(otherTeamJob).length === 18,
    );
    for (const [i, id] of waiting.entries()) await cluster.submitUntilAccepted(submission(id, 8), i);
    await cluster.waitForStatusEverywhere(waiting, 'pending', cancelDeadlineMs);
    cluster.shouldHoldTask = tasksOf(otherTeamJob, cancelled);
    const busyWorkers = [...cluster.workers.values()].filter((w) => w.running.length > 0);
    for (const worker of busyWorkers.slice(0, Math.ceil(busyWorkers.length / 2))) worker.isPartitioned = true;
    const leader = await cluster.waitForLeader();
    cluster.stopController(leader);
    const statuses = await Promise.all([
      cluster.cancelUntilEnded(otherTeamJob),
      cluster.cancelUntilEnded(cancelled),
    ]);
    assert.deepEqual(statuses, ['cancelled', 'cancelled']);
    await pause(workerLeaseMs * 1.2);
    for (const worker of busyWorkers) worker.isPartitioned = false;
    cluster.startController(leader);
    await cluster.waitUntilAllDone([running, ...waiting]);
  },
);

// Cancels, status requests and repeated submissions arrive at all controllers as a job ends. Guards against a
// job that is reported as done to one user and as cancelled to another. The outcome that the first user
// received must be the outcome for all users.
scenario(
  'cancels, status requests and repeated submissions arrive as the last task of a job ends',
  { port: 23_280, taskMs: 500 },
  async (cluster) => {
    const ids = Array.from({ length: 8 }, (_, i) => `req-00000${i}`);
    const requests: Promise<unknown>[] = [];
    const sendConcurrentRequests = (id: string): void => {
      for (const [i, node] of [0, 1, 2, 0, 1].entries()) {
        const delayMs = i * 40;
        requests.push(
          pause(delayMs).then(() => cluster.cancel(node, id)),
          pause(delayMs).then(() => cluster.queryStatus(node, id)),
          pause(delayMs).then(() => cluster.submit(node, submission(id, 2))),
        );
      }
    };
    const remainingTasks = new Map(ids.map((id) => [id, 2]));
    cluster.onTaskCompleted = (task) => {
      const id = task.split('/')[0] ?? '';
      remainingTasks.set(id, (remainingTasks.get(id) ?? 0) - 1);
      if (remainingTasks.get(id) === 0) sendConcurrentRequests(id);
    };
    for (const [i, id] of ids.entries()) await cluster.submitUntilAccepted(submission(id, 2), i);
    for (const id of ids) {
      await cluster.waitUntil('the job has ended', async () =>
        ['done', 'cancelled'].includes(await cluster.queryStatus(0, id)),
      );
    }
    await Promise.all(requests);
    for (const id of ids) {
      const statuses = await Promise.all([0, 1, 2].map((node) => cluster.queryStatus(node, id)));
      assert.equal(new Set(statuses).size, 1);
    }
  },
);
