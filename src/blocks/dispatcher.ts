/** The leader's dispatching of jobs to blocks. */
import type { Clock } from '../base/clock.js';
import { nextTurn } from '../base/turns.js';
import type { IndexedJob, JobIndex } from '../placement/job-index.js';
import type { QueueOrder } from '../placement/queue-order.js';
import type { Settings } from '../settings/settings.js';
import type { CommitQueue } from '../store/commit-queue.js';
import type { Mirror } from '../store/mirror.js';
import { type CapacityEstimate, type CapacityPorts, estimateCapacity } from './capacity-estimate.js';
import { DispatchWriter, type DispatchWriterPorts } from './dispatch-writer.js';
import { dispatchToFreeSlots } from './job-dispatch.js';
import { Rebalancer } from './rebalancer.js';
import { countUndispatchedTasks } from './task-ranges.js';
import { restoreStartedTasks } from './task-recall.js';

/** What dispatching works with. */
export interface DispatcherPorts extends DispatchWriterPorts, CapacityPorts {
  clock: Clock;
  /** Time of day in ms. */
  wallClock: () => number;
  settings: Settings;
  commits: CommitQueue;
  mirror: Pick<Mirror, 'revision'>;
  jobIndex: JobIndex;
  order: QueueOrder;
  /** How much work beyond its free slots a block may be given, as a ratio of its size. */
  lookahead: number;
}

/** Jobs that were left over are dispatched again after this part of a heartbeat interval. */
const redispatchAfterHeartbeats = 0.5;
/** Nothing is dispatched while more commits are queued, as a ratio of what a transaction holds. */
const maxQueuedCommitsRatio = 1 / 2;

/** Dispatches tasks that no block has, and recalls tasks that wait in one block while another has room. */
export class Dispatcher {
  private allDispatchedAt = -Infinity;
  /** Jobs that had undispatched tasks in the last round. */
  private leftOverJobs: ReadonlySet<string> = new Set();
  private readonly writer: DispatchWriter;
  private readonly rebalancer: Rebalancer;

  constructor(private readonly ports: DispatcherPorts) {
    this.writer = new DispatchWriter(ports);
    this.rebalancer = new Rebalancer({ ...ports, writer: this.writer });
  }

  /**
   * One round, which settles when its commits are decided. Returns the highest revision of any commit so far,
   * which the replica has to reach before the next round; 0: there was none.
   */
  async runRound(): Promise<number> {
    await this.dispatchJobs();
    await nextTurn();
    if (this.ports.mirror.revision >= this.writer.committedRevision) await this.rebalancer.run();
    return this.writer.committedRevision;
  }

  /** Dispatches what no block has yet, in the queue order. */
  private async dispatchJobs(): Promise<void> {
    const { jobIndex, settings, order, wallClock, commits } = this.ports;
    const undispatched = [...jobIndex.jobs.values()].filter((job) => undispatchedTasks(job) > 0);
    const due = this.dueForDispatch(undispatched);
    // Behind a queue of commits it would be out of date, and would delay what our own block has to start.
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
   * Tasks that a block has started in spite of a recall are that block's, before any others are dispatched.
   */
  private nextRanges(job: IndexedJob, capacity: CapacityEstimate): IndexedJob['taskRanges'] | undefined {
    const { spec, taskRanges, id } = job;
    return (
      restoreStartedTasks(job, this.ports.jobIndex.entriesOf(id)) ??
      dispatchToFreeSlots(capacity, spec, taskRanges, this.writer.maxTaskRanges(spec))
    );
  }

  /**
   * A new job is dispatched at once. What was left over before waits for room, which appears a task at a
   * time: dispatching each of them alone would take most of the changes that the store allows, and the blocks
   * have work ahead.
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
