/** The order in which waiting jobs are to start. */
import type { JobSpec, Urgency } from '../model/types.js';
import { urgencyRanks } from '../model/urgency.js';
import type { Objective } from '../settings/settings.js';

/** A job of which nothing has started for so long comes first: any has to begin within four minutes. */
const starvedAfterS = 150;
/** One that has started and still has waiting tasks comes first after so many times that. */
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
  /** How many tasks have yet to start. */
  waiting: number;
  /** Some task has started. */
  started: boolean;
}

/** Within an urgency, jobs of a lower tier start first. */
const tiers = { starved: 0, canMeetObjective: 1, hasMissedObjectives: 2 } as const;

/** Compared field by field, in this order. */
interface SortKey {
  urgencyRank: number;
  tier: number;
  /** Time of day in ms. */
  dueAt: number;
  id: string;
}

/**
 * More urgent jobs start first. Among equals come first those that can still meet the next of their objectives, small jobs
 * before large ones: while there is less room than work, that lets most jobs be in time and a few wait, where the order of
 * arrival would make all of them late. A large job's turn comes by the end of the time that the objective leaves, and what
 * has missed all its objectives comes after what has not, but no job is left without any start.
 */
export class QueueOrder {
  private readonly objectivesByClass = new Map<string, Objective[]>();

  /** `minWindowMs`: objectives that leave less time than this say nothing about what may wait. */
  constructor(
    objectives: Objective[],
    private readonly minWindowMs = 0,
  ) {
    for (const objective of objectives) {
      if (objective.jobClass === undefined) continue;
      const known = this.objectivesByClass.get(objective.jobClass);
      if (known) known.push(objective);
      else this.objectivesByClass.set(objective.jobClass, [objective]);
    }
  }

  /** The items, those first whose jobs are to start first; `now` is the time of day in ms, by which jobs are dated. */
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
    // The larger the job, the later in the time that its objective leaves.
    const sizeShare = waiting / Math.max(1, waiting + meanWaiting);
    const dueAt = readyAt + (nextWindow ?? windows.at(-1) ?? 0) * 1000 * sizeShare;
    return { urgencyRank, tier, dueAt, id };
  }

  /** Within how many seconds of getting ready its tasks have to start for each of its objectives, shortest first. */
  private startWindowsS(spec: JobSpec, { readyAt, endBy }: DependencyFacts): number[] {
    const { estimatedRunS, deadlineS } = spec;
    // A deadline counts from the submission, however long the job waited for others.
    const waitedS = (readyAt - spec.acceptedAt) / 1000;
    const objectives = this.objectivesByClass.get(spec.jobClass) ?? [];
    const windows = objectives.flatMap((objective) => startWindowS(objective, spec, waitedS) ?? []);
    if (endBy !== undefined) windows.push((endBy - readyAt) / 1000 - estimatedRunS);
    // Work that nothing is promised for counts as due when its estimate has passed once over.
    if (windows.length === 0)
      windows.push(deadlineS === null ? estimatedRunS : deadlineS - waitedS - estimatedRunS);
    const meaningful = windows.filter((windowS) => windowS * 1000 > this.minWindowMs);
    return (meaningful.length > 0 ? meaningful : windows).sort((a, b) => a - b);
  }
}

function meanWaitingByUrgency(queued: Iterable<{ job: QueuedJob }>): Map<Urgency, number> {
  const sizes = new Map<Urgency, { jobs: number; tasks: number }>();
  for (const { job } of queued) {
    const { dependencyFacts, waiting } = job;
    const size = sizes.get(dependencyFacts.urgency) ?? { jobs: 0, tasks: 0 };
    size.jobs++;
    size.tasks += waiting;
    sizes.set(dependencyFacts.urgency, size);
  }
  return new Map([...sizes].map(([urgency, size]) => [urgency, size.tasks / size.jobs]));
}

/** Undefined where the objective says nothing about the start of the job. */
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
