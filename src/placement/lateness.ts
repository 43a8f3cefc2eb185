/** Classes of jobs that miss their objectives. */
import type { Objective } from '../settings/settings.js';
import type { QueuedJob } from './queue-order.js';

/** An objective that more of a class's open jobs have missed than it allows. */
export interface LateClass {
  jobClass: string;
  /** Kind and measure of the objective, for people to read. */
  objective: string;
  /** How many jobs of the class are open. */
  open: number;
  /** How many of them have missed the objective. */
  late: number;
}

/** Shares are decimals, so what they allow may differ in its last bits. */
const shareTolerance = 1e-6;

/**
 * The classes that miss their objectives at `now`, the time of day in ms: people on call are to hear of it before users
 * complain.
 */
export function lateClasses(
  objectives: Iterable<Objective>,
  jobs: Iterable<QueuedJob>,
  now: number,
): LateClass[] {
  const byClass = new Map<string, QueuedJob[]>();
  for (const job of jobs) {
    const known = byClass.get(job.spec.jobClass);
    if (known) known.push(job);
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
  { kind, withinS, times }: Objective,
  { spec, dependencyFacts, waiting }: QueuedJob,
  now: number,
): boolean {
  const submittedS = (now - spec.acceptedAt) / 1000;
  if (kind === 'deadline') return spec.deadlineS !== null && submittedS > spec.deadlineS * (times ?? 1);
  const ageS = (now - dependencyFacts.readyAt) / 1000;
  if (withinS === undefined) return false;
  return (kind === 'finished' || (kind === 'wait' && waiting > 0)) && ageS > withinS;
}

function describeObjective({ kind, withinS, times }: Objective): string {
  return kind === 'deadline' ? `deadline ${times ?? 1}x` : `${kind} ${withinS ?? 0} s`;
}
