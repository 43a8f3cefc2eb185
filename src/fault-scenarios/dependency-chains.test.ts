/** Scenarios of jobs with dependencies while controllers or the state service fail. */
import assert from 'node:assert/strict';
import {
  cancelDeadlineMs,
  type Cluster,
  labels,
  workerLeaseMs,
  noTask,
  pause,
  heartbeatIntervalMs,
  tasksOf,
  untilStopped,
} from '../testing/cluster.js';
import { scenario } from '../testing/scenario.js';
import { submission } from '../testing/submission.js';

/**
 * Upcoming limits of the state service that the settings announce. They are lower than the current limits.
 */
const nextLimits = { value_kb: 2, txn_ops: 6, write_rps: 60 };
/** Returns the id of the job with this number. */
const idOf = (i: number): string => `req-${String(i).padStart(6, '0')}`;

/** Submits a chain of jobs, each of which depends on the previous one. Returns their ids. */
async function submitChain(cluster: Cluster, first: number, length: number, tasks = 2): Promise<string[]> {
  const ids = Array.from({ length }, (_, i) => idOf(first + i));
  for (const [i, id] of ids.entries()) {
    const dependency = ids[i - 1];
    await cluster.submitUntilAccepted(
      submission(id, tasks, { moorings: dependency === undefined ? null : [dependency] }),
      i,
    );
  }
  return ids;
}

/** Submits a chain of jobs with one task each and waits until the task of the first job runs. */
async function startChain(cluster: Cluster, length: number): Promise<string[]> {
  const chain = await submitChain(cluster, 1, length, 1);
  await cluster.waitUntil('the first job runs', () => cluster.runningOf(idOf(1)).length === 1);
  return chain;
}

/** Returns the number of task starts of a job. A task that was started several times counts several times. */
const startCountOf = (cluster: Cluster, id: string): number =>
  cluster.history.events.filter((h) => h.kind === 'started' && h.task.startsWith(`${id}/`)).length;

async function awaitCancelledEverywhere(
  cluster: Cluster,
  ids: string[],
  withinMs = cancelDeadlineMs,
): Promise<void> {
  await cluster.waitForStatusEverywhere(ids, 'cancelled', withinMs);
}

// Dependencies end while the controllers restart one by one. Guards against tasks that start before the
// dependencies of their job are done (rule `too_early`), and against a job that waits forever because the
// controllers miss the outcome of a dependency.
scenario(
  'a chain and a diamond of jobs complete while all controllers restart one by one, and the store limits are lowered',
  { port: 28_000, taskMs: 400, nextLimits },
  async (cluster) => {
    const chain = await submitChain(cluster, 1, 6);
    await cluster.submitUntilAccepted(submission(idOf(20), 3, { moorings: [idOf(1)] }));
    await cluster.submitUntilAccepted(submission(idOf(21), 3, { moorings: [idOf(1)] }));
    await cluster.submitUntilAccepted(submission(idOf(22), 3, { moorings: [idOf(20), idOf(21), idOf(20)] }));
    await cluster.waitUntil('the second job has started', () => startCountOf(cluster, idOf(2)) > 0);
    cluster.applyAnnouncedLimits();
    for (const label of labels) await cluster.restart(label, 50);
    await cluster.waitUntilAllDone([...chain, idOf(20), idOf(21), idOf(22)]);
    assert.deepEqual(cluster.store.sizeRefusals, []);
  },
);

// After a restart, a controller's replica of the store contains no outcomes at first. If the controller did
// not look up the outcome of a dependency that was done before the restart, the dependent job would wait
// forever.
scenario(
  'one dependency is done before all controllers restart, and another one after that',
  { port: 28_040, taskMs: 300 },
  async (cluster) => {
    cluster.shouldHoldTask = tasksOf(idOf(2));
    await cluster.submitUntilAccepted(submission(idOf(1), 1));
    await cluster.submitUntilAccepted(submission(idOf(2), 4, { owner: 'blue' }));
    await cluster.waitUntilAllDone([idOf(1)]);
    await cluster.submitUntilAccepted(submission(idOf(3), 2, { moorings: [idOf(1), idOf(2)] }));
    await Promise.all(labels.map((label) => cluster.restart(label, 50)));
    await cluster.submitUntilAccepted(submission(idOf(4), 2, { moorings: [idOf(1)] }));
    cluster.shouldHoldTask = noTask;
    await cluster.waitUntilAllDone([idOf(2), idOf(3), idOf(4)]);
  },
);

