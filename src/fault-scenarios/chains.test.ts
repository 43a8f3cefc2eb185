/** Jobs that need others, while something fails. */
import assert from 'node:assert/strict';
import {
  cancelDeadlineMs,
  type Cluster,
  labels,
  workerLeaseMs,
  noTask,
  pause,
  heartbeatIntervalMs,
  submission,
  tasksOf,
  untilStopped,
} from '../testing/cluster.js';
import { scenario } from '../testing/scenario.js';

const nextLimits = { value_kb: 2, txn_ops: 6, write_rps: 60 };
const idOf = (i: number): string => `req-${String(i).padStart(6, '0')}`;

/** Each job needs the one before it. */
async function submitChain(cluster: Cluster, from: number, length: number, tasks = 2): Promise<string[]> {
  const ids = Array.from({ length }, (_, i) => idOf(from + i));
  for (const [i, id] of ids.entries()) {
    const before = ids[i - 1];
    await cluster.submitSurely(
      submission(id, tasks, { moorings: before === undefined ? null : [before] }),
      i,
    );
  }
  return ids;
}

/** A chain of jobs of one task each, of which the first is on a machine. */
async function startChain(cluster: Cluster, length: number): Promise<string[]> {
  const chain = await submitChain(cluster, 1, length, 1);
  await cluster.until('the first runs', () => cluster.runningOf(idOf(1)).length === 1);
  return chain;
}

const startedOf = (cluster: Cluster, id: string): number =>
  cluster.history.happenings.filter((h) => h.kind === 'started' && h.task.startsWith(`${id}/`)).length;

async function cancelledEverywhere(
  cluster: Cluster,
  ids: string[],
  withinMs = cancelDeadlineMs,
): Promise<void> {
  await cluster.toldEverywhere(ids, 'cancelled', withinMs);
}

// Guards against `too_early`, and against a job that is never told of the end that it waits for.
scenario(
  'a chain and a diamond run through while all controllers restart one after the other, and the limits fall',
  { port: 28_000, taskMs: 400, nextLimits },
  async (cluster) => {
    const chain = await submitChain(cluster, 1, 6);
    await cluster.submitSurely(submission(idOf(20), 3, { moorings: [idOf(1)] }));
    await cluster.submitSurely(submission(idOf(21), 3, { moorings: [idOf(1)] }));
    await cluster.submitSurely(submission(idOf(22), 3, { moorings: [idOf(20), idOf(21), idOf(20)] }));
    await cluster.until('the second runs', () => startedOf(cluster, idOf(2)) > 0);
    cluster.lowerLimits();
    for (const label of labels) await cluster.restart(label, 50);
    await cluster.allDone([...chain, idOf(20), idOf(21), idOf(22)]);
    assert.deepEqual(cluster.store.sizeRefusals, []);
  },
);

// Guards against ends that no controller knows after its start: the copy of the store begins without any.
scenario(
  'a dependency was done before all controllers restarted, and another is done after that',
  { port: 28_040, taskMs: 300 },
  async (cluster) => {
    cluster.holdsTask = tasksOf(idOf(2));
    await cluster.submitSurely(submission(idOf(1), 1));
    await cluster.submitSurely(submission(idOf(2), 4, { owner: 'blue' }));
    await cluster.allDone([idOf(1)]);
    await cluster.submitSurely(submission(idOf(3), 2, { moorings: [idOf(1), idOf(2)] }));
    await Promise.all(labels.map((label) => cluster.restart(label, 50)));
    await cluster.submitSurely(submission(idOf(4), 2, { moorings: [idOf(1)] }));
    cluster.holdsTask = noTask;
    await cluster.allDone([idOf(2), idOf(3), idOf(4)]);
  },
);

// Guards against `orphaned`: a cascade that ends with whoever began it, or with the store's room for changes.
scenario(
  'a job that a chain of ten and forty more need is cancelled as the leader ends, with few changes a second',
  { port: 28_080, taskMs: untilStopped, nextLimits },
  async (cluster) => {
    const chain = await submitChain(cluster, 1, 10);
    const wide = Array.from({ length: 40 }, (_, i) => idOf(100 + i));
    for (const [i, id] of wide.entries()) {
      await cluster.submitSurely(submission(id, 1, { moorings: [chain[2 + (i % 8)]] }), i);
    }
    await cluster.until('the first runs', () => cluster.runningOf(idOf(1)).length === 2);
    cluster.lowerLimits();
    const first = await cluster.leading();
    const node = (labels.indexOf(first) + 1) % 3;
    assert.equal(await cluster.cancelSurely(idOf(1), [node]), 'cancelled');
    cluster.stopController(first);
    cluster.stopController(labels[node] ?? '');
    await pause(heartbeatIntervalMs);
    cluster.startController(first);
    cluster.startController(labels[node] ?? '');
    await cancelledEverywhere(cluster, [...chain, ...wide], cancelDeadlineMs * 2);
  },
);

