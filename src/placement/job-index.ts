/** All open jobs and all tasks on machines: the same on every controller, a moment late. */
import { DependencyGraph, type DependencyState } from '../dependencies/dependency-graph.js';
import type { JobSpec, Resources } from '../model/types.js';
import type { Mirror } from '../store/mirror.js';
import { type JobRecord, type OutcomeRecord, parseJobRecord, parseOutcome } from '../wire/job-records.js';
import { jobOfOutcomeKey } from '../wire/keys.js';
import type { Change } from '../wire/state.js';
import { type ActiveTask, type IndexedEntry, type JobProgress, LedgerIndex } from './ledger-index.js';
import type { DependencyFacts, QueuedJob, QueueOrder } from './queue-order.js';

/** An open job. */
export interface IndexedJob extends JobRecord {
  id: string;
  /** Version of its record. */
  version: number;
  /** Steady time in ms at which this controller first saw it ready to run. */
  readySeenAt: number;
}

/** Waiting tasks of a job that belong to one block, or to none yet. */
export interface WaitingTasks {
  block: number | undefined;
  count: number;
}

/**
 * Follows the records of jobs, their outcomes and the ledgers of all blocks as the replica of the store brings them. A job is
 * ready once all jobs that it depends on are done.
 */
export class JobIndex {
  /** Open jobs that are ready: all others take nothing of anything. */
  readonly jobs = new Map<string, IndexedJob>();
  readonly dependencies: DependencyGraph;
  /** Open jobs that wait for others to be done. */
  private readonly blocked = new Map<string, IndexedJob>();
  private readonly ledgers = new LedgerIndex();

  /** `clock` tells steady time in ms; `outcomeOf` knows outcomes that are not among the changes. */
  constructor(
    private readonly clock: () => number,
    outcomeOf?: (id: string) => OutcomeRecord | undefined,
  ) {
    this.dependencies = new DependencyGraph(clock, outcomeOf);
  }

  /** Starts anew from the replica. */
  load(mirror: Mirror): void {
    this.jobs.clear();
    this.blocked.clear();
    this.dependencies.clear();
    this.ledgers.clear();
    for (const [key, { value, version }] of mirror.entriesWithPrefix('job/'))
      this.applyValue(key, value, version);
    for (const [key, { value, version }] of mirror.entriesWithPrefix('run/'))
      this.applyValue(key, value, version);
  }

  /** Follows changes of the store. */
  applyChanges(changes: Change[]): void {
    for (const { key, value, version, deleted } of changes) {
      if (!deleted) this.applyValue(key, value, version);
      else if (key.startsWith('job/')) this.remove(key.slice('job/'.length));
      else if (key.startsWith('run/')) this.ledgers.setPage(key, undefined);
    }
  }

  /** Whether the record of the job is known here, be it ready or not. */
  isOpen(id: string): boolean {
    return this.jobs.has(id) || this.blocked.has(id);
  }

  /** An open job by its id, be it ready or not. */
  openJob(id: string): IndexedJob | undefined {
    return this.jobs.get(id) ?? this.blocked.get(id);
  }

  /** Whether a job with these dependencies could run at once. */
  isReadyAfter(dependencies: Iterable<string>): boolean {
    return this.dependencies.areDone(dependencies);
  }

  /** Whether the job can still become ready, and what it waits for. */
  dependencyState(id: string): DependencyState {
    return this.dependencies.stateOf(id, (other) => this.isOpen(other));
  }

  /** What follows for a job from those that it needs and those that need it. */
  dependencyFactsOf(spec: JobSpec): DependencyFacts {
    return { readyAt: this.dependencies.readyAt(spec), ...this.dependencies.downstreamDemand(spec) };
  }

  /** All that blocks have on record of the job, without entries that smaller ones have superseded. */
  entriesOf(id: string): Iterable<IndexedEntry> {
    return this.ledgers.entriesOf(id);
  }

  /** All tasks that are or may be on machines, those of ended jobs among them. */
  activeTasks(): Iterable<ActiveTask> {
    return this.ledgers.activeTasks();
  }

  /** What the tasks on each machine take of it; machines without any are not in it. */
  machineLoads(): ReadonlyMap<string, Resources> {
    return this.ledgers.machineLoads();
  }

  /** How far one block, or all of them, are with the job. */
  progress(id: string, block?: number): JobProgress {
    return this.ledgers.progress(id, block);
  }

  /** The given jobs, by default all that are ready, in the order in which they are to start; `now` is the time of day. */
  inQueueOrder(
    queueOrder: QueueOrder,
    now: number,
    jobs: Iterable<IndexedJob> = this.jobs.values(),
  ): IndexedJob[] {
    return queueOrder.sorted(jobs, (job) => this.asQueuedJob(job), now);
  }

  /** What the job's place in the queue depends on. */
  asQueuedJob({ id, spec }: IndexedJob): QueuedJob {
    const { done, active } = this.progress(id);
    return {
      spec,
      dependencyFacts: this.dependencyFactsOf(spec),
      waiting: spec.tasks - done - active,
      started: done + active > 0,
    };
  }

  /** The job's waiting tasks by block, without blocks that have none; those that are not dispatched yet come first. */
  waitingByBlock({ id, spec, taskRanges }: IndexedJob): WaitingTasks[] {
    const dispatched = new Map<number, number>();
    let undispatched = spec.tasks;
    for (const { block, count } of taskRanges) {
      dispatched.set(block, (dispatched.get(block) ?? 0) + count);
      undispatched -= count;
    }
    const waiting: WaitingTasks[] = [];
    if (undispatched > 0) waiting.push({ block: undefined, count: undispatched });
    for (const [block, count] of dispatched) {
      const { done, active } = this.progress(id, block);
      if (count > done + active) waiting.push({ block, count: count - done - active });
    }
    return waiting;
  }

  private applyValue(key: string, value: unknown, version: number): void {
    if (key.startsWith('job/')) this.applyJobRecord(value, version);
    else if (key.startsWith('run/')) this.ledgers.setPage(key, value);
    else this.applyOutcomeRecord(key, value);
  }

  private applyJobRecord(value: unknown, version: number): void {
    const record = parseJobRecord(value);
    if (!record) return;
    const { id } = record.spec;
    this.dependencies.add(record.spec);
    const readySeenAt = this.jobs.get(id)?.readySeenAt ?? this.clock();
    const job = { ...record, id, version, readySeenAt };
    if (this.dependencies.isReady(id)) this.jobs.set(id, job);
    else this.blocked.set(id, job);
  }

  private applyOutcomeRecord(key: string, value: unknown): void {
    const ended = jobOfOutcomeKey(key);
    const outcome = ended === undefined ? undefined : parseOutcome(value);
    if (ended === undefined || !outcome) return;
    for (const ready of this.dependencies.recordOutcome(ended, outcome)) {
      const job = this.blocked.get(ready);
      if (!job) continue;
      this.blocked.delete(ready);
      this.jobs.set(ready, { ...job, readySeenAt: this.clock() });
    }
  }

  private remove(id: string): void {
    this.jobs.delete(id);
    this.blocked.delete(id);
    this.dependencies.remove(id);
  }
}
