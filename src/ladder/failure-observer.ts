/** Observation of task failures, by which the thresholds are tuned. */
import type { IndexedJob, JobIndex } from '../placement/job-index.js';
import type { LeasedMachine } from '../wire/block-records.js';
import { eligiblePools, type Pool, poolKey } from './pools.js';
import type { FailureSample } from './threshold-tuner.js';

/** What is known at one evaluation. */
export interface ObservedState {
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
 * Derives from the job index which tasks had to wait on arrival and which lost their machine. Each job's arrival is
 * counted once; afterwards only tasks that are displaced. Tasks that wait for what the cloud refuses are not counted as
 * failed: a lower threshold would not have helped them.
 */
export class FailureObserver {
  /** Jobs whose arrival was counted, with their displaced tasks at the last observation. */
  private readonly displacedTasksByJob = new Map<string, number>();

  /** `graceMs`: how long a new job's tasks have until they count as waiting. */
  constructor(private readonly graceMs: number) {}

  /** The samples since the last observation. */
  observe(state: ObservedState): PoolSample[] {
    const samples: PoolSample[] = [];
    for (const job of state.jobIndex.jobs.values()) {
      if (state.now - job.readySeenAt < this.graceMs) continue;
      const sample = this.observeJob(job, state);
      if (sample) samples.push(sample);
    }
    this.forgetClosedJobs(state.jobIndex);
    return samples;
  }

  private observeJob(job: IndexedJob, state: ObservedState): PoolSample | undefined {
    const displaced = displacedTasks(job, state.jobIndex);
    const displacedBefore = this.displacedTasksByJob.get(job.id);
    this.displacedTasksByJob.set(job.id, displaced);
    const isArrival = displacedBefore === undefined;
    const failed = isArrival ? waitingTasks(job, state.jobIndex) : Math.max(0, displaced - displacedBefore);
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

  private forgetClosedJobs({ jobs }: JobIndex): void {
    for (const id of this.displacedTasksByJob.keys()) if (!jobs.has(id)) this.displacedTasksByJob.delete(id);
  }
}

/** Tasks of the job that were on a machine and wait again. */
function displacedTasks(job: IndexedJob, jobIndex: JobIndex): number {
  let displaced = 0;
  for (const entry of jobIndex.entriesOf(job.id)) displaced += entry.waiting.length;
  return displaced;
}

function waitingTasks(job: IndexedJob, jobIndex: JobIndex): number {
  return jobIndex.waitingByBlock(job).reduce((sum, { count }) => sum + count, 0);
}

/** The pool of the first known machine that runs a task of the job. */
function poolInUse(job: IndexedJob, { jobIndex, machines, pools }: ObservedState): Pool | undefined {
  for (const entry of jobIndex.entriesOf(job.id)) {
    for (const [, , machineId] of entry.active) {
      const machine = machines.get(machineId);
      if (machine) return pools.get(poolKey(machine.type, machine.spot));
    }
  }
  return undefined;
}