// Guards against a submission that slips through between a cancellation and the copy of it at another controller.
scenario(
  'the first job is cancelled while the others of its chain are being submitted elsewhere',
  { port: 28_120, taskMs: untilStopped },
  async (cluster) => {
    for (let round = 0; round < 5; round++) {
      const from = 1 + round * 10;
      await cluster.submitSurely(submission(idOf(from), 1), round);
      const cancel = cluster.cancelSurely(idOf(from), [round % 3]);
      for (let i = 1; i < 4; i++) {
        const moorings = [idOf(from + i - 1)];
        await cluster.submitSurely(submission(idOf(from + i), 1, { moorings }), round + i);
      }
      assert.equal(await cancel, 'cancelled');
    }
    for (let round = 0; round < 5; round++) {
      await cancelledEverywhere(
        cluster,
        [1, 2, 3].map((i) => idOf(1 + round * 10 + i)),
      );
    }
  },
);

// Guards against a chain that hangs, or goes on and is cancelled, when its first job ends as somebody cancels it.
scenario(
  'cancels meet the end of the first job: its dependents go on exactly where the answer was done',
  { port: 28_160, taskMs: 500 },
  async (cluster) => {
    const chains = [];
    for (let i = 0; i < 6; i++) chains.push(await submitChain(cluster, 1 + i * 10, 3, 1));
    const told = await Promise.all(
      chains.map(async ([first = ''], i) => {
        await cluster.until('it has run', () =>
          cluster.history.happenings.some((h) => h.kind === 'left' && h.task === `${first}/0` && h.completed),
        );
        await pause(i * 40);
        return cluster.cancelSurely(first, [i % 3]);
      }),
    );
    for (const [i, chain] of chains.entries()) {
      if (told[i] === 'done') await cluster.allDone(chain);
      else await cancelledEverywhere(cluster, chain);
    }
  },
);

// Guards against answers on old knowledge: after an outage longer than a cancellation may take, nothing is called pending
// on the word of a copy from before it.
scenario(
  'the state service is out for longer than a cancellation may take, right after a cancel',
  { port: 28_200, taskMs: untilStopped },
  async (cluster) => {
    const chain = await startChain(cluster, 5);
    assert.equal(await cluster.cancelSurely(idOf(1), [1]), 'cancelled');
    cluster.store.down = true;
    const until = Date.now() + cancelDeadlineMs * 1.3;
    while (Date.now() < until) {
      for (const [i, id] of chain.entries()) await cluster.ask(i % 3, id);
      await pause(heartbeatIntervalMs);
    }
    cluster.store.down = false;
    for (let i = 0; i < 20; i++) await Promise.all(chain.map((id, node) => cluster.ask((node + i) % 3, id)));
    await cancelledEverywhere(cluster, chain);
  },
);

// Guards against `orphaned` at a controller that is cut off from the state service alone and does not know it yet.
scenario(
  'a controller is cut from the state service and its peers while a chain is cancelled, and is asked as it comes back',
  { port: 28_240, taskMs: untilStopped },
  async (cluster) => {
    const chain = await startChain(cluster, 4);
    cluster.store.held.add('keel-2');
    for (const link of cluster.peersOf('keel-2')) link.cut();
    assert.equal(await cluster.cancelSurely(idOf(1), [0, 1]), 'cancelled');
    await pause(cancelDeadlineMs + workerLeaseMs);
    cluster.store.held.delete('keel-2');
    for (const link of cluster.peersOf('keel-2')) link.heal();
    for (let i = 0; i < 20; i++) {
      await Promise.all(chain.map((id) => cluster.ask(2, id)));
      await pause(heartbeatIntervalMs / 4);
    }
    await cancelledEverywhere(cluster, chain);
  },
);
