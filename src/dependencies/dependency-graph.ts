/** The graph of open jobs that need others, and what follows from it: readiness, cancellation, priority, latest end. */
import type { JobSpec, Urgency } from '../model/types.js';
import { moreUrgent } from '../model/urgency.js';
import type { OutcomeRecord } from '../wire/job-records.js';

/**
 * `ready`: all dependencies are done. `doomed`: a job before it is cancelled, so that it has to be cancelled too.
 * `unresolved`: of some job before it neither a record nor an end is known here. `waiting`: none of these.
 */
export type DependencyState = 'ready' | 'doomed' | 'unresolved' | 'waiting';

/** What the jobs that need a job, directly or through others, ask of it. */
export interface ChainDemand {
  /** The highest urgency of the job and of all that need it. */
  urgency: Urgency;
  /** Time of day in ms by which the job has to end so that all that need it can meet their deadlines. */
  endBy: number | undefined;
}

type EndLookup = (id: string) => OutcomeRecord | undefined;

/** Ends never change, so neither readiness nor a cancellation ever goes away. */
export class DependencyGraph {
  /** Open jobs with dependencies. */
  private readonly open = new Map<string, JobSpec>();
  private readonly dependents = new Map<string, Set<string>>();
  /** Ends of jobs that open ones need, kept for as long as these are open. */
  private readonly ends = new Map<string, OutcomeRecord>();
  private readonly doomedSince = new Map<string, number>();
  private readonly demands = new Map<string, ChainDemand>();

  /** `endOf`: ends that this controller knows already. */
  constructor(
    private readonly clock: () => number,
    private readonly endOf: EndLookup = () => undefined,
  ) {}

  /** Forgets all open jobs. */
  clear(): void {
    this.open.clear();
    this.dependents.clear();
    this.ends.clear();
    this.doomedSince.clear();
    this.demands.clear();
  }

  add(spec: JobSpec): void {
    const { id, dependencies = [] } = spec;
    if (this.open.has(id) || dependencies.length === 0) return;
    this.open.set(id, spec);
    this.demands.clear();
    for (const dependency of dependencies) {
      this.addDependent(dependency, id);
      const end = this.knownEnd(dependency);
      if (end) this.ends.set(dependency, end);
    }
    if (dependencies.some((dependency) => this.isLost(dependency))) this.doom(id);
  }

  remove(id: string): void {
    const spec = this.open.get(id);
    if (!spec) return;
    this.open.delete(id);
    this.doomedSince.delete(id);
    this.demands.clear();
    for (const dependency of spec.dependencies ?? []) this.removeDependent(dependency, id);
  }

  /** Returns the jobs that this end has made ready. */
  noteEnd(id: string, end: OutcomeRecord): string[] {
    // Nothing is left to be done about it, whenever the copy of the store drops its record.
    this.doomedSince.delete(id);
    const dependents = this.dependents.get(id);
    if (!dependents || this.ends.has(id)) return [];
    this.ends.set(id, end);
    this.demands.clear();
    if (end.outcome === 'cancelled') {
      for (const dependent of dependents) this.doom(dependent);
      return [];
    }
    return [...dependents].filter((dependent) => this.isReady(dependent));
  }

  /** True also for jobs without dependencies. */
  isReady(id: string): boolean {
    return (this.open.get(id)?.dependencies ?? []).every((dependency) => this.isDone(dependency));
  }

  areDone(dependencies: Iterable<string>): boolean {
    return [...dependencies].every((dependency) => this.knownEnd(dependency)?.outcome === 'done');
  }

  /** True where a job that names these dependencies has to be cancelled. */
  isDoomedBy(dependencies: Iterable<string>): boolean {
    return [...dependencies].some((dependency) => this.isLost(dependency));
  }

  /** `isOpen`: whether the record of a job is known here. */
  stateOf(id: string, isOpen: (id: string) => boolean): DependencyState {
    if (this.doomedSince.has(id)) return 'doomed';
    if (this.isReady(id)) return 'ready';
    return this.unresolvedBefore(id, isOpen, new Set()).next().done === true ? 'waiting' : 'unresolved';
  }

