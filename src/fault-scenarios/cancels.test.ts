/** Scenarios in which users cancel jobs while controllers, links or the state service fail. */
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
  submission,
  tasksOf,
  untilStopped,
} from '../testing/cluster.js';
import { scenario } from '../testing/scenario.js';

/**
 * Time limit, in ms, for a team to use up its quota. The last tasks may have to wait until the shares of the
 * quota are distributed to the blocks again, which happens once per share period.
 */
const quotaSettlingMs = defaultOperatorSettings.blocks.quotaSharePeriodS * 1000 + 15_000;
/** The index of a controller, by which users address it. */
const nodeOf = (label: string): number => labels.indexOf(label);

/** Waits for a job whose running tasks, two or more, are all on machines of one controller; returns both. */
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

/** How often tasks of the job were started. */
const startCountOf = (cluster: Cluster, id: string): number =>
  cluster.history.events.filter((h) => h.kind === 'started' && h.task.startsWith(`${id}/`)).length;

// The state service refuses one controller, a peer confirms a cancel to the user, and then the service is
// down for all controllers. Guards against a refused controller that measures the outage from the last
// response that it received and assumes that its peers agree with it, although one of them confirmed a cancel
// between the two faults. Only the cancelled tasks may end; the tasks of all other jobs continue.
scenario(
  'a job is cancelled while the state service refuses only the owner of its tasks, and is down for all a moment later',
  { port: 23_000, taskMs: untilStopped, capacity: 6 },
  async (cluster) => {
    const ids = ['req-000001', 'req-000002', 'req-000003'];
    for (const [i, id] of ids.entries()) await cluster.submitUntilAccepted(submission(id, 4), i);
    const { id, owner } = await awaitJobWithOneOwner(cluster, ids);
    const others = ids.filter((other) => other !== id);
    await cluster.waitUntil('all tasks run', () => ids.every((one) => cluster.runningOf(one).length === 4));
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
    // The statuses of its peers allowed the owner to renew the other worker leases: no other task ended.
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

// Guards against a controller that confirms a cancel to the user but does not stop the tasks in its own
// block, because it waits for the watch to deliver the cancellation and the watch never does.
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

// Guards against a controller that continues to answer heartbeats, and thereby to renew worker leases, while
// it receives no status from a peer that has confirmed a cancel.
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

// Guards against a restarted peer whose statuses are taken as a complete list of confirmed cancellations: its
// new incarnation does not list the cancellations that the previous one confirmed.
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
    // The links first deliver the delayed statuses of both incarnations, then the current ones of the new
    // incarnation.
    for (const link of cluster.peerLinksOf(owner)) link.heal();
    await pause(cancelDeadlineMs * 1.2);
    assert.deepEqual(cluster.runningOf(id), []);
    cluster.store.refusedClients.clear();
    cluster.store.hasOutage = false;
  },
);

// Guards against a partitioned leader that continues to run tasks and to answer users on outdated data: the
// other controllers confirm cancels, and the leader never receives these.
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

// Guards against outdated answers to users and against tasks that are halted too late, while the state
// service first answers slowly and then not at all.
scenario(
  'the state service is slow, refuses the leader alone and then all controllers, while users cancel and query jobs',
  { port: 23_200, taskMs: untilStopped, capacity: 6 },
  async (cluster) => {
    const ids = ['req-000001', 'req-000002', 'req-000003', 'req-000004', 'req-000005'];
    for (const [i, id] of ids.entries()) await cluster.submitUntilAccepted(submission(id, 2), i);
    await cluster.waitUntil('all tasks run', () => ids.every((id) => cluster.runningOf(id).length === 2));
    const askAllControllers = async (): Promise<void> => {
      await Promise.all(ids.flatMap((id) => [0, 1, 2].map((node) => cluster.queryStatus(node, id))));
    };
    cluster.store.answerDelayMs = 300;
    await cluster.cancelUntilEnded(ids[0] ?? '');
    await askAllControllers();
    cluster.store.refusedClients.add(await cluster.waitForLeader());
    await cluster.cancelUntilEnded(ids[1] ?? '');
    const cancelBeforeOutage = cluster.cancel(0, ids[2] ?? '');
    cluster.store.hasOutage = true;
    await cancelBeforeOutage;
    await askAllControllers();
    await pause(cancelDeadlineMs * 1.2);
    await askAllControllers();
    for (const id of ids.slice(0, 2)) assert.deepEqual(cluster.runningOf(id), []);
    cluster.store.refusedClients.clear();
    cluster.store.hasOutage = false;
    cluster.store.answerDelayMs = 0;
    for (const id of ids) assert.equal(await cluster.cancelUntilEnded(id), 'cancelled');
    await askAllControllers();
  },
);

// Guards against quota of a team that is used twice: the new leader grants it again while tasks still use it
// on machines that have not yet reported to the new leader.
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
    // A job of another team causes more machines to be rented. Its cancellation then frees capacity on them.
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

// Guards against a job with two outcomes: the outcome that the first user received must be the one for all
// users.
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
