/** Determines from the replica of the store whether the jobs of reported tasks have ended. */
import type { ReportedTask } from '../model/types.js';
import type { StoreReplica } from '../store/store-replica.js';
import { jobKey, outcomeKey } from '../wire/keys.js';

/** Whether a job has ended. `unknown`: the replica is too old to tell. */
export type JobEnding = 'open' | 'ended' | 'unknown';

/** The part of the replica that contains the records and outcomes of jobs. */
export type ReplicatedJobs = Pick<StoreReplica, 'get' | 'revision'>;

/** The tasks of a heartbeat that a worker executes although their job may not be open. */
export interface TasksByEnding {
  ended: readonly ReportedTask[];
  unknown: readonly ReportedTask[];
}

/**
 * Returns whether the job of a task on a machine has ended, as far as the replica tells. If the replica
 * contains neither the record of the job nor its outcome, but has reached the revision `fencingToken` of the
 * machine's lease, the job has ended: the record was created before the first task was started, and it is
 * deleted only in the commit of the outcome. An earlier owner started its tasks before the revision
 * `fencingToken`. The present owner started its tasks while the record was in this replica.
 */
export function jobEnding(jobs: ReplicatedJobs, id: string, fencingToken: number): JobEnding {
  if (jobs.get(outcomeKey(id)) !== undefined) return 'ended';
  if (jobs.get(jobKey(id)) !== undefined) return 'open';
  return jobs.revision >= fencingToken ? 'ended' : 'unknown';
}

const noTasks: TasksByEnding = { ended: [], unknown: [] };

/**
 * Returns the tasks that have not ended themselves and whose job has ended, or may have. `fencingToken` is the
 * token of the machine that reports the tasks.
 */
export function tasksByEnding(
  tasks: readonly ReportedTask[],
  jobs: ReplicatedJobs,
  fencingToken: number,
): TasksByEnding {
  const ended: ReportedTask[] = [];
  const unknown: ReportedTask[] = [];
  for (const task of tasks) {
    if (task.state === 'ended') continue;
    const ending = jobEnding(jobs, task.job, fencingToken);
    if (ending === 'ended') ended.push(task);
    else if (ending === 'unknown') unknown.push(task);
  }
  return ended.length + unknown.length === 0 ? noTasks : { ended, unknown };
}
