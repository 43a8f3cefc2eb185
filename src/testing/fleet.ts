/** Fills a test cluster with jobs whose tasks take up one machine each. */
import { type Cluster } from './cluster.js';
import { submission } from './submission.js';

export const tasksPerFleetJob = 200;
/** CPUs of a whole machine. */
const machineCpus = 8;

/** Returns the id of the job with this number. */
const idOf = (i: number): string => `req-${String(i).padStart(6, '0')}`;

/** Submits one task for each machine, in jobs of `tasksPerFleetJob` tasks. Returns the ids of the jobs. */
export async function submitJobsForAllMachines(cluster: Cluster, machineCount: number): Promise<string[]> {
  const ids = Array.from({ length: machineCount / tasksPerFleetJob }, (_, i) => idOf(i + 1));
  for (const [i, id] of ids.entries()) {
    await cluster.submitUntilAccepted(
      submission(id, tasksPerFleetJob, { owner: 'blue', cpus: machineCpus }),
      i,
    );
  }
  return ids;
}

/** Returns the number of machines that have tasks. */
export function busyMachineCount(cluster: Cluster): number {
  return [...cluster.workers.values()].filter(({ tasks }) => tasks.size > 0).length;
}

/** Returns the number of task starts of the jobs beyond the first start of each task. */
export function countTaskRestarts(cluster: Cluster, ids: readonly string[]): number {
  const jobs = new Set(ids);
  const startedTasks = cluster.history.events.flatMap((event) =>
    event.kind === 'started' && jobs.has(event.task.split('/')[0] ?? '') ? [event.task] : [],
  );
  return startedTasks.length - new Set(startedTasks).size;
}