// A job is cancelled, and both the leader and the controller that confirmed the cancel stop while the
// dependents are being cancelled at a low write limit. If the cancellation cascade ended with the controller
// that began it or when the write limit is reached, the remaining dependents would stay open (rule
// `orphaned`).
scenario(
  'a chain of ten with forty more dependents is cancelled as the leader stops, with few writes per second',
  { port: 28_080, taskMs: untilStopped, nextLimits },
  async (cluster) => {
    const chain = await submitChain(cluster, 1, 10);
    const dependents = Array.from({ length: 40 }, (_, i) => idOf(100 + i));
    for (const [i, id] of dependents.entries()) {
      await cluster.submitUntilAccepted(submission(id, 1, { moorings: [chain[2 + (i % 8)]] }), i);
    }
    await cluster.waitUntil('the first job runs', () => cluster.runningOf(idOf(1)).length === 2);
    cluster.applyAnnouncedLimits();
    const leader = await cluster.waitForLeader();
    const confirmingNode = (labels.indexOf(leader) + 1) % 3;
    assert.equal(await cluster.cancelUntilEnded(idOf(1), [confirmingNode]), 'cancelled');
    cluster.stopController(leader);
    cluster.stopController(labels[confirmingNode] ?? '');
    await pause(heartbeatIntervalMs);
    cluster.startController(leader);
    cluster.startController(labels[confirmingNode] ?? '');
    await awaitCancelledEverywhere(cluster, [...chain, ...dependents], cancelDeadlineMs * 2);
  },
);

// A job is cancelled at one controller, and another controller accepts a dependent of this job before its
// replica of the store contains the cancellation. Guards against a dependent that then stays open.
scenario(
  'the first job of a chain is cancelled while the others are being submitted at other controllers',
  { port: 28_120, taskMs: untilStopped },
  async (cluster) => {
    for (let round = 0; round < 5; round++) {
      const firstNumber = 1 + round * 10;
      await cluster.submitUntilAccepted(submission(idOf(firstNumber), 1), round);
      const cancel = cluster.cancelUntilEnded(idOf(firstNumber), [round % 3]);
      for (let i = 1; i < 4; i++) {
        const moorings = [idOf(firstNumber + i - 1)];
        await cluster.submitUntilAccepted(submission(idOf(firstNumber + i), 1, { moorings }), round + i);
      }
      assert.equal(await cancel, 'cancelled');
    }
    for (let round = 0; round < 5; round++) {
      await awaitCancelledEverywhere(
        cluster,
        [1, 2, 3].map((i) => idOf(1 + round * 10 + i)),
      );
    }
  },
);

// A cancel arrives as the first job of a chain ends. Guards against dependents that never start, and against
// dependents that start and are also cancelled.
scenario(
  'cancels arrive as the first job of a chain ends: its dependents run if and only if the answer was done',
  { port: 28_160, taskMs: 500 },
  async (cluster) => {
    const chains = [];
    for (let i = 0; i < 6; i++) chains.push(await submitChain(cluster, 1 + i * 10, 3, 1));
    const statuses = await Promise.all(
      chains.map(async ([firstJob = ''], i) => {
        await cluster.waitUntil('the task of the first job has completed', () =>
          cluster.history.events.some((h) => h.kind === 'left' && h.task === `${firstJob}/0` && h.completed),
        );
        await pause(i * 40);
        return cluster.cancelUntilEnded(firstJob, [i % 3]);
      }),
    );
    for (const [i, chain] of chains.entries()) {
      if (statuses[i] === 'done') await cluster.waitUntilAllDone(chain);
      else await awaitCancelledEverywhere(cluster, chain);
    }
  },
);

// A chain of jobs is cancelled, and the state service is then down for longer than the cancellation deadline.
// If a controller answered from its replica of the store as it was before the outage, it would report a job
// of the chain as pending.
scenario(
  'the state service is down for longer than the cancellation deadline, right after a cancel',
  { port: 28_200, taskMs: untilStopped },
  async (cluster) => {
    const chain = await startChain(cluster, 5);
    assert.equal(await cluster.cancelUntilEnded(idOf(1), [1]), 'cancelled');
    cluster.store.hasOutage = true;
    const endAt = Date.now() + cancelDeadlineMs * 1.3;
    while (Date.now() < endAt) {
      for (const [i, id] of chain.entries()) await cluster.queryStatus(i % 3, id);
      await pause(heartbeatIntervalMs);
    }
    cluster.store.hasOutage = false;
    for (let i = 0; i < 20; i++)
      await Promise.all(chain.map((id, node) => cluster.queryStatus((node + i) % 3, id)));
    await awaitCancelledEverywhere(cluster, chain);
  },
);

// A controller is partitioned from the state service and its peers while the other controllers cancel a chain
// of jobs. If the controller has not detected the partition and answers from its outdated replica of the
// store, it reports the dependents of the cancelled job as open (rule `orphaned`).
scenario(
  'a controller is partitioned from state service and peers while a chain is cancelled, and is queried on its return',
  { port: 28_240, taskMs: untilStopped },
  async (cluster) => {
    const chain = await startChain(cluster, 4);
    cluster.store.partitionedClients.add('keel-2');
    for (const link of cluster.peerLinksOf('keel-2')) link.cut();
    assert.equal(await cluster.cancelUntilEnded(idOf(1), [0, 1]), 'cancelled');
    await pause(cancelDeadlineMs + workerLeaseMs);
    cluster.store.partitionedClients.delete('keel-2');
    for (const link of cluster.peerLinksOf('keel-2')) link.heal();
    for (let i = 0; i < 20; i++) {
      await Promise.all(chain.map((id) => cluster.queryStatus(2, id)));
      await pause(heartbeatIntervalMs / 4);
    }
    await awaitCancelledEverywhere(cluster, chain);
  },
);