  /** Open jobs that have to be cancelled, and since when this controller has known it. */
  doomed(): ReadonlyMap<string, number> {
    return this.doomedSince;
  }

  /** Jobs that open ones need and of which neither a record nor an end is known here. */
  unresolved(isOpen: (id: string) => boolean): Set<string> {
    const unresolved = new Set<string>();
    for (const id of this.dependents.keys()) {
      if (!this.ends.has(id) && !isOpen(id)) unresolved.add(id);
    }
    return unresolved;
  }

  /** All open jobs that need this one, directly or through others. */
  closure(id: string): string[] {
    const found = new Set<string>();
    const next = [id];
    for (let at = next.pop(); at !== undefined; at = next.pop()) {
      for (const dependent of this.dependents.get(at) ?? []) {
        if (found.has(dependent)) continue;
        found.add(dependent);
        next.push(dependent);
      }
    }
    return [...found];
  }

  /** Time of day in ms from which the times of a ready job count. */
  readyAt(spec: JobSpec): number {
    const ends = (spec.dependencies ?? []).map((dependency) => this.ends.get(dependency)?.endedAt ?? 0);
    return Math.max(spec.acceptedAt, ...ends);
  }

  demandOn(spec: JobSpec): ChainDemand {
    const known = this.demands.get(spec.id);
    if (known) return known;
    const demand: ChainDemand = { urgency: spec.urgency, endBy: undefined };
    if (!this.dependents.has(spec.id)) return demand;
    // Users can name only what was accepted before, so there are no cycles; this would end them all the same.
    this.demands.set(spec.id, demand);
    for (const id of this.dependents.get(spec.id) ?? []) {
      const dependent = this.open.get(id);
      if (dependent) this.addDemand(demand, dependent);
    }
    return demand;
  }

  private addDemand(demand: ChainDemand, dependent: JobSpec): void {
    const { urgency, endBy } = this.demandOn(dependent);
    demand.urgency = moreUrgent(demand.urgency, urgency);
    const { deadlineS, acceptedAt, estimatedRunS } = dependent;
    const deadline = deadlineS === null ? Infinity : acceptedAt + deadlineS * 1000;
    const latestEnd = Math.min(deadline, endBy ?? Infinity);
    if (latestEnd === Infinity) return;
    demand.endBy = Math.min(demand.endBy ?? Infinity, latestEnd - estimatedRunS * 1000);
  }

  private knownEnd(id: string): OutcomeRecord | undefined {
    return this.ends.get(id) ?? this.endOf(id);
  }

  private isDone(id: string): boolean {
    return this.ends.get(id)?.outcome === 'done';
  }

  /** Cancelled, or about to be. */
  private isLost(id: string): boolean {
    return this.knownEnd(id)?.outcome === 'cancelled' || this.doomedSince.has(id);
  }

  private doom(id: string): void {
    for (const lost of [id, ...this.closure(id)]) {
      if (!this.doomedSince.has(lost)) this.doomedSince.set(lost, this.clock());
    }
  }

  private *unresolvedBefore(
    id: string,
    isOpen: (id: string) => boolean,
    visited: Set<string>,
  ): Generator<string> {
    for (const dependency of this.open.get(id)?.dependencies ?? []) {
      if (visited.has(dependency) || this.ends.has(dependency)) continue;
      visited.add(dependency);
      if (isOpen(dependency)) yield* this.unresolvedBefore(dependency, isOpen, visited);
      else yield dependency;
    }
  }

  private addDependent(dependency: string, id: string): void {
    const dependents = this.dependents.get(dependency);
    if (dependents) dependents.add(id);
    else this.dependents.set(dependency, new Set([id]));
  }

  private removeDependent(dependency: string, id: string): void {
    const dependents = this.dependents.get(dependency);
    dependents?.delete(id);
    if (dependents?.size !== 0) return;
    this.dependents.delete(dependency);
    this.ends.delete(dependency);
  }
}
