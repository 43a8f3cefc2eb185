/** The version in production and this one serve side by side, on each other's data, with processes of both builds. */
import assert from 'node:assert/strict';
import { execFileSync } from 'node:child_process';
import { after, before, test } from 'node:test';
import { ledgerLayout } from '../placement/ledger-layout.js';
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
import { type EarlierBuild, buildCommit, productionCommit } from '../testing/earlier-build.js';
import { scenario } from '../testing/scenario.js';
import { sizeOf } from '../wire/codec.js';

const nextLimits = { value_kb: 2, txn_ops: 6, write_rps: 150 };
const nextValueBytes = nextLimits.value_kb * 1024;
const jobIdOf = (i: number): string => `req-${String(i).padStart(6, '0')}`;
const earlier = { program: '', labels };
let build: EarlierBuild | undefined;

before(() => {
  build = buildCommit(productionCommit());
  earlier.program = build.program;
});

after(() => build?.remove());

test('the deploy file names a commit of the history as the version in production', () => {
  const type = execFileSync('git', ['cat-file', '-t', productionCommit()], { encoding: 'utf8' });
  assert.equal(type.trim(), 'commit');
  execFileSync('git', ['merge-base', '--is-ancestor', productionCommit(), 'HEAD']);
});

/** Jobs of a team without a limit, of tasks so small that a machine runs dozens of them. */
async function submitSmallJobs(
  cluster: Cluster,
  firstNumber: number,
  count: number,
  tasks: number,
): Promise<string[]> {
  const ids = Array.from({ length: count }, (_, i) => jobIdOf(firstNumber + i));
  const small = { owner: 'blue', cpus: 0.25, memoryGb: 0.25 };
  for (const [i, id] of ids.entries()) await cluster.submitSurely(submission(id, tasks, small), i);
  return ids;
}

function largestValueBytes(cluster: Cluster): number {
  return Math.max(...[...cluster.store.keys.values()].map(({ value }) => sizeOf(value)));
}

function haveAllAnnouncedFormat(cluster: Cluster): boolean {
  return labels.every((label) => cluster.store.value(`formats/${label}`) !== undefined);
}

/**
 * Every block has the ledger of the new layout: until then pages may outgrow the limits to come, since the earlier version
 * has to read them.
 */
function haveAllLedgersNewLayout(cluster: Cluster): boolean {
  const [label = ''] = labels;
  const { chunkTasks } = ledgerLayout(cluster.settings(label), true);
  return labels.every((_, block) => cluster.chunkTasks.get(block) === chunkTasks);
}

// Guards against records that one version misreads: tasks started twice, forgotten or released by the other, in both
// directions, with a process that comes back old before its turn.
scenario(
  'controllers are replaced one by one while jobs run, and one that dies before its turn comes back old',
  { port: 29_000, capacity: 10, earlier, nextLimits, taskMs: 2500 },
  async (cluster) => {
    cluster.holdsTask = everyTask;
    const ids = await submitSmallJobs(cluster, 1, 4, 150);
    await cluster.until('tasks run', () => cluster.runningOf(jobIdOf(1)).length > 0);
    // The job that is cancelled does not end by itself.
    cluster.holdsTask = tasksOf(jobIdOf(3));
    const first = await cluster.leading();
    const [second = '', third = ''] = labels.filter((label) => label !== first);
    // An old leader with a new owner, whose block an old one takes over and gives back.
    await cluster.upgrade(second);
    ids.push(...(await submitSmallJobs(cluster, 50, 2, 100)));
    await pause(4 * heartbeatIntervalMs);
    cluster.stopController(second);
    await cluster.until('its block has another owner', () => !cluster.owners().includes(second));
    await pause(4 * heartbeatIntervalMs);
    cluster.startController(second);
    // One that dies before its turn.
    cluster.processes.kill(third);
    await pause(2 * heartbeatIntervalMs);
    cluster.startProcess(third, earlier.program);
    ids.push(...(await submitSmallJobs(cluster, 100, 3, 100)));
    await pause(3 * heartbeatIntervalMs);
    assert.equal(await cluster.cancelSurely(jobIdOf(3)), 'cancelled');
    // A new leader with old owners.
    await cluster.upgrade(first);
    await pause(3 * heartbeatIntervalMs);
    ids.push(...(await submitSmallJobs(cluster, 200, 3, 100)));
    await cluster.upgrade(third);
    await cluster.until('all have announced their format', () => haveAllAnnouncedFormat(cluster));
    await cluster.submitSurely(submission(jobIdOf(300), 4, { moorings: [jobIdOf(200)] }));
    await cluster.until('all ledgers have the new layout', () => haveAllLedgersNewLayout(cluster));
    await cluster.until('what was large has been split', () => largestValueBytes(cluster) <= nextValueBytes);
    cluster.lowerLimits();
    ids.push(...(await submitSmallJobs(cluster, 400, 3, 200)));
    await cluster.allDone([...ids.filter((id) => id !== jobIdOf(3)), jobIdOf(300)], 40_000);
    assert.deepEqual(cluster.store.sizeRefusals, []);
  },
);

