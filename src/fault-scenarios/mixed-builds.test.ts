/**
 * Scenarios in which controllers of an earlier commit and of this one run side by side permanently on the
 * same data. Each version must be able to read the stored records and the peer statuses of the other version,
 * whichever version leads, owns blocks or answers users.
 */
import assert from 'node:assert/strict';
import { execFileSync } from 'node:child_process';
import { after, before, test } from 'node:test';
import {
  type Cluster,
  cancelDeadlineMs,
  everyTask,
  heartbeatIntervalMs,
  labels,
  pause,
  tasksOf,
  untilStopped,
  workerLeaseMs,
} from '../testing/cluster.js';
import { type EarlierBuild, buildCommit } from '../testing/earlier-build.js';
import { scenario } from '../testing/scenario.js';
import { submission } from '../testing/submission.js';

/**
 * The head of the main branch before identifiers in the sources were renamed. This is the last commit that
 * stores and sends some of its in-memory objects without a conversion.
 */
const commitBeforeRenames = '2be30b5872d7705d589379509e881f4e8adf3f22';

/**
 * Upcoming limits of the state service that the settings announce. They are lower than the current limits.
 */
const nextLimits = { value_kb: 2, txn_ops: 6, write_rps: 150 };
/**
 * Values of `ClusterOptions.earlierVersion`. The listed controllers start with the earlier version. The path
 * `program` is set after the earlier version has been built.
 */
const allEarlier = { program: '', labels };
const oneEarlier = { program: '', labels: ['keel-0'] };
const twoEarlier = { program: '', labels: ['keel-0', 'keel-2'] };
let build: EarlierBuild | undefined;

before(() => {
  build = buildCommit(commitBeforeRenames);
  for (const earlier of [allEarlier, oneEarlier, twoEarlier]) earlier.program = build.program;
});

after(() => build?.remove());

test('the commit of the earlier version is an ancestor of this commit', () => {
  const type = execFileSync('git', ['cat-file', '-t', commitBeforeRenames], { encoding: 'utf8' });
  assert.equal(type.trim(), 'commit');
  execFileSync('git', ['merge-base', '--is-ancestor', commitBeforeRenames, 'HEAD']);
});

function idOf(jobNumber: number): string {
  return `req-${String(jobNumber).padStart(6, '0')}`;
}

function nodeOf(label: string): number {
  return labels.indexOf(label);
}

function hasStarted(cluster: Cluster, id: string): boolean {
  return cluster.history.events.some((h) => h.kind === 'started' && h.task.startsWith(`${id}/`));
}

/** Submits a job to one controller and retries until this controller accepts the job. */
async function submitAt(
  cluster: Cluster,
  label: string,
  id: string,
  tasks: number,
  overrides: Record<string, unknown>,
): Promise<void> {
  const job = submission(id, tasks, overrides);
  await cluster.waitUntil(`${id} is accepted at ${label}`, async () =>
    [200, 201].includes(await cluster.submit(nodeOf(label), job)),
  );
}

/** Submits jobs for a team without a quota, with tasks so small that a machine runs dozens of them. */
async function submitSmallJobs(cluster: Cluster, label: string, ids: string[], tasks: number): Promise<void> {
  const small = { owner: 'blue', cpus: 0.25, memoryGb: 0.25 };
  for (const id of ids) await submitAt(cluster, label, id, tasks, small);
}

/**
 * Submits a chain of three jobs, and further jobs that set other fields of a submission. Returns their ids.
 */
async function submitVariedJobs(cluster: Cluster, label: string, firstNumber: number): Promise<string[]> {
  const variants: Record<string, unknown>[] = [
    {},
    { moorings: [idOf(firstNumber)] },
    { moorings: [idOf(firstNumber), idOf(firstNumber + 1)], urgency: 'production' },
    { owner: 'blue', together: true, dueS: 60 },
    { owner: 'blue', apart: true, hulls: ['c8'] },
    { owner: 'blue', berth: 'a', loaners: true, urgency: 'best_effort' },
  ];
  const ids = variants.map((_, i) => idOf(firstNumber + i));
  for (const [i, overrides] of variants.entries()) await submitAt(cluster, label, ids[i] ?? '', 3, overrides);
  return ids;
}

/**
 * Waits until the job runs, cancels it at one controller and waits until its tasks have ended. Fails the test
 * if they have not ended within the cancel deadline.
 */
async function cancelAt(cluster: Cluster, label: string, id: string): Promise<void> {
  await cluster.waitUntil(`${id} runs`, () => cluster.runningOf(id).length > 0);
  assert.equal(await cluster.cancelUntilEnded(id, [nodeOf(label)]), 'cancelled');
  await cluster.waitUntil(
    'the tasks of the cancelled job have ended',
    () => cluster.runningOf(id).length === 0,
    cancelDeadlineMs,
  );
}

