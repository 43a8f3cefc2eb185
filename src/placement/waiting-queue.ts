/** Keeps the jobs of a block that have waiting tasks, in the order in which they are to start. */
import type { Clock } from '../base/clock.js';
import type { JobSpec } from '../model/types.js';
import type { JobState } from './job-state.js';
import {
  type DependencyConstraints,
  type QueuedJob,
  type QueueOrder,
  withoutDependencies,
} from './queue-order.js';

/** The dependencies and settings of a waiting queue. */
export interface WaitingQueueOptions {
  /** All jobs of the block. */
  jobs: ReadonlyMap<string, JobState>;
  order: QueueOrder;
  /**
   * Returns how a job's dependencies and dependents affect the position of the job in the queue. By default,
   * jobs are sorted as if they had no dependencies or dependents.
   */
  dependencyConstraintsOf: ((spec: JobSpec) => DependencyConstraints) | undefined;
  clock: Clock;
  /** Returns the wall-clock time in ms since the epoch; the timestamps of jobs have the same time base. */
  wallClock: () => number;
  /**
   * Maximum age of the sorted queue in ms. The queue has to be sorted again after this time, because the
   * order depends on the current time.
   */
  maxAgeMs: number;
}

/**
 * The sorted queue of waiting jobs. It is cached for a limited time, because nearly every heartbeat reads it.
 */
export class WaitingQueue {
  private sortedJobs: JobState[] | undefined;
  private sortedAt = -Infinity;

  constructor(private readonly options: WaitingQueueOptions) {}

  /** Discards the sorted queue because the waiting tasks of some job have changed. */
  invalidate(): void {
    this.sortedJobs = undefined;
  }

  /** Returns the open jobs that have waiting tasks, sorted by the order in which they are to start. */
  jobs(): JobState[] {
    const { clock, maxAgeMs } = this.options;
    if (this.sortedJobs && clock() - this.sortedAt < maxAgeMs) return this.sortedJobs;
    this.sortedJobs = this.sort();
    this.sortedAt = clock();
    return this.sortedJobs;
  }

  private sort(): JobState[] {
    const { jobs, order, wallClock, dependencyConstraintsOf = withoutDependencies } = this.options;
    const openJobs = [...jobs.values()].flatMap((job) =>
      job.waitingCount > 0 && job.spec ? [{ job, spec: job.spec }] : [],
    );
    const toQueuedJob = ({ job, spec }: { job: JobState; spec: JobSpec }): QueuedJob => ({
      spec,
      dependencyConstraints: dependencyConstraintsOf(spec),
      waitingCount: job.waitingCount,
      started: job.activeCount + job.doneCount > 0,
    });
    return order.sorted(openJobs, toQueuedJob, wallClock()).map(({ job }) => job);
  }
}
