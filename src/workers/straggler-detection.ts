/** Detection of tasks that run far longer than others of their job. */
import type { Task } from '../placement/job-state.js';
import type { MachineState } from '../placement/machine-state.js';

/** So many tasks of a job must have completed before others are compared with them. */
const minCompletedRuns = 3;
/** Speeds of good machines differ by a tenth, and the tasks of a job by more; beyond this ratio it is the machine. */
const stragglerRunTimeRatio = 3;

/**
 * Tasks of the machine that have run for several times as long as any completed task of their job, and as its user's
 * estimate says: the machine is most likely faulty, and the tasks end sooner if they start again elsewhere. `now` is steady
 * time in ms.
 */
export function findStragglers(machine: MachineState, now: number): Task[] {
  return [...machine.tasks.values()].filter((task) => isStraggler(task, now));
}

function isStraggler({ phase, running, runningSince, stopping, job }: Task, now: number): boolean {
  if (phase !== 'seen' || !running || stopping || runningSince === undefined || job.outcome) return false;
  const usualMs = Math.max(job.maxRunMs, (job.spec?.estimatedRunS ?? Infinity) * 1000);
  return job.completedRuns >= minCompletedRuns && now - runningSince > usualMs * stragglerRunTimeRatio;
}
