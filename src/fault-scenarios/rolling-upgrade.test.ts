/**
 * Scenarios of a rolling upgrade: controllers of the version in production and of the current version run
 * side by side on the same data.
 */
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
  tasksOf,
} from '../testing/cluster.js';
import { type EarlierBuild, buildCommit, productionCommit } from '../testing/earlier-build.js';
import { scenario } from '../testing/scenario.js';
import { jsonSizeBytes } from '../wire/codec.js';
import { submission } from '../testing/submission.js';

/**
 * Upcoming limits of the state service that the settings announce. They are lower than the current limits.
 */
const nextLimits = { value_kb: 2, txn_ops: 6, write_rps: 150 };
const nextValueBytes = nextLimits.value_kb * 1024;
/** Returns the id of the job with this number. */
const idOf = (i: number): string => `req-${String(i).padStart(6, '0')}`;
const earlier = { program: '', labels };
let build: EarlierBuild | undefined;

before(() => {
  build = buildCommit(productionCommit());
  earlier.program = build.program;
});

after(() => build?.remove());

test('the deploy file names an ancestor of this commit as the version in production', () => {
  const type = execFileSync('git', ['cat-file', '-t', productionCommit()], { encoding: 'utf8' });
  assert.equal(type.trim(), 'commit');
  execFileSync('git', ['merge-base', '--is-ancestor', productionCommit(), 'HEAD']);
});

/** Submits jobs for a team without a quota, with tasks so small that a machine runs dozens of them. */
async function submitSmallJobs(
  cluster: Cluster,
  firstNumber: number,
  count: number,
  tasks: number,
): Promise<string[]> {
  const ids = Array.from({ length: count }, (_, i) => idOf(firstNumber + i));
  const small = { owner: 'blue', cpus: 0.25, memoryGb: 0.25 };
  for (const [i, id] of ids.entries()) await cluster.submitUntilAccepted(submission(id, tasks, small), i);
  return ids;
}

function largestValueBytes(cluster: Cluster): number {
  return Math.max(...[...cluster.store.keys.values()].map(({ value }) => jsonSizeBytes(value)));
}

function haveAllAnnouncedFormat(cluster: Cluster): boolean {
  return labels.every((label) => cluster.store.value(`formats/${label}`) !== undefined);
}

/**
 * Returns true if the ledger of every block has the new layout. As long as the earlier version has to read
 * the ledgers, their pages may exceed the announced limits.
 */
function haveAllLedgersNewLayout(cluster: Cluster): boolean {
  const [label = ''] = labels;
  const { chunkTasks } = ledgerLayout(cluster.settings(label), true);
  return labels.every((_, block) => cluster.chunkTasks.get(block) === chunkTasks);
}

// Both versions read and write the same records during the upgrade. If one version misread the records of the
// other, it could start tasks of the other version twice, forget them or release them. One controller process
// is killed before its upgrade and restarts with the earlier version.
scenario(
  'controllers are upgraded one by one while jobs run; one dies before its upgrade and restarts with the earlier version',
  { port: 29_000, capacity: 10, earlierVersion: earlier, nextLimits, taskMs: 2500 },
  async (cluster) => {
    cluster.shouldHoldTask = everyTask;
    const ids = await submitSmallJobs(cluster, 1, 4, 150);
    await cluster.waitUntil('tasks run', () => cluster.runningOf(idOf(1)).length > 0);
    // The tasks of the job that is cancelled below do not end by themselves.
    cluster.shouldHoldTask = tasksOf(idOf(3));
    const first = await cluster.waitForLeader();
    const [second = '', third = ''] = labels.filter((label) => label !== first);
    // A leader of the earlier version now works with a block owner of this version. When this owner stops, a
    // controller of the earlier version takes over its block. After the restart, the owner gets its block
    // back.
    await cluster.upgrade(second);
    ids.push(...(await submitSmallJobs(cluster, 50, 2, 100)));
    await pause(4 * heartbeatIntervalMs);
    cluster.stopController(second);
    await cluster.waitUntil(
      'the block of the stopped controller has another owner',
      () => !cluster.owners().includes(second),
    );
    await pause(4 * heartbeatIntervalMs);
    cluster.startController(second);
    // A controller is killed before its upgrade and restarts with the earlier version.
    cluster.processes.kill(third);
    await pause(2 * heartbeatIntervalMs);
    cluster.startProcess(third, earlier.program);
    ids.push(...(await submitSmallJobs(cluster, 100, 3, 100)));
    await pause(3 * heartbeatIntervalMs);
    assert.equal(await cluster.cancelUntilEnded(idOf(3)), 'cancelled');
    // A leader of this version now works with block owners of the earlier version.
    await cluster.upgrade(first);
    await pause(3 * heartbeatIntervalMs);
    ids.push(...(await submitSmallJobs(cluster, 200, 3, 100)));
    await cluster.upgrade(third);
    await cluster.waitUntil('all controllers have stored their format', () =>
      haveAllAnnouncedFormat(cluster),
    );
    await cluster.submitUntilAccepted(submission(idOf(300), 4, { moorings: [idOf(200)] }));
    await cluster.waitUntil('all ledgers have the new layout', () => haveAllLedgersNewLayout(cluster));
    await cluster.waitUntil(
      'every stored value is within the new size limit',
      () => largestValueBytes(cluster) <= nextValueBytes,
    );
    cluster.applyAnnouncedLimits();
    ids.push(...(await submitSmallJobs(cluster, 400, 3, 200)));
    await cluster.waitUntilAllDone([...ids.filter((id) => id !== idOf(3)), idOf(300)], 40_000);
    assert.deepEqual(cluster.store.sizeRefusals, []);
  },
);

