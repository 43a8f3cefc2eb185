/**
 * Controllers of an earlier commit and of this one serve side by side for good, on each other's data: whichever of them
 * leads, owns blocks or answers users, the others read what it has stored and understand what it says of itself.
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
  submission,
  tasksOf,
  untilStopped,
  workerLeaseMs,
} from '../testing/cluster.js';
import { type EarlierBuild, buildCommit } from '../testing/earlier-build.js';
import { scenario } from '../testing/scenario.js';

/**
 * The head of the main line before the names in the sources were changed: the last commit in which stored and sent forms
 * were, in part, the objects of the sources themselves.
 */
const commitBeforeRenames = '2be30b5872d7705d589379509e881f4e8adf3f22';

const nextLimits = { value_kb: 2, txn_ops: 6, write_rps: 150 };
/** Who begins with the earlier version, whose path is known once it has been built. */
const allEarlier = { program: '', labels };
const oneEarlier = { program: '', labels: ['keel-0'] };
const twoEarlier = { program: '', labels: ['keel-0', 'keel-2'] };
let build: EarlierBuild | undefined;

before(() => {
  build = buildCommit(commitBeforeRenames);
  for (const earlier of [allEarlier, oneEarlier, twoEarlier]) earlier.program = build.program;
});

after(() => build?.remove());

test('the earlier version is a commit of the history', () => {
  const type = execFileSync('git', ['cat-file', '-t', commitBeforeRenames], { encoding: 'utf8' });
  assert.equal(type.trim(), 'commit');
  execFileSync('git', ['merge-base', '--is-ancestor', commitBeforeRenames, 'HEAD']);
});

function jobIdOf(jobNumber: number): string {
  return `req-${String(jobNumber).padStart(6, '0')}`;
}

function nodeOf(label: string): number {
  return labels.indexOf(label);
}

function hasStarted(cluster: Cluster, id: string): boolean {
  return cluster.history.happenings.some((h) => h.kind === 'started' && h.task.startsWith(`${id}/`));
}

/** Submits to one controller until that one accepts. */
async function submitAt(
  cluster: Cluster,
  label: string,
  id: string,
  tasks: number,
  overrides: Record<string, unknown>,
): Promise<void> {
  const job = submission(id, tasks, overrides);
  await cluster.until(`${id} is accepted at ${label}`, async () =>
    [200, 201].includes(await cluster.submit(nodeOf(label), job)),
  );
}

/** Jobs of a team without a limit, so small that a machine runs dozens of their tasks. */
async function submitSmallJobs(cluster: Cluster, label: string, ids: string[], tasks: number): Promise<void> {
  const small = { owner: 'blue', cpus: 0.25, memoryGb: 0.25 };
  for (const id of ids) await submitAt(cluster, label, id, tasks, small);
}

/** A chain of three, and jobs that use every other field of a submission; their ids. */
async function submitVariedJobs(cluster: Cluster, label: string, firstNumber: number): Promise<string[]> {
  const variants: Record<string, unknown>[] = [
    {},
    { moorings: [jobIdOf(firstNumber)] },
    { moorings: [jobIdOf(firstNumber), jobIdOf(firstNumber + 1)], urgency: 'production' },
    { owner: 'blue', together: true, dueS: 60 },
    { owner: 'blue', apart: true, hulls: ['c8'] },
    { owner: 'blue', berth: 'a', loaners: true, urgency: 'best_effort' },
  ];
  const ids = variants.map((_, i) => jobIdOf(firstNumber + i));
  for (const [i, overrides] of variants.entries()) await submitAt(cluster, label, ids[i] ?? '', 3, overrides);
  return ids;
}

/** The job runs, one controller cancels it, and its tasks are gone in time. */
async function cancelAt(cluster: Cluster, label: string, id: string): Promise<void> {
  await cluster.until(`${id} runs`, () => cluster.runningOf(id).length > 0);
  assert.equal(await cluster.cancelSurely(id, [nodeOf(label)]), 'cancelled');
  await cluster.until('its tasks are gone', () => cluster.runningOf(id).length === 0, cancelDeadlineMs);
}

/** The controllers of one of the two versions, and how one of them ends and comes back. */
interface VersionGroup {
  labels: string[];
  restart: (label: string) => Promise<void>;
}

/** A life that has been over for so long has lost the lead. */
const leadershipExpiryMs = workerLeaseMs;

/** Waits until a controller of one side leads; one of the other that does is made to lose the lead. */
async function awaitLeaderOf(cluster: Cluster, group: VersionGroup, otherGroup: VersionGroup): Promise<void> {
  for (;;) {
    const leader = await cluster.leading();
    if (group.labels.includes(leader)) return;
    await otherGroup.restart(leader);
  }
}

const maxRounds = 5;

