import type { JobSpec, Urgency } from '../model/types.js';
import { urgencyRanks } from '../model/urgency.js';
import type { Objective } from '../settings/settings.js';

/** A job of which nothing has started for so long comes first: any has to begin within four minutes. */
const starvedAfterS = 150;
/** So does one that has started and is still not all on its way after so many times that. */
const starvedStartedFactor = 2;

/** What follows for a job from those that it needs and those that need it. */
export interface DependencyFacts {
  /** Time of day in ms from which its times count, other than its deadline's. */
  readyAt: number;
  /** The highest urgency of the job and of all that need it. */
  urgency: Urgency;
  /** Time of day in ms by which it has to end so that all that need it can meet their deadlines. */
  endBy: number | undefined;
}

/** The facts of a job that needs no other and that none needs. */
export function withoutDependencies(spec: JobSpec): DependencyFacts {
  return { readyAt: spec.acceptedAt, urgency: spec.urgency, endBy: undefined };
}

/** What a job's place in the order depends on. */
export interface QueuedJob {
  spec: JobSpec;
  dependencyFacts: DependencyFacts;
  /** Tasks that have yet to start. */
  waiting: number;
  started: boolean;
}

interface SortKey {
  urgencyRank: number;
  tier: number;
  dueAt: number;
  id: string;
}

/**
 * The order of work: more urgent first. Among equals come first those that can still meet the next of their objectives,
 * small jobs before large ones: while there is less room than work, that lets most jobs be in time and a few wait, where
 * the order of arrival would make all of them late. A large job's turn comes by the end of the time that the objective
 * leaves, and what has missed all its objectives comes after what has not, but nothing is left without any start.
 */
export class QueueOrder {
  private readonly objectivesByClass = new Map<string, Objective[]>();

  /** `leastMs`: objectives that leave less time than this say nothing about what may wait. */
  constructor(
    objectives: Objective[],
    private readonly leastMs = 0,
  ) {
    for (const objective of objectives) {
      if (objective.jobClass === undefined) continue;
      const known = this.objectivesByClass.get(objective.jobClass);
      if (known) known.push(objective);
      else this.objectivesByClass.set(objective.jobClass, [objective]);
    }
  }

  /** `now` is the time of day, as jobs are dated by it. */
  sorted<T>(items: Iterable<T>, of: (item: T) => QueuedJob, now: number): T[] {
    const queued = [...items].map((item) => ({ item, job: of(item) }));
    const sizes = new Map<Urgency, { jobs: number; tasks: number }>();
    for (const { job } of queued) {
      const size = sizes.get(job.dependencyFacts.urgency) ?? { jobs: 0, tasks: 0 };
      size.jobs++;
      size.tasks += job.waiting;
      sizes.set(job.dependencyFacts.urgency, size);
    }
    return queued
      .map(({ item, job }) => {
        const size = sizes.get(job.dependencyFacts.urgency);
        const mean = size ? size.tasks / size.jobs : 1;
        return { item, place: this.sortKey(job, mean, now) };
      })
      .sort((a, b) => compare(a.place, b.place))
      .map(({ item }) => item);
  }

  private sortKey(
    { spec, dependencyFacts, waiting, started }: QueuedJob,
    meanWaiting: number,
    now: number,
  ): SortKey {
    const rank = urgencyRanks[dependencyFacts.urgency];
    const { id } = spec;
    const { readyAt } = dependencyFacts;
    const ageS = (now - readyAt) / 1000;
    if (ageS > starvedAfterS * (started ? starvedStartedFactor : 1))
      return { urgencyRank: rank, tier: 0, dueAt: readyAt, id };
    const windows = this.startWindowsS(spec, dependencyFacts);
    const next = windows.find((windowS) => windowS >= ageS);
    const share = waiting / Math.max(1, waiting + meanWaiting);
    const due = readyAt + (next ?? windows.at(-1) ?? 0) * 1000 * share;
    return { urgencyRank: rank, tier: next === undefined ? 2 : 1, dueAt: due, id };
  }

  /** Within what times of getting ready its tasks have to start for each of its objectives, shortest first. */
  private startWindowsS(spec: JobSpec, { readyAt, endBy }: DependencyFacts): number[] {
    const { estimatedRunS, deadlineS } = spec;
    // A deadline counts from the submission, however long the job waited for others.
    const waitedS = (readyAt - spec.acceptedAt) / 1000;
    const windows = (this.objectivesByClass.get(spec.jobClass) ?? []).flatMap(({ kind, withinS, times }) => {
      if (kind === 'wait' && withinS !== undefined) return [withinS];
      if (kind === 'finished' && withinS !== undefined) return [withinS - estimatedRunS];
      if (kind === 'deadline' && deadlineS !== null)
        return [deadlineS * (times ?? 1) - waitedS - estimatedRunS];
      return [];
    });
    if (endBy !== undefined) windows.push((endBy - readyAt) / 1000 - estimatedRunS);
    // Work that nothing is promised for counts as due when its estimate has passed once over.
    if (windows.length === 0)
      windows.push(deadlineS === null ? estimatedRunS : deadlineS - waitedS - estimatedRunS);
    const telling = windows.filter((windowS) => windowS * 1000 > this.leastMs);
    return (telling.length > 0 ? telling : windows).sort((a, b) => a - b);
  }
}

function compare(x: SortKey, y: SortKey): number {
  return (
    x.urgencyRank - y.urgencyRank ||
    x.tier - y.tier ||
    x.dueAt - y.dueAt ||
    (x.id < y.id ? -1 : x.id > y.id ? 1 : 0)
  );
}
