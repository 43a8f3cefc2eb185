/** Scenarios in which messages are lost, delayed or delivered out of order, and machines are partitioned. */
import assert from 'node:assert/strict';
import {
  type Cluster,
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

const taskMs = 700;
const jobIds = Array.from({ length: 5 }, (_, i) => `req-00000${i}`);

/** Submits the jobs and waits until some of their tasks run. No task ends during this wait. */
async function submitAndAwaitRunning(cluster: Cluster, ids: string[], tasks: number): Promise<void> {
  cluster.shouldHoldTask = everyTask;
  await submitAll(cluster, ids, tasks);
  await cluster.waitUntil('tasks run', () => ids.some((id) => cluster.runningOf(id).length > 0));
  cluster.shouldHoldTask = noTask;
}

/** Submits the jobs for a team without a quota, so that tasks wait only for free capacity on machines. */
async function submitAll(cluster: Cluster, ids: string[], tasks: number): Promise<void> {
  for (const [i, id] of ids.entries())
    await cluster.submitUntilAccepted(submission(id, tasks, { owner: 'blue' }), i);
}

// Some transactions get no response and are applied late, after newer transactions. Guards against outdated
// data that a late transaction writes: an old ledger page, an old lease, an old dispatch, or an outcome or a
// job that was not confirmed to its user.
for (const seed of [1, 2, 3]) {
  scenario(
    `transactions that got no response are applied late, after newer ones (seed ${seed})`,
    { port: 24_000 + seed * 40, taskMs, seed },
    async (cluster) => {
      cluster.store.lateCommits = { share: 0.25, fromMs: heartbeatIntervalMs, toMs: 6 * heartbeatIntervalMs };
      await submitAll(cluster, jobIds, 4);
      const [cancelled = '', ...kept] = jobIds;
      await cluster.cancelUntilEnded(cancelled);
      await cluster.restart(await cluster.waitForLeader());
      const cancelRequests: Promise<unknown>[] = [];
      const awaitEnd = (id: string): Promise<void> =>
        cluster.waitUntil(`${id} has ended`, async () =>
          ['done', 'cancelled'].includes(await cluster.queryStatus(0, id)),
        );
      for (let i = 0; i < 8; i++) {
        for (const [j, id] of jobIds.entries()) await cluster.queryStatus((i + j) % 3, id);
        const addedJob = `req-0001${i}`;
        await cluster.submitUntilAccepted(submission(addedJob, 2), i);
        // For every second job, one cancel request is sent without retries, at about the time at which the
        // job ends. The transaction of the cancel may be executed after the job has ended.
        const cancelDelayMs = taskMs * (1 + (i % 3) / 2);
        if (i % 2 === 0)
          cancelRequests.push(
            pause(cancelDelayMs).then(() => cluster.cancel(i % 3, addedJob)),
            awaitEnd(addedJob),
          );
        else kept.push(addedJob);
        if (i % 4 === 3) await cluster.restart(await cluster.waitForLeader());
        await pause(heartbeatIntervalMs);
      }
      await cluster.waitUntil(
        'more than two transactions have been applied late',
        () => cluster.store.lateCommitCount > 2,
      );
      cluster.store.lateCommits = undefined;
      await Promise.all(cancelRequests);
      await cluster.waitUntilAllDone(kept);
      for (const event of cluster.history.events) {
        if (event.kind === 'asked to cancel') await awaitEnd(event.id);
      }
    },
  );
}

// The transaction of a cancellation is delayed and gets no response, so no user receives a confirmation. The
// job then completes, and users receive the answer that it is done. After that, the store receives the
// delayed transaction and must reject it, because the transaction is conditioned on the job having no
// outcome. If the store applied the transaction, the outcome of the job would change from done to cancelled.
scenario(
  'a cancellation whose transaction got no response is applied after its job is done',
  { port: 24_320, taskMs },
  async (cluster) => {
    const id = 'req-000001';
    cluster.shouldHoldTask = everyTask;
    await cluster.submitUntilAccepted(submission(id, 2));
    await cluster.waitUntil('a task of the job runs', () => cluster.runningOf(id).length > 0);
    cluster.store.shouldWithholdCommit = (key) => key.startsWith('sk/end/');
    assert.equal(await cluster.cancel(0, id), 'turned away');
    cluster.shouldHoldTask = noTask;
    await cluster.waitUntilAllDone([id]);
    assert.equal(cluster.store.applyWithheldCommits(), 1);
    await pause(2 * heartbeatIntervalMs);
    for (const node of [0, 1, 2]) assert.equal(await cluster.queryStatus(node, id), 'done');
  },
);

// The transaction that writes a ledger page, a part of the record of a block's task attempts, gets no
// response and is applied after newer writes of the page. If the old page overwrote the newer one, the next
// incarnation of the block owner would start running tasks a second time.
scenario(
  'a ledger page whose transaction got no response is applied after newer ones, and its owner restarts',
  { port: 24_360, taskMs: 6000, capacity: 6 },
  async (cluster) => {
    const ids = ['req-000001', 'req-000002', 'req-000003'];
    cluster.store.shouldWithholdCommit = (key) => key.startsWith('sk/run/');
    // No task ends before the controllers have restarted. All tasks therefore run at the same time, even if
    // the controller is late to retry the write of the ledger page.
    cluster.shouldHoldTask = everyTask;
    for (const [i, id] of ids.entries())
      await cluster.submitUntilAccepted(submission(id, 4, { owner: 'blue' }), i);
    await cluster.waitUntil('all tasks run', () => ids.every((id) => cluster.runningOf(id).length === 4));
    await pause(2 * heartbeatIntervalMs);
    assert.equal(cluster.store.applyWithheldCommits(), 1);
    for (const label of labels) await cluster.restart(label, 50);
    cluster.shouldHoldTask = noTask;
    await cluster.waitUntilAllDone(ids);
    const starts = cluster.history.events.filter(({ kind }) => kind === 'started');
    assert.equal(starts.length, 12);
  },
);

// Workers stall while commands to them are in flight. Guards against wrong reactions of the controllers when
// a machine executes a start or halt command only after it resumes, long after the command was sent.
scenario(
  'workers stall for seconds with commands in flight, and then resume',
  { port: 24_160, taskMs: 900, fetchMs: 100 },
  async (cluster) => {
    await submitAndAwaitRunning(cluster, jobIds, 4);
    const [cancelled = '', ...kept] = jobIds;
    cluster.shouldHoldTask = tasksOf(cancelled);
    for (const stallMs of [
      heartbeatIntervalMs,
      workerLeaseMs / 2,
      workerLeaseMs * 0.9,
      workerLeaseMs * 1.4,
    ]) {
      const stalledWorkers = [...cluster.workers.values()].filter((_, i) => i % 2 === 0);
      for (const worker of stalledWorkers) worker.pause();
      if (stallMs === workerLeaseMs * 0.9)
        assert.equal(await cluster.cancelUntilEnded(cancelled), 'cancelled');
      await pause(stallMs);
      for (const worker of stalledWorkers) worker.resume();
      await pause(heartbeatIntervalMs);
    }
    await cluster.waitUntilAllDone(kept);
  },
);

// Heartbeats are delivered late and out of order. Guards against a controller that treats an outdated task
// list as current, whether the list is from the same agent epoch, from an earlier agent epoch or from an
// earlier task attempt.
scenario(
  'heartbeats are delivered late and out of order, also from an earlier agent epoch or attempt',
  { port: 24_200, taskMs: 3000, capacity: 6 },
  async (cluster) => {
    await submitAndAwaitRunning(cluster, jobIds, 2);
    for (const worker of cluster.workers.values())
      worker.duplicateHeartbeats = { share: 0.5, toMs: 1.5 * workerLeaseMs };
    // The leases of two workers expire before the copies of their heartbeats arrive. The expiry ends their
    // agent epoch and their task attempts.
    const isolatedWorkers = [...cluster.workers.values()].slice(0, 2);
    for (const worker of isolatedWorkers) worker.isPartitioned = true;
    await pause(1.1 * workerLeaseMs);
    for (const worker of isolatedWorkers) worker.isPartitioned = false;
    for (let i = 0; i < 5; i++) {
      for (const worker of cluster.workers.values()) {
        for (const heartbeatsAgo of [2 + i * 2, 40])
          worker.sendDuplicate(heartbeatsAgo, labels.indexOf(cluster.ownerOf(worker.machine.id)));
      }
      if (i === 2) await cluster.restart(await cluster.waitForLeader());
      await pause(heartbeatIntervalMs);
    }
    await cluster.waitUntilAllDone(jobIds);
  },
);

// No heartbeat of some machines arrives for longer than a worker lease. Guards against a controller that
// assumes that the tasks on these machines still run, or starts them a second time. Only the cloud can prove
// that a machine is gone.
scenario(
  'workers are partitioned from all controllers for longer than a lease',
  { port: 24_240, taskMs: 3000, capacity: 6 },
  async (cluster) => {
    await submitAndAwaitRunning(cluster, jobIds, 2);
    const [cancelled = '', ...kept] = jobIds;
    cluster.shouldHoldTask = tasksOf(cancelled);
    // At first, every second of the current machines is partitioned, and later all of them. Machines that are
    // rented after this point are not partitioned.
    const workers = [...cluster.workers.values()];
    for (const [i, worker] of workers.entries()) worker.isPartitioned = i % 2 === 0;
    assert.equal(await cluster.cancelUntilEnded(cancelled), 'cancelled');
    await pause(0.9 * workerLeaseMs);
    for (const worker of workers) worker.isPartitioned = true;
    await pause(1.5 * workerLeaseMs);
    for (const worker of workers) worker.isPartitioned = false;
    for (const label of labels)
      assert.notEqual(await cluster.queryStatus(labels.indexOf(label), cancelled), 'pending');
    await cluster.waitUntilAllDone(kept);
  },
);

// Rentals and releases get no response, releases are applied late, and the machine list is outdated. Guards
// against machines that are rented twice or not at all, and against a late release that removes a machine
// with new tasks.
scenario(
  'cloud rentals and releases get no response, releases are applied late, and listings lag',
  { port: 24_280, taskMs: 2000, capacity: 6 },
  async (cluster) => {
    cluster.cloud.listLagMs = heartbeatIntervalMs;
    cluster.cloud.rentalAnswersToDrop = 3;
    cluster.cloud.delayedReleases = { count: 4, ms: 4 * heartbeatIntervalMs };
    await submitAndAwaitRunning(cluster, jobIds, 4);
    const stalledWorkers = [...cluster.workers.values()].slice(0, 2);
    for (const worker of stalledWorkers) worker.pause();
    await cluster.restart(await cluster.waitForLeader());
    await pause(workerLeaseMs);
    for (const worker of stalledWorkers) worker.resume();
    await cluster.waitUntilAllDone(jobIds);
  },
);
