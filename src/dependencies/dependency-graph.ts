/** The dependency graph (DAG) of open jobs, and what follows from it: readiness, cancellation, urgency, deadlines. */
import type { JobSpec, Urgency } from '../model/types.js';
import { moreUrgent } from '../model/urgency.js';
import type { OutcomeRecord } from '../wire/job-records.js';

/**
 * `ready`: all dependencies are done. `upstream-cancelled`: a job upstream is cancelled, so this one has to be cancelled
 * too. `unresolved`: of some job upstream neither a record nor an outcome is known here. `waiting`: none of these.
 */
export type DependencyState = 'ready' | 'upstream-cancelled' | 'unresolved' | 'waiting';

/** What the direct and transitive dependents of a job ask of it. */
export interface DownstreamDemand {
  /** The highest urgency of the job and its dependents. */
  urgency: Urgency;
  /** Time of day in ms by which the job has to end for its dependents to meet their deadlines; undefined without any. */
  endBy: number | undefined;
}

type OutcomeLookup = (id: string) => OutcomeRecord | undefined;

/** The open jobs with dependencies. Outcomes never change, so a job never stops being ready or due for cancellation. */
export class DependencyGraph {
  /** Open jobs with dependencies. */
  private readonly openJobs = new Map<string, JobSpec>();
  /** Direct dependents of each job that an open one depends on. */
  private readonly dependents = new Map<string, Set<string>>();
  /** Outcomes of dependencies, kept while a dependent is open. */
  private readonly outcomes = new Map<string, OutcomeRecord>();
  /** Open jobs with a cancelled job upstream, and the time of the clock when this became known. */
  private readonly upstreamCancelledSince = new Map<string, number>();
  /** Computed demands; any change of the graph clears them. */
  private readonly demands = new Map<string, DownstreamDemand>();

  /** `outcomeOf`: outcomes that this controller has learned, of whatever job. */
  constructor(
    private readonly clock: () => number,
    private readonly outcomeOf: OutcomeLookup = () => undefined,
  ) {}

  /** Forgets all open jobs. */
  clear(): void {
    this.openJobs.clear();
    this.dependents.clear();
    this.outcomes.clear();
    this.upstreamCancelledSince.clear();
    this.demands.clear();
  }

  /** Adds an open job; does nothing for a job that is known or has no dependencies. */
  add(spec: JobSpec): void {
    const { id, dependencies = [] } = spec;
    if (this.openJobs.has(id) || dependencies.length === 0) return;
    this.openJobs.set(id, spec);
    this.demands.clear();
    for (const dependency of dependencies) {
      this.addDependent(dependency, id);
      const outcome = this.knownOutcome(dependency);
      if (outcome) this.outcomes.set(dependency, outcome);
    }
    if (dependencies.some((dependency) => this.isCancelledOrDue(dependency))) this.markUpstreamCancelled(id);
  }

  /** Removes a job that is no longer open. */
  remove(id: string): void {
    const spec = this.openJobs.get(id);
    if (!spec) return;
    this.openJobs.delete(id);
    this.upstreamCancelledSince.delete(id);
    this.demands.clear();
    for (const dependency of spec.dependencies ?? []) this.removeDependent(dependency, id);
  }

  /** Records the outcome of a job; returns the jobs that it has made ready. */
  recordOutcome(id: string, outcome: OutcomeRecord): string[] {
    // An ended job needs no cancellation, even while the replica still holds its record.
    this.upstreamCancelledSince.delete(id);
    const dependents = this.dependents.get(id);
    if (!dependents || this.outcomes.has(id)) return [];
    this.outcomes.set(id, outcome);
    this.demands.clear();
    if (outcome.outcome === 'cancelled') {
      for (const dependent of dependents) this.markUpstreamCancelled(dependent);
      return [];
    }
    return [...dependents].filter((dependent) => this.isReady(dependent));
  }

  /** Whether all dependencies are done; true also for a job without any. */
  isReady(id: string): boolean {
    return (this.openJobs.get(id)?.dependencies ?? []).every((dependency) => this.isDone(dependency));
  }

  /** Whether all these jobs are known to be done. */
  areDone(dependencies: Iterable<string>): boolean {
    return [...dependencies].every((dependency) => this.knownOutcome(dependency)?.outcome === 'done');
  }

  /** Whether a job with these dependencies has to be cancelled. */
  hasCancelledUpstream(dependencies: Iterable<string>): boolean {
    return [...dependencies].some((dependency) => this.isCancelledOrDue(dependency));
  }

