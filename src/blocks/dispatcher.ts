/**
 * Dispatches the tasks of jobs to blocks, on behalf of the leader. A block is a set of machines with the
 * tasks placed on them, leased to one controller.
 */
import type { Clock } from '../base/clock.js';
import { nextEventLoopIteration } from '../base/event-loop.js';
import type { IndexedJob, JobIndex } from '../placement/job-index.js';
import type { QueueOrder } from '../placement/queue-order.js';
import type { Settings } from '../settings/settings.js';
import type { CommitQueue } from '../store/commit-queue.js';
import type { StoreReplica } from '../store/store-replica.js';
import { type CapacityEstimate, type CapacityPorts, estimateCapacity } from './capacity-estimate.js';
import { DispatchWriter, type DispatchWriterPorts } from './dispatch-writer.js';
import { dispatchToFreeSlots } from './job-dispatch.js';
import { Rebalancer } from './rebalancer.js';
import { countUndispatchedTasks } from './task-ranges.js';
import { restoreStartedTasks } from './task-recall.js';

/** The dependencies of the dispatcher. */
export interface DispatcherPorts extends DispatchWriterPorts, CapacityPorts {
  clock: Clock;
  /** Wall-clock time in ms since the epoch. */
  wallClock: () => number;
  settings: Settings;
  commits: CommitQueue;
  replica: Pick<StoreReplica, 'revision'>;
  jobIndex: JobIndex;
  order: QueueOrder;
  /**
   * Number of tasks that may be dispatched to a block beyond its free slots, as a fraction of the block's
   * size.
   */
  lookahead: number;
}

/**
 * Minimum time between two rounds that include jobs with undispatched tasks from earlier rounds, in heartbeat
 * intervals.
 */
const redispatchAfterHeartbeats = 0.5;
/**
 * No tasks are dispatched while the number of queued commits exceeds this fraction of the maximum number of
 * operations in a transaction.
 */
const maxQueuedCommitsRatio = 1 / 2;

/**
 * Dispatches undispatched tasks to blocks, and recalls tasks that wait in a full block if another block has
 * free slots.
 */
export class Dispatcher {
  private allDispatchedAt = -Infinity;
  /** Ids of the jobs that had undispatched tasks at the start of the previous round. */
  private previouslyUndispatchedJobs: ReadonlySet<string> = new Set();
  private readonly writer: DispatchWriter;
  private readonly rebalancer: Rebalancer;

  constructor(private readonly ports: DispatcherPorts) {
    this.writer = new DispatchWriter(ports);
    this.rebalancer = new Rebalancer({ ...ports, writer: this.writer });
  }

  /**
   * Runs one round of dispatching and recalls. Settles when the outcomes of all commits of the round are
   * known. Returns the highest store revision among all commits applied so far, or 0 if no commit has been
   * applied. The next round must not start before the replica of the store has received that revision.
   */
  async runRound(): Promise<number> {
    await this.dispatchJobs();
    await nextEventLoopIteration();
    if (this.ports.replica.revision >= this.writer.committedRevision) await this.rebalancer.run();
    return this.writer.committedRevision;
  }

  /** Dispatches undispatched tasks, in the queue order of their jobs. */
  private async dispatchJobs(): Promise<void> {
    const { jobIndex, settings, order, wallClock, commits } = this.ports;
    const undispatched = [...jobIndex.jobs.values()].filter((job) => undispatchedTasks(job) > 0);
    const due = this.dueForDispatch(undispatched);
    // Nothing is dispatched while many commits are queued. A dispatch would be based on outdated data by the
    // time its commit is sent, and the commit would delay the commits with which this controller's own blocks
    // start tasks.
    if (due.length === 0 || commits.writableLength > settings.state.txnOps * maxQueuedCommitsRatio) return;
    const capacity = estimateCapacity(this.ports, this.ports.lookahead);
    capacity.extendLookahead(undispatched.map((job) => ({ spec: job.spec, tasks: undispatchedTasks(job) })));
    const writes: Promise<void>[] = [];
    for (const job of jobIndex.inQueueOrder(order, wallClock(), due)) {
      if (writes.length >= this.writer.maxWritesPerRound) break;
      const taskRanges = this.nextRanges(job, capacity);
      if (taskRanges) writes.push(this.writer.write(job, taskRanges));
    }
    await Promise.all(writes);
  }

  /**
   * Returns the new task ranges of the job, or undefined if the ranges do not change. If a block has started
   * tasks that were recalled from it, these tasks are returned to that block before any other tasks of the
   * job are dispatched.
   */
  private nextRanges(job: IndexedJob, capacity: CapacityEstimate): IndexedJob['taskRanges'] | undefined {
    const { spec, taskRanges, id } = job;
    return (
      restoreStartedTasks(job, this.ports.jobIndex.entriesOf(id)) ??
      dispatchToFreeSlots(capacity, spec, taskRanges, this.writer.maxTaskRanges(spec))
    );
  }

  /**
   * Returns the jobs to dispatch in this round. A new job is always included. A job that already had
   * undispatched tasks in the previous round is not included in every round, because free slots appear one at
   * a time, and a separate dispatch for each slot would use most of the writes that the store accepts. More
   * frequent dispatches are not necessary, because tasks beyond the free slots already wait in the blocks
   * (see `lookahead`).
   */
  private dueForDispatch(undispatched: IndexedJob[]): IndexedJob[] {
    const { clock, settings } = this.ports;
    const previouslyUndispatched = this.previouslyUndispatchedJobs;
    this.previouslyUndispatchedJobs = new Set(undispatched.map((job) => job.id));
    if (clock() - this.allDispatchedAt < settings.heartbeatIntervalMs * redispatchAfterHeartbeats) {
      return undispatched.filter((job) => !previouslyUndispatched.has(job.id));
    }
    this.allDispatchedAt = clock();
    return undispatched;
  }
}

function undispatchedTasks({ spec, taskRanges }: IndexedJob): number {
  return countUndispatchedTasks(taskRanges, spec.tasks);
}
