/** Dispatches the tasks of jobs to blocks, on behalf of the leader. */
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
  /** Time of day in ms. */
  wallClock: () => number;
  settings: Settings;
  commits: CommitQueue;
  replica: Pick<StoreReplica, 'revision'>;
  jobIndex: JobIndex;
  order: QueueOrder;
  /** How many tasks beyond its free slots may be dispatched to a block, as a ratio of its size. */
  lookahead: number;
}

/**
 * Interval between rounds that include jobs with undispatched tasks from earlier rounds, in heartbeat
 * intervals.
 */
const redispatchAfterHeartbeats = 0.5;
/**
 * Dispatching pauses while more commits than this are queued, as a ratio of the operations that a transaction
 * holds.
 */
const maxQueuedCommitsRatio = 1 / 2;

/**
 * Dispatches tasks that are in no block yet, and recalls tasks that wait in one block while another has free
 * slots.
 */
export class Dispatcher {
  private allDispatchedAt = -Infinity;
  /** Ids of the jobs that had undispatched tasks at the start of the last round. */
  private leftOverJobs: ReadonlySet<string> = new Set();
  private readonly writer: DispatchWriter;
  private readonly rebalancer: Rebalancer;

  constructor(private readonly ports: DispatcherPorts) {
    this.writer = new DispatchWriter(ports);
    this.rebalancer = new Rebalancer({ ...ports, writer: this.writer });
  }

  /**
   * Runs one round. Settles when the outcomes of its commits are known. Returns the highest revision of all
   * commits so far, or 0 if there was none. The replica must reach that revision before the next round.
   */
  async runRound(): Promise<number> {
    await this.dispatchJobs();
    await nextEventLoopIteration();
    if (this.ports.replica.revision >= this.writer.committedRevision) await this.rebalancer.run();
    return this.writer.committedRevision;
  }

  /** Dispatches tasks that are in no block yet, in queue order of their jobs. */
  private async dispatchJobs(): Promise<void> {
    const { jobIndex, settings, order, wallClock, commits } = this.ports;
    const undispatched = [...jobIndex.jobs.values()].filter((job) => undispatchedTasks(job) > 0);
    const due = this.dueForDispatch(undispatched);
    // Behind a long queue of commits, a dispatch would be based on outdated data by the time it is sent, and
    // it would delay the commits with which this controller's own blocks start tasks.
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
   * The next task ranges of the job; undefined if the ranges do not change. Tasks that a block has started in
   * spite of a recall are returned to that block before any other tasks of the job are dispatched.
   */
  private nextRanges(job: IndexedJob, capacity: CapacityEstimate): IndexedJob['taskRanges'] | undefined {
    const { spec, taskRanges, id } = job;
    return (
      restoreStartedTasks(job, this.ports.jobIndex.entriesOf(id)) ??
      dispatchToFreeSlots(capacity, spec, taskRanges, this.writer.maxTaskRanges(spec))
    );
  }

  /**
   * The jobs to dispatch in this round. A new job is always included. A job that already had undispatched
   * tasks in the last round waits for free slots, which appear one task at a time. Dispatching each of these
   * tasks separately would take most of the changes that the store accepts. It is not necessary, since blocks
   * already have waiting tasks beyond their free slots (see `lookahead`).
   */
  private dueForDispatch(undispatched: IndexedJob[]): IndexedJob[] {
    const { clock, settings } = this.ports;
    const leftOver = this.leftOverJobs;
    this.leftOverJobs = new Set(undispatched.map((job) => job.id));
    if (clock() - this.allDispatchedAt < settings.heartbeatIntervalMs * redispatchAfterHeartbeats) {
      return undispatched.filter((job) => !leftOver.has(job.id));
    }
    this.allDispatchedAt = clock();
    return undispatched;
  }
}

function undispatchedTasks({ spec, taskRanges }: IndexedJob): number {
  return countUndispatchedTasks(taskRanges, spec.tasks);
}
