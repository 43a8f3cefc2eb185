/** Sorts waiting jobs into the order in which they are to start. */
import type { JobSpec, Urgency } from '../model/types.js';
import { urgencyRanks } from '../model/urgency.js';
import type { Objective } from '../settings/settings.js';

/**
 * A job without a started task is sorted before other jobs of its urgency after it has waited for this many
 * seconds, because every job has to start within four minutes.
 */
const starvedAfterS = 150;
/** Factor by which `starvedAfterS` is multiplied for a job that has started but still has waiting tasks. */
const starvedStartedFactor = 2;

/** Values for the sort order of a job that are derived from its dependencies and its dependents. */
export interface DependencyConstraints {
  /**
   * Wall-clock time in ms since the epoch from which the job's waiting time and objectives are measured. The
   * job's deadline is measured from `acceptedAt` instead.
   */
  readyAt: number;
  /** The highest urgency of the job and of all its dependents. */
  urgency: Urgency;
  /**
   * Wall-clock time in ms since the epoch by which the job has to end so that all its dependents can meet
   * their deadlines.
   */
  endBy: number | undefined;
}

/**
 * Returns the values of `DependencyConstraints` for a job that has neither dependencies nor dependents. The
 * job is ready when it is accepted, keeps its own urgency, and has no latest end time.
 */
export function withoutDependencies(spec: JobSpec): DependencyConstraints {
  return { readyAt: spec.acceptedAt, urgency: spec.urgency, endBy: undefined };
}

/** The properties of a job that determine its place in the queue. */
export interface QueuedJob {
  spec: JobSpec;
  dependencyConstraints: DependencyConstraints;
  /** Number of the job's tasks that wait to start. */
  waitingCount: number;
  /** Whether any task of the job has started. */
  started: boolean;
}

/** Tiers of the sort order. Among jobs of equal urgency, jobs of a lower tier start first. */
const tiers = { starved: 0, canMeetObjective: 1, hasMissedObjectives: 2 } as const;

/** The values by which a job is sorted, compared field by field in this order. */
interface SortKey {
  urgencyRank: number;
  tier: number;
  /** Wall-clock time in ms since the epoch at which the job is due to start. */
  dueAt: number;
  id: string;
}

/**
 * Sorts jobs by urgency, then by tier, then by due time. Among jobs of equal urgency, starved jobs come
 * first, so that no job is left without a started task. Jobs that can still meet an objective come next, with
 * small jobs before large jobs. Jobs that have missed all their objectives come last.
 *
 * If there is more work than the machines can run, this order lets most jobs meet their objectives, and only
 * a few jobs wait. If jobs were sorted in order of arrival, all of them would be late. Even the largest job
 * is due no later than the end of the time that its objective leaves for the start.
 */
export class QueueOrder {
  private readonly objectivesByClass = new Map<string, Objective[]>();

  /**
   * @param objectives the objectives of all job classes
   * @param minWindowMs an objective that leaves no more than this time in ms for the start of a job is
   *   ignored if another objective of the job leaves more
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
   * Returns the items sorted by the order in which their jobs are to start.
   * @param items the items to sort
   * @param toJob returns the job of an item
   * @param now wall-clock time in ms since the epoch; the timestamps of jobs have the same time base
   */
  sorted<T>(items: Iterable<T>, toJob: (item: T) => QueuedJob, now: number): T[] {
    const queued = [...items].map((item) => ({ item, job: toJob(item) }));
    const meanWaiting = meanWaitingByUrgency(queued);
    return queued
      .map(({ item, job }) => {
        const mean = meanWaiting.get(job.dependencyConstraints.urgency) ?? 1;
        return { item, sortKey: this.sortKey(job, mean, now) };
      })
      .sort((a, b) => compareSortKeys(a.sortKey, b.sortKey))
      .map(({ item }) => item);
  }