// Guards against a backlog that only one version can read, and against ledgers that outgrow the new limits at once.
scenario(
  'all end together and come back new, and the limits fall as they do',
  { port: 29_040, taskMs: 5000, capacity: 10, earlier, nextLimits },
  async (cluster) => {
    // Nothing ends, and with it shrinks the ledger, before it is large.
    cluster.holdsTask = everyTask;
    const ids = await submitSmallJobs(cluster, 1, 6, 200);
    await cluster.until(
      'a value is larger than what is to come',
      () => largestValueBytes(cluster) > nextValueBytes,
    );
    cluster.holdsTask = noTask;
    await Promise.all(labels.map((label) => cluster.upgrade(label)));
    await cluster.until('the first has announced its format', () =>
      labels.some((label) => cluster.store.value(`formats/${label}`) !== undefined),
    );
    cluster.lowerLimits();
    // A pipeline is turned away until all heed it, and taken then.
    await cluster.submitSurely(submission('req-000100', 4, { moorings: [ids[0], ids[1]] }));
    for (const label of labels) await cluster.restart(label, 50);
    await cluster.allDone([...ids, 'req-000100'], 60_000);
    assert.ok(largestValueBytes(cluster) <= nextValueBytes, `${largestValueBytes(cluster)} bytes`);
  },
);

// Guards against a handover in which a cancel or a refusal falls between two versions that count in different ways.
scenario(
  'the state service refuses an old leader as a new one takes over, and a cancel falls in',
  { port: 29_080, taskMs: 8000, capacity: 10, earlier, nextLimits },
  async (cluster) => {
    cluster.holdsTask = everyTask;
    const ids = await submitSmallJobs(cluster, 1, 4, 20);
    await cluster.until('all run', () => ids.every((id) => cluster.runningOf(id).length > 0));
    // The job that is cancelled does not end by itself.
    cluster.holdsTask = tasksOf('req-000002');
    const first = await cluster.leading();
    const [second = '', third = ''] = labels.filter((label) => label !== first);
    await cluster.upgrade(second);
    cluster.store.refused.add(first);
    const nodes = [second, third].map((label) => labels.indexOf(label));
    assert.equal(await cluster.cancelSurely('req-000002', nodes), 'cancelled');
    await cluster.leading(first);
    cluster.processes.kill(third);
    await cluster.until('its tasks are gone', () => cluster.runningOf('req-000002').length === 0, 5000);
    cluster.store.refused.clear();
    await cluster.upgrade(third);
    await pause(workerLeaseMs / 2);
    await cluster.upgrade(first);
    await cluster.allDone(
      ids.filter((id) => id !== 'req-000002'),
      40_000,
    );
  },
);