  /**
   * The state of an open job.
   * @param id the job
   * @param isOpen whether the record of a job is known here
   */
  stateOf(id: string, isOpen: (id: string) => boolean): DependencyState {
    if (this.upstreamCancelledSince.has(id)) return 'upstream-cancelled';
    if (this.isReady(id)) return 'ready';
    return this.unresolvedUpstream(id, isOpen, new Set()).next().done === true ? 'waiting' : 'unresolved';
  }

  /** Open jobs that have to be cancelled, and since when (by the clock) this controller has known it. */
  upstreamCancelled(): ReadonlyMap<string, number> {
    return this.upstreamCancelledSince;
  }

  /** Dependencies of open jobs of which neither a record nor an outcome is known here. */
  unresolved(isOpen: (id: string) => boolean): Set<string> {
    const unresolved = new Set<string>();
    for (const id of this.dependents.keys()) {
      if (!this.outcomes.has(id) && !isOpen(id)) unresolved.add(id);
    }
    return unresolved;
  }

  /** All open jobs that depend on this one, directly or through others. */
  transitiveDependents(id: string): string[] {
    const found = new Set<string>();
    const pending = [id];
    for (let current = pending.pop(); current !== undefined; current = pending.pop()) {
      for (const dependent of this.dependents.get(current) ?? []) {
        if (found.has(dependent)) continue;
        found.add(dependent);
        pending.push(dependent);
      }
    }
    return [...found];
  }

  /** Time of day in ms from which the waiting time of a ready job counts: its acceptance or the last outcome it needed. */
  readyAt(spec: JobSpec): number {
    const endTimes = (spec.dependencies ?? []).map(
      (dependency) => this.outcomes.get(dependency)?.endedAt ?? 0,
    );
    return Math.max(spec.acceptedAt, ...endTimes);
  }

  /** The urgency and latest end that the job inherits from its dependents. */
  downstreamDemand(spec: JobSpec): DownstreamDemand {
    const known = this.demands.get(spec.id);
    if (known) return known;
    const demand: DownstreamDemand = { urgency: spec.urgency, endBy: undefined };
    if (!this.dependents.has(spec.id)) return demand;
    // A job can only depend on jobs accepted before it, so there are no cycles; if there were, this entry would end the recursion.
    this.demands.set(spec.id, demand);
    for (const id of this.dependents.get(spec.id) ?? []) {
      const dependent = this.openJobs.get(id);
      if (dependent) this.addDemand(demand, dependent);
    }
    return demand;
  }

  private addDemand(demand: DownstreamDemand, dependent: JobSpec): void {
    const { urgency, endBy } = this.downstreamDemand(dependent);
    demand.urgency = moreUrgent(demand.urgency, urgency);
    const { deadlineS, acceptedAt, estimatedRunS } = dependent;
    const deadline = deadlineS === null ? Infinity : acceptedAt + deadlineS * 1000;
    const latestEnd = Math.min(deadline, endBy ?? Infinity);
    if (latestEnd === Infinity) return;
    demand.endBy = Math.min(demand.endBy ?? Infinity, latestEnd - estimatedRunS * 1000);
  }

  private knownOutcome(id: string): OutcomeRecord | undefined {
    return this.outcomes.get(id) ?? this.outcomeOf(id);
  }

  private isDone(id: string): boolean {
    return this.outcomes.get(id)?.outcome === 'done';
  }

  /** Whether the job is cancelled, or has to be. */
  private isCancelledOrDue(id: string): boolean {
    return this.knownOutcome(id)?.outcome === 'cancelled' || this.upstreamCancelledSince.has(id);
  }

  private markUpstreamCancelled(id: string): void {
    for (const affected of [id, ...this.transitiveDependents(id)]) {
      if (!this.upstreamCancelledSince.has(affected)) this.upstreamCancelledSince.set(affected, this.clock());
    }
  }

  private *unresolvedUpstream(
    id: string,
    isOpen: (id: string) => boolean,
    visited: Set<string>,
  ): Generator<string> {
    for (const dependency of this.openJobs.get(id)?.dependencies ?? []) {
      if (visited.has(dependency) || this.outcomes.has(dependency)) continue;
      visited.add(dependency);
      if (isOpen(dependency)) yield* this.unresolvedUpstream(dependency, isOpen, visited);
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
    this.outcomes.delete(dependency);
  }
}