/**
 * A group of controllers that run the same version. The function `restart` restarts one of them with this
 * version.
 */
interface VersionGroup {
  labels: string[];
  restart: (label: string) => Promise<void>;
}

/** Time in ms after which a stopped leader has lost its leadership. */
const leadershipExpiryMs = workerLeaseMs;

/**
 * Waits until a controller of `group` leads. If a controller of `otherGroup` leads, restarts this controller,
 * so that it loses its leadership.
 */
async function awaitLeaderOf(cluster: Cluster, group: VersionGroup, otherGroup: VersionGroup): Promise<void> {
  for (;;) {
    const leader = await cluster.waitForLeader();
    if (group.labels.includes(leader)) return;
    await otherGroup.restart(leader);
  }
}

const maxRounds = 5;

/**
 * Submits jobs to a controller of `others` while a controller of `leaders` leads, and waits until the first
 * of these jobs has started. The test does not delay the leader during this wait. But if the process of the
 * leader is delayed for so long that its lease in the store expires, the leader loses its leadership. In this
 * case, submits further jobs, in at most `maxRounds` rounds. Returns the ids of all jobs. Fails the test if
 * no term lasts long enough.
 */
async function submitDuringTermOf(
  cluster: Cluster,
  leaders: VersionGroup,
  others: VersionGroup,
  firstNumber: number,
): Promise<string[]> {
  const ids: string[] = [];
  for (let round = 0; round < maxRounds; round++) {
    await awaitLeaderOf(cluster, leaders, others);
    const term = cluster.leaderToken();
    const submitted = await submitVariedJobs(cluster, others.labels[0] ?? '', firstNumber + 10 * round);
    ids.push(...submitted);
    await cluster.waitUntil('the first of the submitted jobs has started', () =>
      hasStarted(cluster, submitted[0] ?? ''),
    );
    if (cluster.leaderToken() === term && leaders.labels.includes(await cluster.waitForLeader())) return ids;
  }
  return assert.fail(
    `no term of ${leaders.labels.join(' or ')} lasted until the first of the submitted jobs had started`,
  );
}

// Leadership and all blocks move from one version to the other and back. Guards against stored records that
// one version misreads. Possible results are jobs that one version accepts and a leader of the other version
// never dispatches, tasks that are started twice or forgotten as a block changes owners, and dependents that
// start too early.
scenario(
  'leadership and all blocks move to this version and back, while jobs run and are cancelled at both versions',
  {
    port: 31_000,
    capacity: 10,
    earlierVersion: allEarlier,
    nextLimits,
    taskMs: 1500,
  },
  async (cluster) => {
    const first = await cluster.waitForLeader();
    const [second = '', third = ''] = labels.filter((label) => label !== first);
    const restartAsEarlier = (label: string): Promise<void> => cluster.downgrade(label, leadershipExpiryMs);
    const restartAsCurrent = (label: string): Promise<void> => cluster.upgrade(label, leadershipExpiryMs);
    cluster.shouldHoldTask = everyTask;
    await submitSmallJobs(cluster, first, [idOf(1), idOf(2)], 6);
    const ids = [idOf(10), idOf(11), idOf(12)];
    await submitSmallJobs(cluster, first, ids, 100);
    await cluster.waitUntil('tasks run', () => ids.some((id) => cluster.runningOf(id).length > 0));
    // Tasks of the first two jobs do not end by themselves, because these jobs are cancelled below.
    cluster.shouldHoldTask = tasksOf(idOf(1), idOf(2));

    await cluster.upgrade(second);
    const earlierPair: VersionGroup = { labels: [first, third], restart: restartAsEarlier };
    const currentOne: VersionGroup = { labels: [second], restart: restartAsCurrent };
    ids.push(...(await submitDuringTermOf(cluster, earlierPair, currentOne, 100)));
    await cancelAt(cluster, second, idOf(1));

    // Leadership and the block of the last controller of the earlier version move to this version.
    await cluster.upgrade(third);
    cluster.processes.kill(first);
    await cluster.waitForLeader(first);
    await cluster.waitUntil(
      'the block of the killed controller has another owner',
      () => !cluster.owners().includes(first),
    );
    cluster.startProcess(first, allEarlier.program);
    await cluster.waitUntil('the restarted controller owns a block again', () =>
      cluster.owners().includes(first),
    );
    const currentPair: VersionGroup = { labels: [second, third], restart: restartAsCurrent };
    const earlierOne: VersionGroup = { labels: [first], restart: restartAsEarlier };
    ids.push(...(await submitDuringTermOf(cluster, currentPair, earlierOne, 200)));
    await cancelAt(cluster, first, idOf(2));

    // The controllers of this version stop, so that the controller of the earlier version leads and owns all
    // blocks. It continues to lead after a controller of this version has started again.
    cluster.stopController(second);
    cluster.stopController(third);
    await cluster.waitUntil(
      'the controller of the earlier version leads',
      async () => (await cluster.waitForLeader()) === first,
    );
    await cluster.waitUntil('the controller of the earlier version owns all blocks', () =>
      cluster.owners().every((owner) => owner === first),
    );
    cluster.startController(second);
    await cluster.downgrade(third);
    await cluster.waitUntil('every controller owns a block', () =>
      labels.every((label) => cluster.owners().includes(label)),
    );
    ids.push(...(await submitDuringTermOf(cluster, earlierPair, currentOne, 300)));

    await cluster.waitUntilAllDone(ids, 60_000);
    await cluster.waitForStatusEverywhere([idOf(1), idOf(2)], 'cancelled', cancelDeadlineMs);
    assert.deepEqual(cluster.store.sizeRefusals, []);
  },
);

