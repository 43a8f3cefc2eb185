/** Scenarios in which the leader fails, once or repeatedly, while jobs run. */
import assert from 'node:assert/strict';
import {
  everyTask,
  labels,
  workerLeaseMs,
  noTask,
  pause,
  heartbeatIntervalMs,
  tasksOf,
} from '../testing/cluster.js';
import { scenario } from '../testing/scenario.js';
import { submission } from '../testing/submission.js';

/**
 * Returns the index of a controller in `labels`. The methods of `Cluster` and `WorkerStandIn` take this index
 * as `node`.
 */
const nodeOf = (label: string): number => labels.indexOf(label);
/** Returns the index of a task within its job. */
const indexOf = (task: string): number => Number(task.split('/')[1]);

// Controllers stop and restart within a second, so that blocks change owners several times. Guards against
// two incarnations of a controller that both send commands to workers, and against tasks that a controller
// misses because it owns their block only for a short time.
scenario(
  'leadership fails over and back, all controllers stop, and one restarts, within a second',
  { port: 22_000, taskMs: 800 },
  async (cluster) => {
    const ids = ['req-000001', 'req-000002', 'req-000003'];
    for (const [i, id] of ids.entries()) await cluster.submitUntilAccepted(submission(id, 4), i);
    const firstLeader = await cluster.waitForLeader();
    cluster.stopController(firstLeader);
    const secondLeader = await cluster.waitForLeader(firstLeader);
    cluster.startController(firstLeader);
    await cluster.restart(secondLeader);
    for (const label of labels) cluster.stopController(label);
    await pause(150);
    cluster.startController(firstLeader);
    await pause(300);
    for (const label of labels) if (label !== firstLeader) cluster.startController(label);
    cluster.shouldHoldTask = tasksOf('req-000004');
    await cluster.submitUntilAccepted(submission('req-000004', 9));
    await cluster.waitUntil('a task of the job runs', () => cluster.runningOf('req-000004').length > 0);
    cluster.shouldHoldTask = noTask;
    // Each controller restarts before the lease of its previous incarnation expires. Until this lease
    // expires, the block is still leased to the previous incarnation.
    for (const label of labels) await cluster.restart(label, 50);
    await cluster.submitUntilAccepted(submission('req-000005', 9));
    await cluster.waitUntilAllDone([...ids, 'req-000004', 'req-000005']);
  },
);

// Tasks of one job complete under different block owners. If a new owner miscounted the tasks of the previous
// owner, the job would be reported as done too early, or never.
scenario(
  'tasks of one job complete before, during and after a leader failover',
  { port: 22_040, taskMs: (task) => [300, 1200, 1500][indexOf(task)] ?? 300 },
  async (cluster) => {
    const ids = ['req-000001', 'req-000002', 'req-000003'];
    cluster.shouldHoldTask = (task) => indexOf(task) > 0;
    for (const [i, id] of ids.entries())
      await cluster.submitUntilAccepted(submission(id, i === 0 ? 2 : 3), i);
    const completedCount = (): number =>
      cluster.history.events.filter((h) => h.kind === 'left' && h.completed).length;
    await cluster.waitUntil('the first tasks have ended', () => completedCount() >= 3);
    const oldLeader = await cluster.waitForLeader();
    cluster.stopController(oldLeader);
    // The second tasks end while there is no leader or under the new leader. The third tasks end after the
    // leader has changed again.
    cluster.shouldHoldTask = (task) => indexOf(task) > 1;
    const queriedNode = nodeOf(oldLeader) === 0 ? 1 : 0;
    await cluster.waitForLeader(oldLeader);
    for (const id of ids) await cluster.queryStatus(queriedNode, id);
    await cluster.waitUntil('the second tasks have ended', () => completedCount() >= 6);
    cluster.startController(oldLeader);
    await cluster.restart(await cluster.waitForLeader());
    cluster.shouldHoldTask = noTask;
    for (const id of ids) await cluster.queryStatus(queriedNode, id);
    await cluster.waitUntilAllDone(ids);
  },
);

// Machines with running tasks are partitioned while the leader fails over. Missing heartbeats do not prove
// that a task has ended, so the controllers must not start these tasks a second time.
scenario(
  'the leader fails over while machines with long tasks are partitioned, in both directions or in one',
  { port: 22_080, taskMs: 600, capacity: 6 },
  async (cluster) => {
    // The short tasks end early and free capacity on reachable machines. If a controller wrongly treated a
    // long task as lost, it would start the task on one of these machines immediately.
    const [longJob, shortJob] = ['req-000001', 'req-000002'];
    cluster.shouldHoldTask = tasksOf(longJob);
    for (const id of [longJob, shortJob])
      await cluster.submitUntilAccepted(submission(id, 9, { owner: 'blue' }));
    await cluster.waitUntil('all long tasks run and all short tasks have completed', () => {
      return cluster.runningOf(longJob).length === 9 && cluster.completedOf(shortJob) === 9;
    });
    const busyWorkers = [...cluster.workers.values()].filter((w) => w.running.length > 0);
    for (const [i, worker] of busyWorkers.entries()) {
      if (i % 3 === 0) worker.isPartitioned = true;
      else if (i % 3 === 1) worker.receivesNoResponses = true;
    }
    const oldLeader = await cluster.waitForLeader();
    cluster.stopController(oldLeader);
    await cluster.waitForLeader(oldLeader);
    await pause(workerLeaseMs * 0.8);
    for (const worker of busyWorkers) worker.isPartitioned = false;
    await pause(workerLeaseMs * 0.7);
    for (const worker of busyWorkers) worker.receivesNoResponses = false;
    cluster.startController(oldLeader);
    cluster.shouldHoldTask = noTask;
    await cluster.waitUntilAllDone([longJob, shortJob]);
  },
);

