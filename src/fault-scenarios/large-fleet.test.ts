/** Three controllers with 4000 machines: nothing that the service does may depend on there being fewer. */
import assert from 'node:assert/strict';
import { type Cluster, everyTask, labels, submission, tasksOf } from '../testing/cluster.js';
import { scenario } from '../testing/scenario.js';

const machineCount = 4000;
const tasksPerJob = 200;
/** Long enough for one process to send and to answer the reports of all machines. */
const times = { report_s: 6, lease_s: 40, cancel_s: 50 };
const cancelDeadlineMs = times.cancel_s * 1000;
const rampUpMs = 90_000;
/** Tasks that may be started again after all that happens to their controllers, as a share of all. */
const maxRestartShare = 0.05;
const meanTaskMs = 25_000;
const jobIdOf = (i: number): string => `req-${String(i).padStart(6, '0')}`;

/** Jobs that take a machine for each of their tasks. */
async function submitJobsForAllMachines(cluster: Cluster): Promise<string[]> {
  const ids = Array.from({ length: machineCount / tasksPerJob }, (_, i) => jobIdOf(i + 1));
  for (const [i, id] of ids.entries()) {
    await cluster.submitSurely(submission(id, tasksPerJob, { owner: 'blue', cpus: 8 }), i);
  }
  return ids;
}

/** Tasks that are let go together end one after another: between 0.8 and 1.2 of the mean. */
function staggeredTaskMs(task: string): number {
  const index = Number(task.split('/')[1]);
  return meanTaskMs * (0.8 + (0.4 * index) / tasksPerJob);
}

function busyMachineCount(cluster: Cluster): number {
  return [...cluster.workers.values()].filter(({ tasks }) => tasks.size > 0).length;
}

/** A job of which tasks run on machines that the controller does not own. */
function findJobOfOtherControllers(cluster: Cluster, ids: string[], label: string): string {
  const others = labels.map((_, block) => cluster.block(block)).filter(({ owner }) => owner !== label);
  const runningTasks = others
    .flatMap((block) => block.machines)
    .flatMap(({ id }) => cluster.workers.get(id)?.running ?? []);
  const found = ids.find((id) => runningTasks.some((task) => task.startsWith(`${id}/`)));
  assert.ok(found, 'tasks run on the machines of the others');
  return found;
}

function countTaskRestarts(cluster: Cluster): number {
  const startedTasks = cluster.history.happenings.flatMap((event) =>
    event.kind === 'started' ? [event.task] : [],
  );
  return startedTasks.length - new Set(startedTasks).size;
}

// Guards against limits that only a large fleet meets: block records and leases larger than a value, machines forgotten or
// called silent because one controller has too many to serve, tasks lost or started twice as their blocks change hands.
scenario(
  'one controller is left with 4000 machines as a job is cancelled, and all restart',
  { port: 30_000, taskMs: staggeredTaskMs, capacity: machineCount / 2, times },
  async (cluster) => {
    cluster.holdsTask = everyTask;
    const ids = await submitJobsForAllMachines(cluster);
    await cluster.until(
      'nearly all machines work',
      () => busyMachineCount(cluster) >= 0.9 * machineCount,
      rampUpMs,
    );
    const leader = await cluster.leading();
    const [survivor = '', other = ''] = labels.filter((label) => label !== leader);
    const cancelled = findJobOfOtherControllers(cluster, ids, survivor);
    // The others run through the takeover and end after it.
    cluster.holdsTask = tasksOf(cancelled);
    cluster.stopController(leader);
    cluster.stopController(other);
    assert.equal(await cluster.cancelSurely(cancelled, [labels.indexOf(survivor)]), 'cancelled');
    await cluster.until('it has all blocks', () => new Set(cluster.owners()).size === 1, cancelDeadlineMs);
    await cluster.until(
      'nothing of the job is left',
      () => cluster.runningOf(cancelled).length === 0,
      cancelDeadlineMs,
    );
    cluster.stopController(survivor);
    for (const label of labels) cluster.startController(label);
    await cluster.allDone(
      ids.filter((id) => id !== cancelled),
      2 * cancelDeadlineMs,
    );
    assert.deepEqual(cluster.store.sizeRefusals, []);
    assert.ok(
      countTaskRestarts(cluster) < machineCount * maxRestartShare,
      `${countTaskRestarts(cluster)} tasks were started again`,
    );
  },
);
