import type { JobSpec, Urgency } from '../model/types.js';
import { urgencyRanks } from '../model/urgency.js';
import type { Objective } from '../settings/settings.js';

/** A job of which nothing has started for so long comes first: any has to begin within four minutes. */
const neglectedS = 150;
/** So does one that has started and is still not all on its way after so many times that. */
const neglectedTimes = 2;

/** What follows for a job from those that it needs and those that need it. */
export interface ChainFacts {
  /** Time of day in ms from which its times count, other than its deadline's. */
  readyAt: number;
  /** The highest urgency of the job and of all that need it. */
  urgency: Urgency;
  /** Time of day in ms by which it has to end so that all that need it can meet their deadlines. */
  endBy: number | undefined;
}

/** The facts of a job that needs no other and that none needs. */
export function unchained(spec: JobSpec): ChainFacts {
  return { readyAt: spec.acceptedAt, urgency: spec.urgency, endBy: undefined };
}

/** What a job's place in the order depends on. */
export interface Queued {
  spec: JobSpec;
  chain: ChainFacts;
  /** Tasks that have yet to start. */
  waiting: number;
  started: boolean;
}

interface Place {
  rank: number;
  tier: number;
  due: number;
  id: string;
}

/**
 * The order of work: more urgent first. Among equals come first those that can still meet the next of their objectives,
 * small jobs before large ones: while there is less room than work, that lets most jobs be in time and a few wait, where
 * the order of arrival would make all of them late. A large job's turn comes by the end of the time that the objective
 * leaves, and what has missed all its objectives comes after what has not, but nothing is left without any start.
 */
export class OrderOfWork {
  private readonly byClass = new Map<string, Objective[]>();

  /** `leastMs`: objectives that leave less time than this say nothing about what may wait. */
  constructor(
    objectives: Objective[],
    private readonly leastMs = 0,
  ) {
    for (const objective of objectives) {
      if (objective.jobClass === undefined) continue;
      const known = this.byClass.get(objective.jobClass);
      if (known) known.push(objective);
      else this.byClass.set(objective.jobClass, [objective]);
    }
  }

  /** `now` is the time of day, as jobs are dated by it. */
  sorted<T>(items: Iterable<T>, of: (item: T) => Queued, now: number): T[] {
    const queued = [...items].map((item) => ({ item, job: of(item) }));
    const sizes = new Map<Urgency, { jobs: number; tasks: number }>();
    for (const { job } of queued) {
      const size = sizes.get(job.chain.urgency) ?? { jobs: 0, tasks: 0 };
      size.jobs++;
      size.tasks += job.waiting;
      sizes.set(job.chain.urgency, size);
    }
    return queued
      .map(({ item, job }) => {
        const size = sizes.get(job.chain.urgency);
        const mean = size ? size.tasks / size.jobs : 1;
        return { item, place: this.place(job, mean, now) };
      })
      .sort((a, b) => compare(a.place, b.place))
      .map(({ item }) => item);
  }

  private place({ spec, chain, waiting, started }: Queued, mean: number, now: number): Place {
    const rank = urgencyRanks[chain.urgency];
    const { id } = spec;
    const { readyAt } = chain;
    const ageS = (now - readyAt) / 1000;
    if (ageS > neglectedS * (started ? neglectedTimes : 1)) return { rank, tier: 0, due: readyAt, id };
    const windows = this.windows(spec, chain);
    const next = windows.find((windowS) => windowS >= ageS);
    const share = waiting / Math.max(1, waiting + mean);
    const due = readyAt + (next ?? windows.at(-1) ?? 0) * 1000 * share;
    return { rank, tier: next === undefined ? 2 : 1, due, id };
  }

  /** Within what times of getting ready its tasks have to start for each of its objectives, shortest first. */
  private windows(spec: JobSpec, { readyAt, endBy }: ChainFacts): number[] {
    const { estimateS, deadlineS } = spec;
    // A deadline counts from the submission, however long the job waited for others.
    const waitedS = (readyAt - spec.acceptedAt) / 1000;
    const windows = (this.byClass.get(spec.jobClass) ?? []).flatMap(({ kind, withinS, times }) => {
      if (kind === 'wait' && withinS !== undefined) return [withinS];
      if (kind === 'finished' && withinS !== undefined) return [withinS - estimateS];
      if (kind === 'deadline' && deadlineS !== null) return [deadlineS * (times ?? 1) - waitedS - estimateS];
      return [];
    });
    if (endBy !== undefined) windows.push((endBy - readyAt) / 1000 - estimateS);
    // Work that nothing is promised for counts as due when its estimate has passed once over.
    if (windows.length === 0) windows.push(deadlineS === null ? estimateS : deadlineS - waitedS - estimateS);
    const telling = windows.filter((windowS) => windowS * 1000 > this.leastMs);
    return (telling.length > 0 ? telling : windows).sort((a, b) => a - b);
  }
}

function compare(x: Place, y: Place): number {
  return x.rank - y.rank || x.tier - y.tier || x.due - y.due || (x.id < y.id ? -1 : x.id > y.id ? 1 : 0);
}