// A heartbeat is delayed until the block of its machine has a new owner. The fencing token in the heartbeat
// is then no longer valid, so the new owner must not treat the task list in the heartbeat as current.
scenario(
  'a heartbeat is delayed until the leader has failed over, and then delivered to the new owner',
  { port: 22_120, taskMs: 2500 },
  async (cluster) => {
    cluster.shouldHoldTask = everyTask;
    await cluster.submitUntilAccepted(submission('req-000001', 6));
    await cluster.submitUntilAccepted(submission('req-000002', 6), 1);
    await cluster.waitUntil('tasks run', () => cluster.runningOf('req-000002').length > 0);
    const oldLeader = await cluster.waitForLeader();
    const workers = [...cluster.workers.values()].filter((w) => cluster.ownerOf(w.machine.id) === oldLeader);
    assert.ok(workers.length > 0);
    for (const worker of workers) worker.isPartitioned = true;
    cluster.stopController(oldLeader);
    await cluster.waitForLeader(oldLeader);
    await cluster.waitUntil('the blocks of the machines have new owners', () =>
      workers.every(({ machine }) => cluster.ownerOf(machine.id) !== oldLeader),
    );
    for (const worker of workers) {
      // Sends the latest heartbeat of the worker again, and heartbeats from before the worker had any task.
      // The new owner must not use any of these duplicates.
      for (const heartbeatsAgo of [0, 30, 8, 0])
        worker.sendDuplicate(heartbeatsAgo, nodeOf(cluster.ownerOf(worker.machine.id)));
    }
    await pause(2 * heartbeatIntervalMs);
    for (const worker of workers) worker.isPartitioned = false;
    cluster.shouldHoldTask = noTask;
    cluster.startController(oldLeader);
    await cluster.waitUntilAllDone(['req-000001', 'req-000002']);
  },
);

// All controllers are down until the worker leases have expired, which ends the running tasks. The ledger in
// the state service, which records the task attempts, is then outdated. Guards against controllers that rely
// on this ledger when they start tasks.
scenario(
  'all controllers are down for longer than a worker lease',
  { port: 22_160, taskMs: 1500 },
  async (cluster) => {
    const ids = ['req-000001', 'req-000002'];
    // Tasks of the first job end only when the lease of their worker expires. Tasks of the second job may
    // also end by themselves.
    cluster.shouldHoldTask = tasksOf('req-000001');
    for (const [i, id] of ids.entries()) await cluster.submitUntilAccepted(submission(id, 6), i);
    await cluster.waitUntil('tasks run', () => cluster.runningOf('req-000001').length > 0);
    for (const label of labels) cluster.stopController(label);
    await pause(workerLeaseMs * 1.3);
    assert.deepEqual(cluster.runningOf('req-000001'), []);
    assert.equal(cluster.completedOf('req-000001'), 0);
    cluster.shouldHoldTask = noTask;
    for (const label of labels) cluster.startController(label);
    await cluster.waitUntilAllDone(ids);
  },
);

// Leadership changes ten times. Guards against a leader that acts on outdated data from the term of an
// earlier leader, and against a cluster that stays without a leader.
scenario(
  'the leader changes ten times, also during an outage of the state service',
  { port: 22_200, taskMs: 1000 },
  async (cluster) => {
    const ids = ['req-000001', 'req-000002', 'req-000003'];
    for (const [i, id] of ids.entries()) await cluster.submitUntilAccepted(submission(id, 4), i);
    for (let failover = 0; failover < 10; failover++) {
      const leader = await cluster.waitForLeader();
      if (failover === 4) cluster.store.hasOutage = true;
      await cluster.restart(leader, 50);
      await pause(cluster.store.hasOutage ? heartbeatIntervalMs : 3 * heartbeatIntervalMs);
      if (failover === 6) cluster.store.hasOutage = false;
      for (const [i, id] of ids.entries()) await cluster.queryStatus(i, id);
    }
    await cluster.waitUntilAllDone(ids);
  },
);

// All leases in the state service expire while the service is slow. If a lease renewal waited for the
// response to the previous renewal and for other requests in flight, and responses took more than half of the
// time to live of a lease, each new lease would expire as well. The cluster would stay without a leader.
scenario(
  'every lease expires while the state service is slow, and the next leader keeps its leadership',
  { port: 22_240, taskMs: 1000 },
  async (cluster) => {
    const { store } = cluster;
    store.answerDelayMs = heartbeatIntervalMs * 1.5;
    store.expireAllLeases();
    await cluster.waitForLeader();
    const fencingToken = cluster.leaderToken();
    await pause(workerLeaseMs);
    assert.equal(cluster.leaderToken(), fencingToken);
    store.answerDelayMs = 0;
    await cluster.submitUntilAccepted(submission('req-000001', 3));
    await cluster.waitUntilAllDone(['req-000001']);
  },
);
