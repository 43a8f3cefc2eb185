/**
 * A scenario of three controllers with 4000 machines. It fails if a part of the service relies on a smaller
 * fleet.
 */
import assert from 'node:assert/strict';
import { type Cluster, everyTask, labels, tasksOf } from '../testing/cluster.js';
import {
  busyMachineCount,
  countTaskRestarts,
  submitJobsForAllMachines,
  tasksPerFleetJob,
} from '../testing/fleet.js';
import { scenario } from '../testing/scenario.js';

const machineCount = 4000;
/**
 * Heartbeat interval, worker lease and cancel deadline in s. They are so long that one process can send and
 * answer the heartbeats of all machines.
 */
const times = { report_s: 6, lease_s: 40, cancel_s: 50 };
const cancelDeadlineMs = times.cancel_s * 1000;
const rampUpMs = 90_000;
/**
 * Despite the controller failures, the number of repeated task starts must be below this share of all tasks.
 */
const maxRestartShare = 0.05;
const meanTaskMs = 25_000;
/**
 * Returns the duration of a task in ms, between 0.8 and 1.2 times the mean. Tasks that are released at the
 * same time therefore do not all end at the same time.
 */
function staggeredTaskMs(task: string): number {
  const index = Number(task.split('/')[1]);
  return meanTaskMs * (0.8 + (0.4 * index) / tasksPerFleetJob);
}

/** Returns the id of a job with a task that runs on a machine of another controller than `label`. */
function findJobOfOtherControllers(cluster: Cluster, ids: string[], label: string): string {
  const others = labels.map((_, block) => cluster.block(block)).filter(({ owner }) => owner !== label);
  const runningTasks = others
    .flatMap((block) => block.machines)
    .flatMap(({ id }) => cluster.workers.get(id)?.running ?? []);
  const found = ids.find((id) => runningTasks.some((task) => task.startsWith(`${id}/`)));
  assert.ok(found, 'no job has a task on a machine of another controller');
  return found;
}

// Two of the three controllers stop, so the third one takes over all blocks. Guards against failures that
// only a large fleet shows: block records and leases exceed the size limit of a value, machines are forgotten
// or declared silent because one controller has too many of them to serve, and tasks are lost or started
// twice when their blocks change owners.
scenario(
  'one controller is left with 4000 machines as a job is cancelled, and then all controllers restart',
  { port: 30_000, taskMs: staggeredTaskMs, capacity: machineCount / 2, times },
  async (cluster) => {
    cluster.shouldHoldTask = everyTask;
    const ids = await submitJobsForAllMachines(cluster, machineCount);
    await cluster.waitUntil(
      '90% of the machines run tasks',
      () => busyMachineCount(cluster) >= 0.9 * machineCount,
      rampUpMs,
    );
    const leader = await cluster.waitForLeader();
    const [survivor = '', other = ''] = labels.filter((label) => label !== leader);
    const cancelled = findJobOfOtherControllers(cluster, ids, survivor);
    // The tasks of the other jobs run during the takeover and end after it.
    cluster.shouldHoldTask = tasksOf(cancelled);
    cluster.stopController(leader);
    cluster.stopController(other);
    assert.equal(await cluster.cancelUntilEnded(cancelled, [labels.indexOf(survivor)]), 'cancelled');
    await cluster.waitUntil(
      'one controller owns all blocks',
      () => new Set(cluster.owners()).size === 1,
      cancelDeadlineMs,
    );
    await cluster.waitUntil(
      'the tasks of the cancelled job have ended',
      () => cluster.runningOf(cancelled).length === 0,
      cancelDeadlineMs,
    );
    cluster.stopController(survivor);
    for (const label of labels) cluster.startController(label);
    await cluster.waitUntilAllDone(
      ids.filter((id) => id !== cancelled),
      2 * cancelDeadlineMs,
    );
    assert.deepEqual(cluster.store.sizeRefusals, []);
    assert.ok(
      countTaskRestarts(cluster, ids) < machineCount * maxRestartShare,
      `${countTaskRestarts(cluster, ids)} tasks were started again`,
    );
  },
);
