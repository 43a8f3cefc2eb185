/**
 * The dependency graph (DAG) of open jobs. Determines which jobs are ready to run, which jobs have to be
 * cancelled, and which urgency and latest end time a job inherits from its dependents.
 */
import type { JobSpec, Urgency } from '../model/types.js';
import { moreUrgent } from '../model/urgency.js';
import type { OutcomeRecord } from '../wire/job-records.js';

/**
 * The state of an open job with regard to its dependencies.
 *
 * - `ready`: all dependencies are done.
 * - `upstream-cancelled`: an upstream job (a direct or transitive dependency) is cancelled, so this job has
 *   to be cancelled too.
 * - `unresolved`: this controller has received neither the record nor the outcome of some upstream job.
 * - `waiting`: some dependency is not done yet, and none of the other states applies.
 */
export type DependencyState = 'ready' | 'upstream-cancelled' | 'unresolved' | 'waiting';

/** The urgency and latest end time that a job inherits from its direct and transitive dependents. */
export interface DownstreamDemand {
  /** The highest urgency of the job and its dependents. */
  urgency: Urgency;
  /**
   * Wall-clock time in ms since the epoch by which the job has to end so that its dependents can meet their
   * deadlines; undefined if no dependent has a deadline.
   */
  endBy: number | undefined;
}

type OutcomeLookup = (id: string) => OutcomeRecord | undefined;

/**
 * The open jobs with dependencies. The outcome of a job never changes, so a job in state `ready` or
 * `upstream-cancelled` keeps that state until the job is removed.
 */
export class DependencyGraph {
  /** Open jobs with dependencies, by id. */
  private readonly openJobs = new Map<string, JobSpec>();
  /** Direct dependents of each job that an open job depends on. */
  private readonly dependents = new Map<string, Set<string>>();
  /** Outcomes of dependencies. An outcome is kept while a direct dependent is open. */
  private readonly outcomes = new Map<string, OutcomeRecord>();
  /**
   * Open jobs with a cancelled upstream job, by id, with the monotonic time in ms at which this controller
   * received the cancellation.
   */
  private readonly upstreamCancelledSince = new Map<string, number>();
  /** Results of `downstreamDemand` by job id; cleared by every change of the graph. */
  private readonly demandCache = new Map<string, DownstreamDemand>();

  /**
   * @param clock monotonic time in ms
   * @param outcomeOf looks up the outcome of any job; undefined if this controller does not know the outcome
   */
  constructor(
    private readonly clock: () => number,
    private readonly outcomeOf: OutcomeLookup = () => undefined,
  ) {}

  /** Removes all jobs and outcomes. */
  clear(): void {
    this.openJobs.clear();
    this.dependents.clear();
    this.outcomes.clear();
    this.upstreamCancelledSince.clear();
    this.demandCache.clear();
  }

  /** Adds an open job; does nothing if the job was already added or has no dependencies. */
  add(spec: JobSpec): void {
    const { id, dependencies = [] } = spec;
    if (this.openJobs.has(id) || dependencies.length === 0) return;
    this.openJobs.set(id, spec);
    this.demandCache.clear();
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
    this.demandCache.clear();
    for (const dependency of spec.dependencies ?? []) this.removeDependent(dependency, id);
  }

  /** Records the outcome of a job and returns the ids of the dependents that are ready because of it. */
  recordOutcome(id: string, outcome: OutcomeRecord): string[] {
    // A job with an outcome needs no cancellation, even if the replica of the store still contains the job's
    // record.
    this.upstreamCancelledSince.delete(id);
    const dependents = this.dependents.get(id);
    if (!dependents || this.outcomes.has(id)) return [];
    this.outcomes.set(id, outcome);
    this.demandCache.clear();
    if (outcome.outcome === 'cancelled') {
      for (const dependent of dependents) this.markUpstreamCancelled(dependent);
      return [];
    }
    return [...dependents].filter((dependent) => this.isReady(dependent));
  }

  /** Whether all dependencies of the job are done. Also true for a job without dependencies. */
  isReady(id: string): boolean {
    return (this.openJobs.get(id)?.dependencies ?? []).every((dependency) => this.isDone(dependency));
  }

  /** Whether this controller knows that all these jobs are done. */
  areDone(dependencies: Iterable<string>): boolean {
    return [...dependencies].every((dependency) => this.knownOutcome(dependency)?.outcome === 'done');
  }

  /** Whether a job with these dependencies has to be cancelled. */
  hasCancelledUpstream(dependencies: Iterable<string>): boolean {
    return [...dependencies].some((dependency) => this.isCancelledOrDue(dependency));
  }

  /**
   * Returns the dependency state of an open job.
   * @param id the job
   * @param isOpen whether a job is open, that is, whether this controller has received the job's record and
   *   has not received its deletion. The commit of a job's outcome deletes the record.
   */
  stateOf(id: string, isOpen: (id: string) => boolean): DependencyState {
    if (this.upstreamCancelledSince.has(id)) return 'upstream-cancelled';
    if (this.isReady(id)) return 'ready';
    return this.unresolvedUpstream(id, isOpen, new Set()).next().done === true ? 'waiting' : 'unresolved';
  }

  /**
   * Returns the open jobs that have to be cancelled because an upstream job is cancelled, by id, with the
   * monotonic time in ms at which this controller received the cancellation.
   */
  upstreamCancelled(): ReadonlyMap<string, number> {
    return this.upstreamCancelledSince;
  }

  /**
   * Returns the ids of the dependencies of open jobs for which this controller has neither a record nor an
   * outcome.
   * @param isOpen see `stateOf`
   */
  unresolved(isOpen: (id: string) => boolean): Set<string> {
    const unresolved = new Set<string>();
    for (const id of this.dependents.keys()) {
      if (!this.outcomes.has(id) && !isOpen(id)) unresolved.add(id);
    }
    return unresolved;
  }

  /** Returns the ids of all open jobs that depend on this job, directly or transitively. */
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

  /**
   * Returns the wall-clock time in ms since the epoch from which the waiting time of a ready job is measured.
   * This is the time of the job's acceptance or the latest end of a dependency, whichever is later.
   */
  readyAt(spec: JobSpec): number {
    const endTimes = (spec.dependencies ?? []).map(
      (dependency) => this.outcomes.get(dependency)?.endedAt ?? 0,
    );
    return Math.max(spec.acceptedAt, ...endTimes);
  }

  /** Returns the urgency and latest end time that the job inherits from its dependents. */
  downstreamDemand(spec: JobSpec): DownstreamDemand {
    const cached = this.demandCache.get(spec.id);
    if (cached) return cached;
    const demand: DownstreamDemand = { urgency: spec.urgency, endBy: undefined };
    if (!this.dependents.has(spec.id)) return demand;
    // A job can depend only on jobs accepted before it, so the graph has no cycles. If there were a cycle,
    // this cache entry would end the recursion.
    this.demandCache.set(spec.id, demand);
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

  /** Whether the job is cancelled, or has to be cancelled because of an upstream job. */
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