// The earlier version accepts a backlog of jobs, all controllers are upgraded at the same time, and the
// limits of the state service are lowered. Guards against a backlog that only the earlier version can read,
// and against ledgers that exceed the new limits as soon as these take effect.
scenario(
  'all controllers are upgraded at the same time, and the limits of the state service are lowered as they return',
  { port: 29_040, taskMs: 5000, capacity: 10, earlierVersion: earlier, nextLimits },
  async (cluster) => {
    // No task ends before the ledger is large, because the end of a task makes the ledger smaller.
    cluster.shouldHoldTask = everyTask;
    const ids = await submitSmallJobs(cluster, 1, 6, 200);
    await cluster.waitUntil(
      'a stored value exceeds the new size limit',
      () => largestValueBytes(cluster) > nextValueBytes,
    );
    cluster.shouldHoldTask = noTask;
    await Promise.all(labels.map((label) => cluster.upgrade(label)));
    await cluster.waitUntil('a controller has stored its format', () =>
      labels.some((label) => cluster.store.value(`formats/${label}`) !== undefined),
    );
    cluster.applyAnnouncedLimits();
    // A job with dependencies is refused until all controllers support dependencies, and is then accepted.
    await cluster.submitUntilAccepted(submission('req-000100', 4, { moorings: [ids[0], ids[1]] }));
    for (const label of labels) await cluster.restart(label, 50);
    await cluster.waitUntilAllDone([...ids, 'req-000100'], 60_000);
    assert.ok(largestValueBytes(cluster) <= nextValueBytes, `${largestValueBytes(cluster)} bytes`);
  },
);

// The state service refuses a leader of the earlier version, a job is cancelled, and another controller takes
// over the leadership. Guards against a cancel, or a refusal by the state service, that is handled wrongly
// because the two versions count in different ways.
scenario(
  'the state service refuses a leader of the earlier version, a new leader takes over, and a job is cancelled meanwhile',
  { port: 29_080, taskMs: 8000, capacity: 10, earlierVersion: earlier, nextLimits },
  async (cluster) => {
    cluster.shouldHoldTask = everyTask;
    const ids = await submitSmallJobs(cluster, 1, 4, 20);
    await cluster.waitUntil('all jobs run', () => ids.every((id) => cluster.runningOf(id).length > 0));
    // The tasks of the job that is cancelled below do not end by themselves.
    cluster.shouldHoldTask = tasksOf('req-000002');
    const first = await cluster.waitForLeader();
    const [second = '', third = ''] = labels.filter((label) => label !== first);
    await cluster.upgrade(second);
    cluster.store.refusedClients.add(first);
    const nodes = [second, third].map((label) => labels.indexOf(label));
    assert.equal(await cluster.cancelUntilEnded('req-000002', nodes), 'cancelled');
    await cluster.waitForLeader(first);
    cluster.processes.kill(third);
    await cluster.waitUntil(
      'the tasks of the cancelled job have ended',
      () => cluster.runningOf('req-000002').length === 0,
      5000,
    );
    cluster.store.refusedClients.clear();
    await cluster.upgrade(third);
    await pause(workerLeaseMs / 2);
    await cluster.upgrade(first);
    await cluster.waitUntilAllDone(
      ids.filter((id) => id !== 'req-000002'),
      40_000,
    );
  },
);
