/**
 * Index of all open jobs and all tasks on machines, kept on every controller with a slight lag behind the
 * store.
 */
import { DependencyGraph, type DependencyState } from '../dependencies/dependency-graph.js';
import type { JobSpec, Resources } from '../model/types.js';
import type { StoreReplica } from '../store/store-replica.js';
import { type JobRecord, type OutcomeRecord, parseJobRecord, parseOutcome } from '../wire/job-records.js';
import { jobOfOutcomeKey } from '../wire/keys.js';
import type { Change } from '../wire/state.js';
import { type ActiveTask, type IndexedEntry, type JobProgress, LedgerIndex } from './ledger-index.js';
import type { DependencyFacts, QueuedJob, QueueOrder } from './queue-order.js';

/** An open job. */
export interface IndexedJob extends JobRecord {
  id: string;
  /** Version of the job's record. */
  version: number;
  /** Monotonic time in ms at which this controller first saw the job ready to run. */
  readySeenAt: number;
}

/** Number of waiting tasks of a job in one block, or not dispatched to any block yet. */
export interface WaitingTasks {
  block: number | undefined;
  count: number;
}

/**
 * Follows the records of jobs, their outcomes and the ledgers of all blocks in the replica of the store. A
 * job is ready once all jobs that it depends on are done.
 */
export class JobIndex {
  /** Open jobs that are ready; jobs that are not ready use no resources. */
  readonly jobs = new Map<string, IndexedJob>();
  readonly dependencies: DependencyGraph;
  /** Open jobs with dependencies that are not done yet. */
  private readonly blockedJobs = new Map<string, IndexedJob>();
  private readonly ledgers = new LedgerIndex();

  /**
   * `clock` returns monotonic time in ms. `outcomeOf` looks up outcomes that are not among the received
   * changes.
   */
  constructor(
    private readonly clock: () => number,
    outcomeOf?: (id: string) => OutcomeRecord | undefined,
  ) {
    this.dependencies = new DependencyGraph(clock, outcomeOf);
  }

  /** Replaces the contents of the index with those of the replica. */
  load(replica: StoreReplica): void {
    this.jobs.clear();
    this.blockedJobs.clear();
    this.dependencies.clear();
    this.ledgers.clear();
    for (const [key, { value, version }] of replica.entriesWithPrefix('job/'))
      this.applyValue(key, value, version);
    for (const [key, { value, version }] of replica.entriesWithPrefix('run/'))
      this.applyValue(key, value, version);
  }

  /** Applies changes of the store. */
  applyChanges(changes: Change[]): void {
    for (const { key, value, version, deleted } of changes) {
      if (!deleted) this.applyValue(key, value, version);
      else if (key.startsWith('job/')) this.remove(key.slice('job/'.length));
      else if (key.startsWith('run/')) this.ledgers.setPage(key, undefined);
    }
  }

  /** Whether the index has the record of the job, ready or not. */
  isOpen(id: string): boolean {
    return this.jobs.has(id) || this.blockedJobs.has(id);
  }

  /** Returns an open job by its id, ready or not. */
  openJob(id: string): IndexedJob | undefined {
    return this.jobs.get(id) ?? this.blockedJobs.get(id);
  }

  /** Whether a job with these dependencies would be ready immediately. */
  isReadyAfter(dependencies: Iterable<string>): boolean {
    return this.dependencies.areDone(dependencies);
  }

  /**
   * Whether the job is ready, waits for dependencies, or has dependencies that are cancelled or unknown here.
   */
  dependencyState(id: string): DependencyState {
    return this.dependencies.stateOf(id, (other) => this.isOpen(other));
  }

  /** What the job's dependencies and dependents imply for its place in the queue. */
  dependencyFactsOf(spec: JobSpec): DependencyFacts {
    return { readyAt: this.dependencies.readyAt(spec), ...this.dependencies.downstreamDemand(spec) };
  }

  /**
   * All ledger entries of the job in all blocks, without those that entries for fewer tasks have superseded.
   */
  entriesOf(id: string): Iterable<IndexedEntry> {
    return this.ledgers.entriesOf(id);
  }

  /** All tasks that are or may be on machines, including tasks of ended jobs. */
  activeTasks(): Iterable<ActiveTask> {
    return this.ledgers.activeTasks();
  }

  /** The resources that tasks use on each machine, by machine id. Machines without tasks are not included. */
  machineLoads(): ReadonlyMap<string, Resources> {
    return this.ledgers.machineLoads();
  }

  /** Numbers of the job's tasks that are done and active, in one block or in all blocks. */
  progress(id: string, block?: number): JobProgress {
    return this.ledgers.progress(id, block);
  }

  /**
   * Sorts the given jobs, by default all ready jobs, by the order in which they are to start. `now` is the
   * time of day in ms.
   */
  inQueueOrder(
    queueOrder: QueueOrder,
    now: number,
    jobs: Iterable<IndexedJob> = this.jobs.values(),
  ): IndexedJob[] {
    return queueOrder.sorted(jobs, (job) => this.asQueuedJob(job), now);
  }

  /** The properties of the job that determine its place in the queue. */
  asQueuedJob({ id, spec }: IndexedJob): QueuedJob {
    const { done, active } = this.progress(id);
    return {
      spec,
      dependencyFacts: this.dependencyFactsOf(spec),
      waiting: spec.tasks - done - active,
      started: done + active > 0,
    };
  }

  /**
   * The job's waiting tasks by block. Tasks that are not dispatched yet come first; blocks without waiting
   * tasks are omitted.
   */
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
    else this.blockedJobs.set(id, job);
  }

  private applyOutcomeRecord(key: string, value: unknown): void {
    const endedJobId = jobOfOutcomeKey(key);
    const outcome = endedJobId === undefined ? undefined : parseOutcome(value);
    if (endedJobId === undefined || !outcome) return;
    for (const readyJobId of this.dependencies.recordOutcome(endedJobId, outcome)) {
      const job = this.blockedJobs.get(readyJobId);
      if (!job) continue;
      this.blockedJobs.delete(readyJobId);
      this.jobs.set(readyJobId, { ...job, readySeenAt: this.clock() });
    }
  }

  private remove(id: string): void {
    this.jobs.delete(id);
    this.blockedJobs.delete(id);
    this.dependencies.remove(id);
  }
}