interface RunningJob {
  id: string;
  /** A controller that owns a machine on which a task of the job runs. */
  owner: string;
}

function findRunningJob(cluster: Cluster, owners: string[]): RunningJob | undefined {
  for (const { machine, running } of cluster.workers.values()) {
    const owner = cluster.ownerOf(machine.id);
    const [id] = running[0]?.split('/') ?? [];
    if (id !== undefined && owners.includes(owner)) return { id, owner };
  }
  return undefined;
}

const tasksPerJob = 2;
const minJobs = 8;
const maxJobs = 24;

/**
 * Submits at least `minJobs` and at most `maxJobs` jobs, until all of them run and one of them has a task on
 * a machine of one of the controllers `owners`. Returns the ids of all jobs, the id of this job and the owner
 * of the machine. The more jobs run, the more controllers have tasks on their machines.
 */
async function startJobs(cluster: Cluster, owners: string[]): Promise<RunningJob & { ids: string[] }> {
  const ids: string[] = [];
  while (ids.length < maxJobs) {
    const added = idOf(ids.length + 1);
    await cluster.submitUntilAccepted(submission(added, tasksPerJob, { owner: 'blue' }), ids.length);
    ids.push(added);
    if (ids.length < minJobs) continue;
    await cluster.waitUntil('all tasks run', () =>
      ids.every((id) => cluster.runningOf(id).length === tasksPerJob),
    );
    const found = findRunningJob(cluster, owners);
    if (found) return { ids, ...found };
  }
  return assert.fail(`no job runs on a machine of ${owners.join(' or ')}`);
}

// The state service refuses one controller, a peer of the other version confirms a cancel, and then the state
// service fails. Guards against a controller that misreads the peer statuses of the other version. If it
// treated them as invalid, it would stop renewing worker leases, and all its tasks would end. If it missed
// the cancellation in them, it would let the cancelled tasks run.
async function cancelBeforeOutage(
  cluster: Cluster,
  owners: string[],
  confirmingControllers: string[],
): Promise<void> {
  const { ids, id, owner } = await startJobs(cluster, owners);
  cluster.store.refusedClients.add(owner);
  await pause(heartbeatIntervalMs / 4);
  assert.equal(await cluster.cancelUntilEnded(id, confirmingControllers.map(nodeOf)), 'cancelled');
  cluster.store.hasOutage = true;
  await cluster.waitUntil(
    'the tasks of the cancelled job have ended',
    () => cluster.runningOf(id).length === 0,
    cancelDeadlineMs,
  );
  await pause(cancelDeadlineMs * 1.2);
  const startCount = cluster.history.events.filter(({ kind }) => kind === 'started').length;
  assert.equal(startCount, tasksPerJob * ids.length);
  const runningCounts = ids.map((jobId) => cluster.runningOf(jobId).length);
  assert.deepEqual(
    runningCounts,
    ids.map((jobId) => (jobId === id ? 0 : tasksPerJob)),
  );
  cluster.store.refusedClients.clear();
  cluster.store.hasOutage = false;
  await cluster.waitForStatusEverywhere([id], 'cancelled', 15_000);
}

scenario(
  'a job of this version is cancelled at an earlier one while the state service refuses its owner, and then fails',
  { port: 31_040, taskMs: untilStopped, capacity: 10, earlierVersion: oneEarlier },
  (cluster) => cancelBeforeOutage(cluster, ['keel-1', 'keel-2'], ['keel-0']),
);

scenario(
  'a job of an earlier version is cancelled at this one while the state service refuses its owner, and then fails',
  { port: 31_080, taskMs: untilStopped, capacity: 10, earlierVersion: twoEarlier },
  (cluster) => cancelBeforeOutage(cluster, ['keel-0', 'keel-2'], ['keel-1']),
);
