import assert from 'node:assert/strict';
import {
  type Cluster,
  everyTask,
  labels,
  workerLeaseMs,
  noTask,
  pause,
  heartbeatIntervalMs,
  submission,
  tasksOf,
} from '../testing/cluster.js';
import { scenario } from '../testing/scenario.js';

const taskMs = 700;
const jobIds = Array.from({ length: 5 }, (_, i) => `req-00000${i}`);

/** Submits the jobs and waits until some of their tasks run, which end no sooner. */
async function submitAndAwaitRunning(cluster: Cluster, ids: string[], tasks: number): Promise<void> {
  cluster.holdsTask = everyTask;
  await submitAll(cluster, ids, tasks);
  await cluster.until('tasks run', () => ids.some((id) => cluster.runningOf(id).length > 0));
  cluster.holdsTask = noTask;
}

/** For a team without a limit: what holds a task back is room alone. */
async function submitAll(cluster: Cluster, ids: string[], tasks: number): Promise<void> {
  for (const [i, id] of ids.entries())
    await cluster.submitSurely(submission(id, tasks, { owner: 'blue' }), i);
}

// Guards against what a transaction brings back when it is carried out behind newer ones: an old page, an old lease, an old
// dispatching, an end or a job that its user was told nothing of.
for (const seed of [1, 2, 3]) {
  scenario(
    `transactions without an answer are carried out late, after newer ones (seed ${seed})`,
    { port: 24_000 + seed * 40, taskMs, seed },
    async (cluster) => {
      cluster.store.late = { share: 0.25, fromMs: heartbeatIntervalMs, toMs: 6 * heartbeatIntervalMs };
      await submitAll(cluster, jobIds, 4);
      const [cancelled = '', ...kept] = jobIds;
      await cluster.cancelSurely(cancelled);
      await cluster.restart(await cluster.leading());
      const cancelRequests: Promise<unknown>[] = [];
      const awaitEnd = (id: string): Promise<void> =>
        cluster.until(`${id} has ended`, async () =>
          ['done', 'cancelled'].includes(await cluster.ask(0, id)),
        );
      for (let i = 0; i < 8; i++) {
        for (const [j, id] of jobIds.entries()) await cluster.ask((i + j) % 3, id);
        const addedJob = `req-0001${i}`;
        await cluster.submitSurely(submission(addedJob, 2), i);
        // Some are cancelled only once, about when they end; what comes of that may come after their end.
        const cancelDelayMs = taskMs * (1 + (i % 3) / 2);
        if (i % 2 === 0)
          cancelRequests.push(
            pause(cancelDelayMs).then(() => cluster.cancel(i % 3, addedJob)),
            awaitEnd(addedJob),
          );
        else kept.push(addedJob);
        if (i % 4 === 3) await cluster.restart(await cluster.leading());
        await pause(heartbeatIntervalMs);
      }
      await cluster.until('some have been', () => cluster.store.carriedOutLate > 2);
      cluster.store.late = undefined;
      await Promise.all(cancelRequests);
      await cluster.allDone(kept);
      for (const happening of cluster.history.happenings) {
        if (happening.kind === 'asked to cancel') await awaitEnd(happening.id);
      }
    },
  );
}

// Guards against an end that is changed: nobody was told of the cancel, and by the time it is carried out users know better.
scenario(
  'a cancellation whose transaction got no response is applied after its job is done',
  { port: 24_320, taskMs },
  async (cluster) => {
    const id = 'req-000001';
    cluster.holdsTask = everyTask;
    await cluster.submitSurely(submission(id, 2));
    await cluster.until('it runs', () => cluster.runningOf(id).length > 0);
    cluster.store.keeps = (key) => key.startsWith('sk/end/');
    assert.equal(await cluster.cancel(0, id), 'turned away');
    cluster.holdsTask = noTask;
    await cluster.allDone([id]);
    assert.equal(cluster.store.deliver(), 1);
    await pause(2 * heartbeatIntervalMs);
    for (const node of [0, 1, 2]) assert.equal(await cluster.ask(node, id), 'done');
  },
);

// Guards against an old page of the ledger over a newer one: its owner's next life would start again what runs.
scenario(
  'a ledger page whose transaction got no response is applied after newer ones, and its owner restarts',
  { port: 24_360, taskMs: 6000, capacity: 6 },
  async (cluster) => {
    const ids = ['req-000001', 'req-000002', 'req-000003'];
    cluster.store.keeps = (key) => key.startsWith('sk/run/');
    // All of them run at once, however late the page without an answer is written again, and as the new lives begin.
    cluster.holdsTask = everyTask;
    for (const [i, id] of ids.entries()) await cluster.submitSurely(submission(id, 4, { owner: 'blue' }), i);
    await cluster.until('all run', () => ids.every((id) => cluster.runningOf(id).length === 4));
    await pause(2 * heartbeatIntervalMs);
    assert.equal(cluster.store.deliver(), 1);
    for (const label of labels) await cluster.restart(label, 50);
    cluster.holdsTask = noTask;
    await cluster.allDone(ids);
    const starts = cluster.history.happenings.filter(({ kind }) => kind === 'started');
    assert.equal(starts.length, 12);
  },
);

