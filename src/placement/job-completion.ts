/** Ends the jobs of a block whose tasks are all done. */
import { type Clock, sleep } from '../base/clock.js';
import type { Log } from '../base/log.js';
import { logUnexpectedFailure } from '../base/unexpected-failures.js';
import type { Settings } from '../settings/settings.js';
import type { CommitQueue } from '../store/commit-queue.js';
import type { CommitOutcome } from '../store/transactions.js';
import { outcomeTransaction, writesPerOutcome } from '../wire/outcome-transaction.js';
import type { BlockState } from './block-state.js';
import type { JobIndex } from './job-index.js';
import type { JobState } from './job-state.js';

/**
 * Limit of the outcome commits in flight, in seconds' worth of a controller's even share of the store's
 * changes.
 */
const outcomesInFlightS = 2;
/**
 * After a failed commit, the job's outcome is not committed again for this fraction of a heartbeat interval.
 */
const retryDelayHeartbeats = 1 / 4;

/** The dependencies and settings of job completion. */
export interface JobCompletionPorts {
  clock: Clock;
  /** Returns the time of day in ms, which is recorded as the end of a job. */
  wallClock: () => number;
  log: Log;
  settings: Pick<Settings, 'heartbeatIntervalMs' | 'controllers' | 'state'>;
  commits: Pick<CommitQueue, 'commit' | 'full'>;
  blockState: BlockState;
  /** Fires when the lease of the block ends. */
  signal: AbortSignal;
  jobIndex: Pick<JobIndex, 'progress'>;
  /** Called after an outcome commit has been applied or rejected. */
  onOutcomeSettled: () => void;
}

/**
 * Commits the outcome of jobs whose tasks are all done, and removes ended jobs from the block once none of
 * their tasks is on a machine. Only the first commit of a job's outcome succeeds, whichever controller makes
 * it.
 */
export class JobCompletion {
  /**
   * Number of outcome commits in flight. Outcomes and ledger pages use the same budget of changes and take
   * turns.
   */
  private outcomesInFlight = 0;
  private readonly maxOutcomesInFlight: number;

  constructor(private readonly ports: JobCompletionPorts) {
    const { controllers, state } = ports.settings;
    const changes = (state.writeRps * outcomesInFlightS) / controllers;
    this.maxOutcomesInFlight = Math.max(1, Math.floor(changes / writesPerOutcome));
  }

  /** Checks every job of the block. */
  checkAllJobs(): void {
    for (const job of this.ports.blockState.jobs.values()) this.commitOutcomeOrRemove(job);
  }

  /**
   * Checks the jobs that have completed since the last call. Users and dependent jobs wait for their
   * outcomes.
   */
  checkCompletedJobs(): void {
    for (const job of this.ports.blockState.takeCompletedJobs()) this.commitOutcomeOrRemove(job);
  }

  private commitOutcomeOrRemove(job: JobState): void {
    if (job.isCommittingOutcome) return;
    if (job.outcome) this.removeIfIdle(job);
    else if (this.mayCommitOutcome && job.isComplete && this.isCompleteInAllBlocks(job))
      void this.commitOutcome(job);
  }

  private removeIfIdle(job: JobState): void {
    const { blockState, clock } = this.ports;
    if (job.activeCount > 0) return;
    job.recorder.remove(clock());
    blockState.jobs.delete(job.id);
  }

  private get mayCommitOutcome(): boolean {
    return this.outcomesInFlight < this.maxOutcomesInFlight && !this.ports.commits.full;
  }

  /**
   * The replica may lag behind the ledgers of other blocks. This is safe, since a completed task stays
   * completed.
   */
  private isCompleteInAllBlocks(job: JobState): boolean {
    if (job.hasAllTasks) return true;
    // Only the owner of the block with the job's first range commits the outcome: competing commits would
    // only spend writes on conflicts.
    if (!job.dispatchedRanges.includesFirstRange || !job.isCompleteCommitted || !job.spec) return false;
    return this.ports.jobIndex.progress(job.id).done === job.spec.tasks;
  }

  /**
   * Commits the outcome of the job. The commit is not conditioned on the block's record: that all tasks are
   * done stays true whichever controller owns the block. The record also changes so often that outcomes which
   * wait to be sent would be rejected repeatedly.
   */
  private async commitOutcome(job: JobState): Promise<void> {
    const { blockState, settings, signal, log, onOutcomeSettled } = this.ports;
    job.isCommittingOutcome = true;
    this.outcomesInFlight++;
    try {
      const result = await this.startCommit(job);
      if (result.kind === 'applied') blockState.endJob(job, 'done');
      this.outcomesInFlight--;
      // The job may have ended already: by this commit after all, by the owner of another block or by a user.
      // The changes of the store will show which.
      if (result.kind !== 'applied') await sleep(settings.heartbeatIntervalMs * retryDelayHeartbeats, signal);
      job.isCommittingOutcome = false;
      onOutcomeSettled();
    } catch (error) {
      logUnexpectedFailure(log, "commit of a job's outcome", error);
      throw error;
    }
  }

  private startCommit(job: JobState): Promise<CommitOutcome> {
    const { commits, wallClock } = this.ports;
    const tasks = job.spec?.tasks ?? job.doneCount;
    const record = { outcome: 'done', tasks, endedAt: wallClock() } as const;
    const { conditions, writes } = outcomeTransaction(job.id, job.version, record);
    return commits.commit(conditions, writes);
  }
}
