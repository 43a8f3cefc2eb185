/** Scenarios in which blocks change owners again and again while jobs are cancelled. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Cluster, labels, pause, untilStopped, workerLeaseMs } from '../testing/cluster.js';
import { submission } from '../testing/submission.js';

/** So few that at least one controller owns no machine of the job. */
const tasksPerJob = 2;
/** Worker times in s. The cancel deadline leaves time for several owners, each within one worker lease. */
const times = { report_s: 0.2, lease_s: workerLeaseMs / 1000, cancel_s: 6 };
const cancelDeadlineMs = times.cancel_s * 1000;
const [cancelled, open] = ['req-000001', 'req-000002'];

/** Returns the ids of the machines that run a task of the job. */
function machinesRunning(cluster: Cluster, id: string): string[] {
  const isOfJob = (task: string): boolean => task.startsWith(`${id}/`);
  return [...cluster.workers.values()].filter((w) => w.running.some(isOfJob)).map((w) => w.machine.id);
}

/**
 * Cancels the job `cancelled` while the owners of its machines are stopped. Until the cancel deadline, the
 * workers with tasks of the job `watchedJob` receive only one answer of every owner of their machines: the
 * owner is restarted right after this answer.
 */
async function cancelAsOwnersChange(cluster: Cluster, watchedJob: string): Promise<void> {
  for (const [i, id] of [cancelled, open].entries())
    await cluster.submitUntilAccepted(submission(id, tasksPerJob), i);
  await cluster.waitUntil('all tasks run', () =>
    [cancelled, open].every((id) => cluster.runningOf(id).length === tasksPerJob),
  );
  const watched = new Set(machinesRunning(cluster, watchedJob));
  const owners = new Set(machinesRunning(cluster, cancelled).map((machine) => cluster.ownerOf(machine)));
  const restarting = new Set<string>();
  cluster.onNewFencingToken = (machine) => {
    const owner = cluster.ownerOf(machine);
    if (!watched.has(machine) || restarting.has(owner)) return;
    restarting.add(owner);
    void cluster.restart(owner).finally(() => restarting.delete(owner));
  };
  for (const owner of owners) cluster.stopController(owner);
  const otherNodes = [0, 1, 2].filter((node) => !owners.has(labels[node] ?? ''));
  assert.equal(await cluster.cancelUntilEnded(cancelled, otherNodes), 'cancelled');
  for (const owner of owners) cluster.startController(owner);
  await pause(cancelDeadlineMs * 1.2);
  cluster.onNewFencingToken = () => undefined;
}

async function withOwnerChanges(
  port: number,
  watchedJob: string,
  check: (cluster: Cluster) => void,
): Promise<void> {
  const cluster = new Cluster({ port, taskMs: untilStopped, capacity: 6, times });
  try {
    await cluster.start();
    await cancelAsOwnersChange(cluster, watchedJob);
    check(cluster);
  } finally {
    cluster.stop();
  }
}

test('the tasks of a cancelled job end before the deadline although no owner of their machines answers twice', () =>
  withOwnerChanges(23_320, cancelled, (cluster) => assert.deepEqual(cluster.violations(), [])));

test('the tasks of an open job keep running although no owner of their machines answers twice', () =>
  withOwnerChanges(23_360, open, (cluster) => {
    const starts = cluster.history.events.filter(
      (event) => event.kind === 'started' && event.task.startsWith(`${open}/`),
    );
    assert.deepEqual([cluster.runningOf(open).length, starts.length], [tasksPerJob, tasksPerJob]);
  }));
