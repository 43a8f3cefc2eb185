/**
 * Indexes all open jobs and all tasks on machines. Every controller has such an index, which it updates from
 * its replica of the store, so the index lags slightly behind the store.
 */
import { DependencyGraph, type DependencyState } from '../dependencies/dependency-graph.js';
import type { JobSpec, Resources } from '../model/types.js';
import type { StoreReplica } from '../store/store-replica.js';
import { type JobRecord, type OutcomeRecord, parseJobRecord, parseOutcome } from '../wire/job-records.js';
import { jobOfOutcomeKey } from '../wire/keys.js';
import type { Change } from '../wire/state.js';
import { type ActiveTask, type IndexedEntry, type JobProgress, LedgerIndex } from './ledger-index.js';
import type { DependencyConstraints, QueuedJob, QueueOrder } from './queue-order.js';

/** An open job, i.e. a job without an outcome. */
export interface IndexedJob extends JobRecord {
  id: string;
  /** Version of the job's record, i.e. the store revision of its latest change. */
  version: number;
  /** Monotonic time in ms at which this index first contained the job as ready. */
  readySeenAt: number;
}

/** Number of a job's waiting tasks in one block, or of tasks that are not dispatched to a block yet. */
export interface WaitingTasks {
  /** Number of the block; undefined for tasks that are not dispatched yet. */
  block: number | undefined;
  count: number;
}

/**
 * An index of the job records, the outcomes of jobs and the ledgers of all blocks in the replica of the
 * store. In the ledger of a block, the block's owner records which tasks are assigned to machines or done. A
 * job is ready if all jobs that it depends on are done.
 */
export class JobIndex {
  /** Open jobs that are ready, by id. Jobs that are not ready use no resources. */
  readonly jobs = new Map<string, IndexedJob>();
  readonly dependencies: DependencyGraph;
  /** Open jobs that are not ready because a dependency is not done yet, by id. */
  private readonly blockedJobs = new Map<string, IndexedJob>();
  private readonly ledgers = new LedgerIndex();

  /**
   * `clock` returns monotonic time in ms. `outcomeOf` looks up outcomes that were not received as changes of
   * the store.
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

  /** Applies changes of the store to the index. */
  applyChanges(changes: Change[]): void {
    for (const { key, value, version, deleted } of changes) {
      if (!deleted) this.applyValue(key, value, version);
      else if (key.startsWith('job/')) this.remove(key.slice('job/'.length));
      else if (key.startsWith('run/')) this.ledgers.setPage(key, undefined);
    }
  }

  /** Whether the index contains the job as an open job, ready or not. */
  isOpen(id: string): boolean {
    return this.jobs.has(id) || this.blockedJobs.has(id);
  }

  /** Returns the open job with this id, ready or not. */
  openJob(id: string): IndexedJob | undefined {
    return this.jobs.get(id) ?? this.blockedJobs.get(id);
  }

  /** Whether all these dependencies are done, so that a job with these dependencies would be ready. */
  areDependenciesDone(dependencies: Iterable<string>): boolean {
    return this.dependencies.areDone(dependencies);
  }

  /**
   * Returns whether the job is ready, waits for dependencies, or depends on a job that is cancelled or of
   * which this controller has received neither the record nor the outcome.
   */
  dependencyState(id: string): DependencyState {
    return this.dependencies.stateOf(id, (other) => this.isOpen(other));
  }

  /** Returns how the job's dependencies and dependents affect the position of the job in the queue. */
  dependencyConstraintsOf(spec: JobSpec): DependencyConstraints {
    return { readyAt: this.dependencies.readyAt(spec), ...this.dependencies.downstreamDemand(spec) };
  }

  /**
   * Returns the ledger entries of the job in all blocks. If several entries of a block cover the same task,
   * only the entry with the smallest chunk size contains the task in the result.
   */
  entriesOf(id: string): Iterable<IndexedEntry> {
    return this.ledgers.entriesOf(id);
  }

  /** Returns all tasks that are or may be on machines, including tasks of ended jobs. */
  activeTasks(): Iterable<ActiveTask> {
    return this.ledgers.activeTasks();
  }

  /** Returns the resources that tasks use on each machine, by machine id, omitting machines without tasks. */
  machineLoads(): ReadonlyMap<string, Resources> {
    return this.ledgers.machineLoads();
  }

  /**
   * Returns the number of the job's tasks that are done, and the number of its tasks that are or may be on
   * machines. Counts the tasks of one block, or of all blocks if `block` is not given.
   */
  progress(id: string, block?: number): JobProgress {
    return this.ledgers.progress(id, block);
  }

  /**
   * Returns the given jobs, by default all ready jobs, in the order in which they are to start. `now` is
   * wall-clock time in ms since the epoch.
   */
  inQueueOrder(
    queueOrder: QueueOrder,
    now: number,
    jobs: Iterable<IndexedJob> = this.jobs.values(),
  ): IndexedJob[] {
    return queueOrder.sorted(jobs, (job) => this.asQueuedJob(job), now);
  }

  /** Returns the properties of the job that determine its position in the queue. */
  asQueuedJob({ id, spec }: IndexedJob): QueuedJob {
    const { done, active } = this.progress(id);
    return {
      spec,
      dependencyConstraints: this.dependencyConstraintsOf(spec),
      waitingCount: spec.tasks - done - active,
      started: done + active > 0,
    };
  }

  /**
   * Returns the number of the job's waiting tasks in each block. Tasks that are not dispatched yet come
   * first. Blocks without waiting tasks are omitted.
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
