/** Commits the outcomes of completed jobs, and removes ended jobs from the state of a block. */
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
 * Limits the outcome commits in flight: together, they contain at most as many writes as a controller's equal
 * share of the store's write rate admits within this time, in seconds. One commit is always admitted.
 */
const maxOutcomesInFlightS = 2;
/**
 * Delay in heartbeat intervals before the outcome of a job is committed again after a failed commit.
 */
const retryDelayHeartbeats = 1 / 4;

/** The dependencies and settings of job completion. */
export interface JobCompletionPorts {
  clock: Clock;
  /** Returns the wall-clock time in ms since the epoch, which is stored as the time at which a job ended. */
  wallClock: () => number;
  log: Log;
  settings: Pick<Settings, 'heartbeatIntervalMs' | 'controllers' | 'state'>;
  commits: Pick<CommitQueue, 'commit' | 'full'>;
  blockState: BlockState;
  /** Aborted when the lease of the block ends. */
  signal: AbortSignal;
  jobIndex: Pick<JobIndex, 'progress'>;
  /** Called after an outcome commit has been applied, or after the retry delay of a failed commit. */
  onOutcomeSettled: () => void;
}

/**
 * Commits the outcomes of jobs whose tasks are all done. Removes an ended job from the block after all its
 * tasks have left their machines. If several controllers commit an outcome of the same job, only the first
 * commit succeeds.
 */
export class JobCompletion {
  /**
   * Number of outcome commits in flight. It is limited because outcomes and ledger pages share the
   * controller's write rate.
   */
  private outcomesInFlight = 0;
  private readonly maxOutcomesInFlight: number;

  constructor(private readonly ports: JobCompletionPorts) {
    const { controllers, state } = ports.settings;
    const changes = (state.writeRps * maxOutcomesInFlightS) / controllers;
    this.maxOutcomesInFlight = Math.max(1, Math.floor(changes / writesPerOutcome));
  }

  /**
   * Commits the outcome of each completed job of the block, and removes each ended job without tasks on
   * machines.
   */
  checkAllJobs(): void {
    for (const job of this.ports.blockState.jobs.values()) this.commitOutcomeOrRemove(job);
  }

  /**
   * Commits the outcomes of the jobs that have completed since the previous call. These outcomes should not
   * be delayed, because users and dependent jobs wait for them.
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
   * Whether all tasks of the job are done, including tasks in other blocks. The progress in other blocks is
   * read from this controller's replica of the store. The replica may lag, but this is safe, because a
   * completed task stays completed.
   */
  private isCompleteInAllBlocks(job: JobState): boolean {
    if (job.hasAllTasks) return true;
    // Only the owner of the block with the job's first range commits the outcome. If the owners of several
    // blocks committed it, all commits but one would fail with a conflict and waste writes.
    if (!job.dispatchedRanges.includesFirstRange || !job.isCompleteCommitted || !job.spec) return false;
    return this.ports.jobIndex.progress(job.id).done === job.spec.tasks;
  }

  /**
   * Commits the outcome of the job. The commit is not conditioned on the block's record, because the job is
   * complete regardless of which controller owns the block. In addition, the block's record changes so often
   * that it would change while commits wait to be sent, and the store would reject these commits repeatedly.
   */
  private async commitOutcome(job: JobState): Promise<void> {
    const { blockState, settings, signal, log, onOutcomeSettled } = this.ports;
    job.isCommittingOutcome = true;
    this.outcomesInFlight++;
    try {
      const result = await this.startCommit(job);
      if (result.kind === 'applied') blockState.endJob(job, 'done');
      this.outcomesInFlight--;
      // The job may have ended nevertheless: this commit may have been applied although its outcome is
      // unknown, the owner of another block may have committed an outcome, or a user may have cancelled the
      // job. The controller receives the actual outcome with the changes of the store.
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
