/** The jobs of a block that have waiting tasks, in the order in which they are to start. */
import type { Clock } from '../base/clock.js';
import type { JobSpec } from '../model/types.js';
import type { JobState } from './job-state.js';
import { type DependencyFacts, type QueuedJob, type QueueOrder, withoutDependencies } from './queue-order.js';

/** What the queue is made of. */
export interface WaitingQueueOptions {
  /** All jobs of the block. */
  jobs: ReadonlyMap<string, JobState>;
  order: QueueOrder;
  /** What follows for a job from those that it needs and those that need it; by default nothing does. */
  dependencyFactsOf: ((spec: JobSpec) => DependencyFacts) | undefined;
  clock: Clock;
  /** Time of day in ms, by which jobs are dated. */
  wallClock: () => number;
  /** The order changes with time alone, so it is made anew after so many ms. */
  maxAgeMs: number;
}

/** Nearly every heartbeat asks for the queue, so it is kept for a while. */
export class WaitingQueue {
  private sortedJobs: JobState[] | undefined;
  private sortedAt = -Infinity;

  constructor(private readonly options: WaitingQueueOptions) {}

  /** Has the queue made anew: some job has other tasks waiting than before. */
  invalidate(): void {
    this.sortedJobs = undefined;
  }

  /** Open jobs with waiting tasks, those first that are to start first. */
  jobs(): JobState[] {
    const { clock, maxAgeMs } = this.options;
    if (this.sortedJobs && clock() - this.sortedAt < maxAgeMs) return this.sortedJobs;
    this.sortedJobs = this.sort();
    this.sortedAt = clock();
    return this.sortedJobs;
  }

  private sort(): JobState[] {
    const { jobs, order, wallClock, dependencyFactsOf = withoutDependencies } = this.options;
    const open = [...jobs.values()].flatMap((job) =>
      job.waitingCount > 0 && job.spec ? [{ job, spec: job.spec }] : [],
    );
    const queued = ({ job, spec }: { job: JobState; spec: JobSpec }): QueuedJob => ({
      spec,
      dependencyFacts: dependencyFactsOf(spec),
      waiting: job.waitingCount,
      started: job.activeCount + job.doneCount > 0,
    });
    return order.sorted(open, queued, wallClock()).map(({ job }) => job);
  }
}
