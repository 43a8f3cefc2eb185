import type { Task } from '../placement/job-state.js';
import type { MachineState } from '../placement/machine-state.js';

/** How many tasks of a job must have completed before one of them is compared with them. */
const minCompletedRuns = 3;
/** Speeds of good machines differ by a tenth, and the tasks of a job by more; beyond this it is the machine. */
const stragglerRunTimeRatio = 3;

/**
 * Tasks that have run for several times as long as any completed one of their job, and as the owner's estimate says: the
 * machine under them is most likely faulty, and starting them again elsewhere is the sooner way to their end.
 */
export function findStragglers(machine: MachineState, now: number): Task[] {
  return [...machine.tasks.values()].filter(({ phase, running, runningSince, stopping, job }) => {
    if (phase !== 'seen' || !running || stopping || runningSince === undefined || job.outcome) return false;
    const usualMs = Math.max(job.maxRunMs, (job.spec?.estimatedRunS ?? Infinity) * 1000);
    return job.completedRuns >= minCompletedRuns && now - runningSince > usualMs * stragglerRunTimeRatio;
  });
}