// Guards against a start or a halt that a machine carries out when it goes on, long after it was said.
scenario(
  'workers stall for seconds with commands in flight, and then resume',
  { port: 24_160, taskMs: 900, fetchMs: 100 },
  async (cluster) => {
    await submitAndAwaitRunning(cluster, jobIds, 4);
    const [cancelled = '', ...kept] = jobIds;
    cluster.holdsTask = tasksOf(cancelled);
    for (const stallMs of [
      heartbeatIntervalMs,
      workerLeaseMs / 2,
      workerLeaseMs * 0.9,
      workerLeaseMs * 1.4,
    ]) {
      const stalledWorkers = [...cluster.workers.values()].filter((_, i) => i % 2 === 0);
      for (const worker of stalledWorkers) worker.hang();
      if (stallMs === workerLeaseMs * 0.9) assert.equal(await cluster.cancelSurely(cancelled), 'cancelled');
      await pause(stallMs);
      for (const worker of stalledWorkers) worker.resume();
      await pause(heartbeatIntervalMs);
    }
    await cluster.allDone(kept);
  },
);

// Guards against an old task list taken for news: of this session, of an earlier one, of an earlier attempt.
scenario(
  'heartbeats are delivered late and out of order, also from an earlier agent epoch or attempt',
  { port: 24_200, taskMs: 3000, capacity: 6 },
  async (cluster) => {
    await submitAndAwaitRunning(cluster, jobIds, 2);
    for (const worker of cluster.workers.values()) worker.late = { share: 0.5, toMs: 1.5 * workerLeaseMs };
    // Some of them lose their lease, and with it session and attempts, before the copies arrive.
    const isolatedWorkers = [...cluster.workers.values()].slice(0, 2);
    for (const worker of isolatedWorkers) worker.mute = true;
    await pause(1.1 * workerLeaseMs);
    for (const worker of isolatedWorkers) worker.mute = false;
    for (let i = 0; i < 5; i++) {
      for (const worker of cluster.workers.values()) {
        for (const heartbeatsAgo of [2 + i * 2, 40])
          worker.repeat(heartbeatsAgo, labels.indexOf(cluster.ownerOf(worker.machine.id)));
      }
      if (i === 2) await cluster.restart(await cluster.leading());
      await pause(heartbeatIntervalMs);
    }
    await cluster.allDone(jobIds);
  },
);

// Guards against tasks taken for running, or started twice, where no report comes: only the cloud can say what has gone.
scenario(
  'workers are partitioned from all controllers for longer than a lease',
  { port: 24_240, taskMs: 3000, capacity: 6 },
  async (cluster) => {
    await submitAndAwaitRunning(cluster, jobIds, 2);
    const [cancelled = '', ...kept] = jobIds;
    cluster.holdsTask = tasksOf(cancelled);
    // Those that are rented meanwhile find their way, and for a while so does every other one.
    const workers = [...cluster.workers.values()];
    for (const [i, worker] of workers.entries()) worker.mute = i % 2 === 0;
    assert.equal(await cluster.cancelSurely(cancelled), 'cancelled');
    await pause(0.9 * workerLeaseMs);
    for (const worker of workers) worker.mute = true;
    await pause(1.5 * workerLeaseMs);
    for (const worker of workers) worker.mute = false;
    for (const label of labels)
      assert.notEqual(await cluster.ask(labels.indexOf(label), cancelled), 'pending');
    await cluster.allDone(kept);
  },
);

// Guards against machines that are rented twice or not at all, and against a release that takes a machine with new tasks.
scenario(
  'cloud rentals and releases get no response, releases are applied late, and listings lag',
  { port: 24_280, taskMs: 2000, capacity: 6 },
  async (cluster) => {
    cluster.cloud.listLagMs = heartbeatIntervalMs;
    cluster.cloud.losesRentals = 3;
    cluster.cloud.lateReleases = { count: 4, ms: 4 * heartbeatIntervalMs };
    await submitAndAwaitRunning(cluster, jobIds, 4);
    const stalledWorkers = [...cluster.workers.values()].slice(0, 2);
    for (const worker of stalledWorkers) worker.hang();
    await cluster.restart(await cluster.leading());
    await pause(workerLeaseMs);
    for (const worker of stalledWorkers) worker.resume();
    await cluster.allDone(jobIds);
  },
);