  private sortKey(job: QueuedJob, meanWaiting: number, now: number): SortKey {
    const { spec, dependencyConstraints, waitingCount, started } = job;
    const { readyAt, urgency } = dependencyConstraints;
    const { id } = spec;
    const urgencyRank = urgencyRanks[urgency];
    const ageS = (now - readyAt) / 1000;
    if (ageS > starvedAfterS * (started ? starvedStartedFactor : 1))
      return { urgencyRank, tier: tiers.starved, dueAt: readyAt, id };
    const windows = this.startWindowsS(spec, dependencyConstraints);
    const nextWindow = windows.find((windowS) => windowS >= ageS);
    const tier = nextWindow === undefined ? tiers.hasMissedObjectives : tiers.canMeetObjective;
    // The larger the job is compared with the mean of its urgency, the later it is due within its start
    // window.
    const sizeShare = waitingCount / Math.max(1, waitingCount + meanWaiting);
    const dueAt = readyAt + (nextWindow ?? windows.at(-1) ?? 0) * 1000 * sizeShare;
    return { urgencyRank, tier, dueAt, id };
  }

  /**
   * Returns the start windows of the job in seconds, shortest first. A start window is the time after
   * `readyAt` within which the job's tasks have to start to meet one objective.
   */
  private startWindowsS(spec: JobSpec, { readyAt, endBy }: DependencyConstraints): number[] {
    const { estimatedRunS, deadlineS } = spec;
    // A deadline is measured from `acceptedAt`, so the time for which the job waited for its dependencies is
    // subtracted.
    const waitedS = (readyAt - spec.acceptedAt) / 1000;
    const objectives = this.objectivesByClass.get(spec.jobClass) ?? [];
    const windows = objectives.flatMap((objective) => startWindowS(objective, spec, waitedS) ?? []);
    if (endBy !== undefined) windows.push((endBy - readyAt) / 1000 - estimatedRunS);
    // A job without objectives is due in time to meet its deadline. A job with neither objectives nor a
    // deadline is due after its estimated run time has passed.
    if (windows.length === 0)
      windows.push(deadlineS === null ? estimatedRunS : deadlineS - waitedS - estimatedRunS);
    const usableWindows = windows.filter((windowS) => windowS * 1000 > this.minWindowMs);
    return (usableWindows.length > 0 ? usableWindows : windows).sort((a, b) => a - b);
  }
}

function meanWaitingByUrgency(queued: Iterable<{ job: QueuedJob }>): Map<Urgency, number> {
  const totalsByUrgency = new Map<Urgency, { jobs: number; tasks: number }>();
  for (const { job } of queued) {
    const { dependencyConstraints, waitingCount } = job;
    const totals = totalsByUrgency.get(dependencyConstraints.urgency) ?? { jobs: 0, tasks: 0 };
    totals.jobs++;
    totals.tasks += waitingCount;
    totalsByUrgency.set(dependencyConstraints.urgency, totals);
  }
  return new Map([...totalsByUrgency].map(([urgency, totals]) => [urgency, totals.tasks / totals.jobs]));
}

/**
 * Returns the time in seconds after `readyAt` within which the job has to start to meet the objective;
 * undefined if the objective does not constrain the start.
 */
function startWindowS(
  { kind, withinS, deadlineMultiple }: Objective,
  { estimatedRunS, deadlineS }: JobSpec,
  waitedS: number,
): number | undefined {
  if (kind === 'wait') return withinS;
  if (kind === 'finished' && withinS !== undefined) return withinS - estimatedRunS;
  if (kind === 'deadline' && deadlineS !== null)
    return deadlineS * (deadlineMultiple ?? 1) - waitedS - estimatedRunS;
  return undefined;
}

function compareSortKeys(x: SortKey, y: SortKey): number {
  return x.urgencyRank - y.urgencyRank || x.tier - y.tier || x.dueAt - y.dueAt || compareIds(x.id, y.id);
}

function compareIds(x: string, y: string): number {
  if (x === y) return 0;
  return x < y ? -1 : 1;
}