/**
 * Jobs that a controller of one side records, and whose tasks begin while one of the other leads: in the same term as when
 * they were submitted. A leader that is held up may lose the lead meanwhile; then as many jobs more are submitted.
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
    await cluster.until('the first of them runs', () => hasStarted(cluster, submitted[0] ?? ''));
    if (cluster.leaderToken() === term && leaders.labels.includes(await cluster.leading())) return ids;
  }
  return assert.fail(`no term of ${leaders.labels.join(' or ')} lasted for long enough`);
}

// Guards against records that one of the two misreads: jobs that the leader of one version never dispatches for the other,
// tasks started twice or forgotten as a block changes hands, dependents that start too early.
scenario(
  'the lead and all blocks go from the earlier version to this one and back, while jobs run and are cancelled at both',
  {
    port: 31_000,
    capacity: 10,
    earlier: allEarlier,
    nextLimits,
    taskMs: 1500,
  },
  async (cluster) => {
    const first = await cluster.leading();
    const [second = '', third = ''] = labels.filter((label) => label !== first);
    const restartAsEarlier = (label: string): Promise<void> => cluster.downgrade(label, leadershipExpiryMs);
    const restartAsCurrent = (label: string): Promise<void> => cluster.upgrade(label, leadershipExpiryMs);
    cluster.holdsTask = everyTask;
    await submitSmallJobs(cluster, first, [jobIdOf(1), jobIdOf(2)], 6);
    const ids = [jobIdOf(10), jobIdOf(11), jobIdOf(12)];
    await submitSmallJobs(cluster, first, ids, 100);
    await cluster.until('tasks run', () => ids.some((id) => cluster.runningOf(id).length > 0));
    // These two do not end by themselves: they are cancelled.
    cluster.holdsTask = tasksOf(jobIdOf(1), jobIdOf(2));

    await cluster.upgrade(second);
    const earlierPair: VersionGroup = { labels: [first, third], restart: restartAsEarlier };
    const currentOne: VersionGroup = { labels: [second], restart: restartAsCurrent };
    ids.push(...(await submitDuringTermOf(cluster, earlierPair, currentOne, 100)));
    await cancelAt(cluster, second, jobIdOf(1));

    // The lead and the block of the earlier version go to this one.
    await cluster.upgrade(third);
    cluster.processes.kill(first);
    await cluster.leading(first);
    await cluster.until('its block has another owner', () => !cluster.owners().includes(first));
    cluster.startProcess(first, allEarlier.program);
    await cluster.until('it owns a block again', () => cluster.owners().includes(first));
    const currentPair: VersionGroup = { labels: [second, third], restart: restartAsCurrent };
    const earlierOne: VersionGroup = { labels: [first], restart: restartAsEarlier };
    ids.push(...(await submitDuringTermOf(cluster, currentPair, earlierOne, 200)));
    await cancelAt(cluster, first, jobIdOf(2));

    // The earlier version has everything to itself for a while, and leads on beside this one.
    cluster.stopController(second);
    cluster.stopController(third);
    await cluster.until('it leads', async () => (await cluster.leading()) === first);
    await cluster.until('it owns all blocks', () => cluster.owners().every((owner) => owner === first));
    cluster.startController(second);
    await cluster.downgrade(third);
    await cluster.until('all own blocks', () => labels.every((label) => cluster.owners().includes(label)));
    ids.push(...(await submitDuringTermOf(cluster, earlierPair, currentOne, 300)));

    await cluster.allDone(ids, 60_000);
    await cluster.toldEverywhere([jobIdOf(1), jobIdOf(2)], 'cancelled', cancelDeadlineMs);
    assert.deepEqual(cluster.store.sizeRefusals, []);
  },
);

interface RunningJob {
  id: string;
  /** A controller that has machines with tasks of it. */
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

/** Jobs that all run, one of them at one of these controllers: the more jobs, the more controllers have some. */
async function startJobs(cluster: Cluster, owners: string[]): Promise<RunningJob & { ids: string[] }> {
  const ids: string[] = [];
  while (ids.length < maxJobs) {
    const added = jobIdOf(ids.length + 1);
    await cluster.submitSurely(submission(added, tasksPerJob, { owner: 'blue' }), ids.length);
    ids.push(added);
    if (ids.length < minJobs) continue;
    await cluster.until('all run', () => ids.every((id) => cluster.runningOf(id).length === tasksPerJob));
    const found = findRunningJob(cluster, owners);
    if (found) return { ids, ...found };
  }
  return assert.fail(`no job runs at ${owners.join(' or ')}`);
}

// Guards against statuses that arrive and are not understood: with the state service out, whoever is vouched for by none
// of its peers lets all its tasks go, and whoever does not hear of a cancel lets cancelled ones run.
async function cancelBeforeOutage(
  cluster: Cluster,
  owners: string[],
  confirmingControllers: string[],
): Promise<void> {
  const { ids, id, owner } = await startJobs(cluster, owners);
  cluster.store.refused.add(owner);
  await pause(heartbeatIntervalMs / 4);
  assert.equal(await cluster.cancelSurely(id, confirmingControllers.map(nodeOf)), 'cancelled');
  cluster.store.down = true;
  await cluster.until('its tasks are gone', () => cluster.runningOf(id).length === 0, cancelDeadlineMs);
  await pause(cancelDeadlineMs * 1.2);
  const startCount = cluster.history.happenings.filter(({ kind }) => kind === 'started').length;
  assert.equal(startCount, tasksPerJob * ids.length);
  const runningCounts = ids.map((one) => cluster.runningOf(one).length);
  assert.deepEqual(
    runningCounts,
    ids.map((one) => (one === id ? 0 : tasksPerJob)),
  );
  cluster.store.refused.clear();
  cluster.store.down = false;
  await cluster.toldEverywhere([id], 'cancelled', 15_000);
}

scenario(
  'a job of this version is cancelled at an earlier one, and the state service is out before it has heard',
  { port: 31_040, taskMs: untilStopped, capacity: 10, earlier: oneEarlier },
  (cluster) => cancelBeforeOutage(cluster, ['keel-1', 'keel-2'], ['keel-0']),
);

scenario(
  'a job of an earlier version is cancelled at this one, and the state service is out before it has heard',
  { port: 31_080, taskMs: untilStopped, capacity: 10, earlier: twoEarlier },
  (cluster) => cancelBeforeOutage(cluster, ['keel-0', 'keel-2'], ['keel-1']),
);
