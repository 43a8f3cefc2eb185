/** Detects tasks that run far longer than other tasks of their job. */
import type { Task } from '../placement/job-state.js';
import type { MachineState } from '../placement/machine-state.js';

/**
 * Minimum number of completed tasks of a job before its running tasks are compared with the completed tasks.
 */
const minCompletedRuns = 3;
/**
 * If a task exceeds its expected run time by more than this factor, its machine is assumed to be the cause.
 * The factor has to stay above two normal spreads: the speeds of healthy machines differ by a tenth, and the
 * run times of tasks of one job differ by more.
 */
const stragglerRunTimeRatio = 3;

/**
 * Returns the tasks on the machine that have run several times as long as both the longest completed task of
 * their job and the user's estimate. The machine is most likely faulty, and these tasks end sooner if they
 * are restarted on another machine. `now` is a monotonic time in ms.
 */
export function findStragglers(machine: MachineState, now: number): Task[] {
  return [...machine.tasks.values()].filter((task) => isStraggler(task, now));
}

function isStraggler({ phase, running, runningSince, stopping, job }: Task, now: number): boolean {
  if (phase !== 'seen' || !running || stopping || runningSince === undefined || job.outcome) return false;
  const expectedMaxRunMs = Math.max(job.maxRunMs, (job.spec?.estimatedRunS ?? Infinity) * 1000);
  return (
    job.completedRuns >= minCompletedRuns && now - runningSince > expectedMaxRunMs * stragglerRunTimeRatio
  );
}
