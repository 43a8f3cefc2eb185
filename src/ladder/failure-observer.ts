/**
 * Samples task failures for each pool. `ThresholdTuner` uses the samples to tune the thresholds of demand at
 * which the machines of a pool are rented.
 */
import type { IndexedJob, JobIndex } from '../placement/job-index.js';
import type { LeasedMachine } from '../wire/block-records.js';
import { eligiblePools, type Pool, poolKey } from './pools.js';
import type { FailureSample } from './threshold-tuner.js';

/** The state of jobs, pools and machines at one evaluation. */
export interface ObservedClusterState {
  jobIndex: JobIndex;
  pools: ReadonlyMap<string, Pool>;
  machines: ReadonlyMap<string, LeasedMachine>;
  /** Monotonic time in ms. */
  now: number;
}

/** A sample for the tuner of one pool. */
export interface PoolSample {
  pool: Pool;
  sample: FailureSample;
}

/**
 * Counts failed tasks from the job index. A task fails if it still waits at the end of the grace period after
 * the arrival of its job, or if it is displaced, which means that it was on a machine and waits again. The
 * arrival of each job is counted once. After that, only newly displaced tasks of the job are counted. If the
 * cloud refuses machines for every eligible pool, waiting tasks are not counted as failed, because a lower
 * threshold would not have provided machines.
 */
export class FailureObserver {
  /** Displaced tasks at the previous observation, by job id. Contains only jobs whose arrival was counted. */
  private readonly displacedTasksByJob = new Map<string, number>();

  /**
   * `graceMs` is the time in ms from when a job is first seen ready until its waiting tasks count as failed.
   */
  constructor(private readonly graceMs: number) {}

  /** Returns samples of the arrivals and displacements since the previous observation. */
  observe(state: ObservedClusterState): PoolSample[] {
    const samples: PoolSample[] = [];
    for (const job of state.jobIndex.jobs.values()) {
      if (state.now - job.readySeenAt < this.graceMs) continue;
      const sample = this.observeJob(job, state);
      if (sample) samples.push(sample);
    }
    this.removeClosedJobs(state.jobIndex);
    return samples;
  }

  private observeJob(job: IndexedJob, state: ObservedClusterState): PoolSample | undefined {
    const displaced = countDisplacedTasks(job, state.jobIndex);
    const previouslyDisplaced = this.displacedTasksByJob.get(job.id);
    this.displacedTasksByJob.set(job.id, displaced);
    const isArrival = previouslyDisplaced === undefined;
    const failed = isArrival
      ? countWaitingTasks(job, state.jobIndex)
      : Math.max(0, displaced - previouslyDisplaced);
    if (!isArrival && failed === 0) return undefined;
    const eligible = eligiblePools(job.spec, state.pools.values());
    const nextPool = eligible.find((pool) => !pool.exhausted) ?? eligible[0];
    if (!nextPool) return undefined;
    const pool = failed > 0 ? nextPool : (poolInUse(job, state) ?? nextPool);
    const sample = {
      observedAt: state.now,
      tasks: isArrival ? job.spec.tasks : 0,
      failed: nextPool.exhausted ? 0 : failed,
      machineNumber: pool.machines.length + 1,
    };
    return { pool, sample };
  }

  private removeClosedJobs({ jobs }: JobIndex): void {
    for (const id of this.displacedTasksByJob.keys()) if (!jobs.has(id)) this.displacedTasksByJob.delete(id);
  }
}

/** Returns the number of tasks of the job that were on a machine and wait again. */
function countDisplacedTasks(job: IndexedJob, jobIndex: JobIndex): number {
  let displaced = 0;
  for (const entry of jobIndex.entriesOf(job.id)) displaced += entry.waiting.length;
  return displaced;
}

function countWaitingTasks(job: IndexedJob, jobIndex: JobIndex): number {
  return jobIndex.waitingByBlock(job).reduce((sum, { count }) => sum + count, 0);
}

/**
 * Returns the pool of the first known machine that runs a task of the job, or undefined if no known machine
 * runs a task of the job.
 */
function poolInUse(job: IndexedJob, { jobIndex, machines, pools }: ObservedClusterState): Pool | undefined {
  for (const entry of jobIndex.entriesOf(job.id)) {
    for (const [, , machineId] of entry.active) {
      const machine = machines.get(machineId);
      if (machine) return pools.get(poolKey(machine.type, machine.spot));
    }
  }
  return undefined;
}
