/** The version in production and this one serve side by side, on each other's data, with processes of both builds. */
import assert from 'node:assert/strict';
import { execFileSync } from 'node:child_process';
import { before, test } from 'node:test';
import { type Cluster, labels, leaseMs, pause, reportMs, submission } from '../testing/cluster.js';
import { buildProduction, productionCommit } from '../testing/production.js';
import { scenario } from '../testing/scenario.js';
import { sizeOf } from '../wire/codec.js';

const nextLimits = { value_kb: 2, txn_ops: 6, write_rps: 150 };
const idOf = (i: number): string => `req-${String(i).padStart(6, '0')}`;
const earlier = { program: '', labels };

before(() => {
  earlier.program = buildProduction();
});

test('the deploy file names a commit of the history as the version in production', () => {
  const type = execFileSync('git', ['cat-file', '-t', productionCommit()], { encoding: 'utf8' });
  assert.equal(type.trim(), 'commit');
  execFileSync('git', ['merge-base', '--is-ancestor', productionCommit(), 'HEAD']);
});

/** Jobs enough for several machines in each block, and ledgers with done, running and waiting tasks. */
async function submitMany(cluster: Cluster, from: number, count: number, tasks: number): Promise<string[]> {
  const ids = Array.from({ length: count }, (_, i) => idOf(from + i));
  for (const [i, id] of ids.entries()) {
    await cluster.submitSurely(submission(id, tasks, { owner: i % 2 === 0 ? 'blue' : 'red' }), i);
  }
  return ids;
}

/** Jobs of a team without a limit, of tasks so small that a machine runs dozens of them. */
async function submitSmall(cluster: Cluster, count: number, tasks: number): Promise<string[]> {
  const ids = Array.from({ length: count }, (_, i) => idOf(1 + i));
  const small = { owner: 'blue', cpus: 0.25, memoryGb: 0.25 };
  for (const [i, id] of ids.entries()) await cluster.submitSurely(submission(id, tasks, small), i);
  return ids;
}

function largestValue(cluster: Cluster): number {
  return Math.max(...[...cluster.store.keys.values()].map(({ value }) => sizeOf(value)));
}

async function upgradedEverywhere(cluster: Cluster): Promise<void> {
  await cluster.until('all have announced their format', () =>
    labels.every((label) => cluster.store.value(`formats/${label}`) !== undefined),
  );
}

// Guards against records that one version misreads: tasks started twice, forgotten or released by the other, in both
// directions, with a process that comes back old before its turn.
scenario(
  'controllers are replaced one by one while jobs run, and one that dies before its turn comes back old',
  { port: 29_000, taskMs: 900, capacity: 10, earlier, nextLimits },
  async (cluster) => {
    const ids = await submitMany(cluster, 1, 6, 40);
    await cluster.until('tasks run', () => cluster.runningOf('req-000001').length > 0);
    const first = await cluster.leading();
    const others = labels.filter((label) => label !== first);
    // An old leader with a new owner, and then a new leader with old ones.
    await cluster.upgrade(others[0] ?? '');
    cluster.killProcess(others[1] ?? '');
    await pause(2 * reportMs);
    cluster.startProcess(others[1] ?? '', earlier.program);
    ids.push(...(await submitMany(cluster, 100, 3, 30)));
    await pause(3 * reportMs);
    assert.equal(await cluster.cancelSurely('req-000003'), 'cancelled');
    await cluster.upgrade(first);
    await pause(3 * reportMs);
    ids.push(...(await submitMany(cluster, 200, 3, 30)));
    await cluster.upgrade(others[1] ?? '');
    await upgradedEverywhere(cluster);
    await cluster.submitSurely(submission('req-000300', 4, { moorings: ['req-000200'] }));
    cluster.lowerLimits();
    await cluster.allDone([...ids.filter((id) => id !== 'req-000003'), 'req-000300'], 40_000);
    assert.ok(largestValue(cluster) <= nextLimits.value_kb * 1024, `${largestValue(cluster)} bytes`);
  },
);

// Guards against a backlog that only one version can read, and against ledgers that outgrow the new limits at once.
scenario(
  'all end together and come back new, and the limits fall as they do',
  { port: 29_040, taskMs: 5000, capacity: 10, earlier, nextLimits },
  async (cluster) => {
    const ids = await submitSmall(cluster, 6, 200);
    await cluster.until(
      'a value is larger than what is to come',
      () => largestValue(cluster) > nextLimits.value_kb * 1024,
    );
    await Promise.all(labels.map((label) => cluster.upgrade(label)));
    await cluster.until('the first has announced its format', () =>
      labels.some((label) => cluster.store.value(`formats/${label}`) !== undefined),
    );
    cluster.lowerLimits();
    // A pipeline is turned away until all heed it, and taken then.
    await cluster.submitSurely(submission('req-000100', 4, { moorings: [ids[0], ids[1]] }));
    for (const label of labels) await cluster.restart(label, 50);
    await cluster.allDone([...ids, 'req-000100'], 60_000);
    assert.ok(largestValue(cluster) <= nextLimits.value_kb * 1024, `${largestValue(cluster)} bytes`);
  },
);

// Guards against a handover in which a cancel or a refusal falls between two versions that count in different ways.
scenario(
  'the state service refuses an old leader as a new one takes over, and a cancel falls in',
  { port: 29_080, taskMs: 8000, capacity: 10, earlier, nextLimits },
  async (cluster) => {
    const ids = await submitSmall(cluster, 4, 20);
    await cluster.until('all run', () => ids.every((id) => cluster.runningOf(id).length > 0));
    const first = await cluster.leading();
    const [second = '', third = ''] = labels.filter((label) => label !== first);
    await cluster.upgrade(second);
    cluster.store.refused.add(first);
    const nodes = [second, third].map((label) => labels.indexOf(label));
    assert.equal(await cluster.cancelSurely('req-000002', nodes), 'cancelled');
    await cluster.leading(first);
    cluster.killProcess(third);
    await cluster.until('its tasks are gone', () => cluster.runningOf('req-000002').length === 0, 5000);
    cluster.store.refused.clear();
    await cluster.upgrade(third);
    await pause(leaseMs / 2);
    await cluster.upgrade(first);
    await cluster.allDone(
      ids.filter((id) => id !== 'req-000002'),
      40_000,
    );
  },
);
