/** The order in which waiting jobs are to start. */
import type { JobSpec, Urgency } from '../model/types.js';
import { urgencyRanks } from '../model/urgency.js';
import type { Objective } from '../settings/settings.js';

/**
 * A job with no started task is sorted first after it has waited for this many seconds: every job has to
 * start within four minutes.
 */
const starvedAfterS = 150;
/**
 * A job that has started but still has waiting tasks is sorted first after this multiple of `starvedAfterS`.
 */
const starvedStartedFactor = 2;

/** What a job's dependencies and dependents imply for its place in the queue. */
export interface DependencyFacts {
  /**
   * Time of day in ms from which the job's waiting time and objectives count; its deadline counts from
   * submission.
   */
  readyAt: number;
  /** The highest urgency of the job and of all its dependents. */
  urgency: Urgency;
  /** Time of day in ms by which the job has to end so that all its dependents can meet their deadlines. */
  endBy: number | undefined;
}

/** The facts of a job without dependencies and dependents. */
export function withoutDependencies(spec: JobSpec): DependencyFacts {
  return { readyAt: spec.acceptedAt, urgency: spec.urgency, endBy: undefined };
}

/** The properties of a job that determine its place in the queue. */
export interface QueuedJob {
  spec: JobSpec;
  dependencyFacts: DependencyFacts;
  /** Number of tasks that have yet to start. */
  waiting: number;
  /** Whether any task has started. */
  started: boolean;
}

/** Within an urgency, jobs of a lower tier start first. */
const tiers = { starved: 0, canMeetObjective: 1, hasMissedObjectives: 2 } as const;

/** Sort keys are compared field by field, in this order. */
interface SortKey {
  urgencyRank: number;
  tier: number;
  /** Time of day in ms. */
  dueAt: number;
  id: string;
}

/**
 * Sorts jobs by urgency, then by tier, then by due time. Among jobs of equal urgency, those that can still
 * meet their next objective come first, with small jobs before large ones. While there is more work than
 * room, this lets most jobs meet their objectives and a few wait, whereas the order of arrival would make all
 * of them late. A large job is due by the end of the time that its objective leaves. Jobs that have missed
 * all their objectives come after the others, but starved jobs come first, so that no job is left without any
 * start.
 */
export class QueueOrder {
  private readonly objectivesByClass = new Map<string, Objective[]>();

  /**
   * `minWindowMs`: objectives that leave no more than this time for the start are ignored if others leave
   * more.
   */
  constructor(
    objectives: Objective[],
    private readonly minWindowMs = 0,
  ) {
    for (const objective of objectives) {
      if (objective.jobClass === undefined) continue;
      const classObjectives = this.objectivesByClass.get(objective.jobClass);
      if (classObjectives) classObjectives.push(objective);
      else this.objectivesByClass.set(objective.jobClass, [objective]);
    }
  }

  /**
   * Returns the items sorted by the order in which their jobs are to start. `now` is the time of day in ms,
   * the time base of job timestamps.
   */
  sorted<T>(items: Iterable<T>, toJob: (item: T) => QueuedJob, now: number): T[] {
    const queued = [...items].map((item) => ({ item, job: toJob(item) }));
    const meanWaiting = meanWaitingByUrgency(queued);
    return queued
      .map(({ item, job }) => {
        const mean = meanWaiting.get(job.dependencyFacts.urgency) ?? 1;
        return { item, sortKey: this.sortKey(job, mean, now) };
      })
      .sort((a, b) => compare(a.sortKey, b.sortKey))
      .map(({ item }) => item);
  }

  private sortKey(job: QueuedJob, meanWaiting: number, now: number): SortKey {
    const { spec, dependencyFacts, waiting, started } = job;
    const { readyAt, urgency } = dependencyFacts;
    const { id } = spec;
    const urgencyRank = urgencyRanks[urgency];
    const ageS = (now - readyAt) / 1000;
    if (ageS > starvedAfterS * (started ? starvedStartedFactor : 1))
      return { urgencyRank, tier: tiers.starved, dueAt: readyAt, id };
    const windows = this.startWindowsS(spec, dependencyFacts);
    const nextWindow = windows.find((windowS) => windowS >= ageS);
    const tier = nextWindow === undefined ? tiers.hasMissedObjectives : tiers.canMeetObjective;
    // The larger the job compared with the mean, the later it is due within the time that its objective
    // leaves.
    const sizeShare = waiting / Math.max(1, waiting + meanWaiting);
    const dueAt = readyAt + (nextWindow ?? windows.at(-1) ?? 0) * 1000 * sizeShare;
    return { urgencyRank, tier, dueAt, id };
  }

  /**
   * The time after `readyAt` within which the job's tasks have to start to meet each objective, in seconds,
   * shortest first.
   */
  private startWindowsS(spec: JobSpec, { readyAt, endBy }: DependencyFacts): number[] {
    const { estimatedRunS, deadlineS } = spec;
    // A deadline counts from submission, including the time for which the job waited for its dependencies.
    const waitedS = (readyAt - spec.acceptedAt) / 1000;
    const objectives = this.objectivesByClass.get(spec.jobClass) ?? [];
    const windows = objectives.flatMap((objective) => startWindowS(objective, spec, waitedS) ?? []);
    if (endBy !== undefined) windows.push((endBy - readyAt) / 1000 - estimatedRunS);
    // Without an objective, a job is due in time for its deadline. Without a deadline, it is due once its
    // estimated run time has passed.
    if (windows.length === 0)
      windows.push(deadlineS === null ? estimatedRunS : deadlineS - waitedS - estimatedRunS);
    const meaningful = windows.filter((windowS) => windowS * 1000 > this.minWindowMs);
    return (meaningful.length > 0 ? meaningful : windows).sort((a, b) => a - b);
  }
}

function meanWaitingByUrgency(queued: Iterable<{ job: QueuedJob }>): Map<Urgency, number> {
  const totalsByUrgency = new Map<Urgency, { jobs: number; tasks: number }>();
  for (const { job } of queued) {
    const { dependencyFacts, waiting } = job;
    const totals = totalsByUrgency.get(dependencyFacts.urgency) ?? { jobs: 0, tasks: 0 };
    totals.jobs++;
    totals.tasks += waiting;
    totalsByUrgency.set(dependencyFacts.urgency, totals);
  }
  return new Map([...totalsByUrgency].map(([urgency, totals]) => [urgency, totals.tasks / totals.jobs]));
}

/**
 * Seconds after `readyAt` within which the job has to start to meet the objective; undefined if the objective
 * does not constrain the start.
 */
function startWindowS(
  { kind, withinS, times }: Objective,
  { estimatedRunS, deadlineS }: JobSpec,
  waitedS: number,
): number | undefined {
  if (kind === 'wait') return withinS;
  if (kind === 'finished' && withinS !== undefined) return withinS - estimatedRunS;
  if (kind === 'deadline' && deadlineS !== null) return deadlineS * (times ?? 1) - waitedS - estimatedRunS;
  return undefined;
}

function compare(x: SortKey, y: SortKey): number {
  return x.urgencyRank - y.urgencyRank || x.tier - y.tier || x.dueAt - y.dueAt || compareIds(x.id, y.id);
}

function compareIds(x: string, y: string): number {
  if (x === y) return 0;
  return x < y ? -1 : 1;
}
