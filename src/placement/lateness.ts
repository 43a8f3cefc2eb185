/** Determines which job classes miss their objectives. */
import type { Objective } from '../settings/settings.js';
import type { QueuedJob } from './queue-order.js';

/** An objective of a job class that more open jobs have missed than the objective allows. */
export interface LateClass {
  jobClass: string;
  /** Kind and limit of the objective in readable form, for the log. */
  objective: string;
  /** Number of open jobs of the class. */
  open: number;
  /** Number of these open jobs that have missed the objective. */
  late: number;
}

/**
 * Tolerance in jobs. The share of an objective is a decimal fraction, so the computed number of jobs that may
 * be late can have a rounding error.
 */
const shareTolerance = 1e-6;

/**
 * Returns the job classes that miss an objective, so that people on call can be alerted before users
 * complain. `now` is the wall-clock time in ms since the epoch.
 */
export function lateClasses(
  objectives: Iterable<Objective>,
  jobs: Iterable<QueuedJob>,
  now: number,
): LateClass[] {
  const byClass = new Map<string, QueuedJob[]>();
  for (const job of jobs) {
    const classJobs = byClass.get(job.spec.jobClass);
    if (classJobs) classJobs.push(job);
    else byClass.set(job.spec.jobClass, [job]);
  }
  const result: LateClass[] = [];
  for (const objective of objectives) {
    const open = byClass.get(objective.jobClass ?? '') ?? [];
    const late = open.filter((job) => missesObjective(objective, job, now)).length;
    if (late === 0 || late <= open.length * (1 - (objective.share ?? 1)) + shareTolerance) continue;
    result.push({
      jobClass: objective.jobClass ?? '',
      objective: describeObjective(objective),
      open: open.length,
      late,
    });
  }
  return result;
}

function missesObjective(
  { kind, withinS, deadlineMultiple }: Objective,
  { spec, dependencyConstraints, waitingCount }: QueuedJob,
  now: number,
): boolean {
  const submittedS = (now - spec.acceptedAt) / 1000;
  if (kind === 'deadline')
    return spec.deadlineS !== null && submittedS > spec.deadlineS * (deadlineMultiple ?? 1);
  const ageS = (now - dependencyConstraints.readyAt) / 1000;
  if (withinS === undefined) return false;
  return (kind === 'finished' || (kind === 'wait' && waitingCount > 0)) && ageS > withinS;
}

function describeObjective({ kind, withinS, deadlineMultiple }: Objective): string {
  return kind === 'deadline' ? `deadline ${deadlineMultiple ?? 1}x` : `${kind} ${withinS ?? 0} s`;
}
