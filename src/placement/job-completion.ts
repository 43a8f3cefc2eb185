/** Ends the jobs of a block whose tasks are all done. */
import { type Clock, sleep } from '../base/clock.js';
import { logDefect } from '../base/defects.js';
import type { Log } from '../base/log.js';
import type { Settings } from '../settings/settings.js';
import type { CommitQueue } from '../store/commit-queue.js';
import type { CommitOutcome } from '../store/transactions.js';
import { changesPerOutcome, outcomeTransaction } from '../wire/outcome-transaction.js';
import type { BlockState } from './block-state.js';
import type { JobIndex } from './job-index.js';
import type { JobState } from './job-state.js';

/** Outcomes under way may take so many seconds of a controller's even share of the changes. */
const outcomesUnderWayS = 2;
/** After a failed commit a job is left alone for this part of a heartbeat interval. */
const retryHeartbeats = 1 / 4;

/** What the completion of jobs uses. */
export interface JobCompletionPorts {
  clock: Clock;
  /** Time of day in ms, by which the end of a job is dated. */
  wallClock: () => number;
  log: Log;
  settings: Pick<Settings, 'heartbeatIntervalMs' | 'controllers' | 'state'>;
  commits: Pick<CommitQueue, 'commit' | 'full'>;
  blockState: BlockState;
  /** Ends with the lease of the block. */
  signal: AbortSignal;
  jobIndex: Pick<JobIndex, 'progress'>;
  /** An outcome has been committed, or turned down. */
  onOutcomeSettled: () => void;
}

/**
 * Commits the outcome of jobs that are done, and takes ended jobs off the block once nothing of them is left on machines. The
 * outcome of a job is decided once, whoever commits it.
 */
export class JobCompletion {
  /** Outcomes that are being committed. They take turns with the pages: both wait for the same changes. */
  private outcomesUnderWay = 0;
  private readonly maxOutcomesUnderWay: number;

  constructor(private readonly ports: JobCompletionPorts) {
    const { controllers, state } = ports.settings;
    const changes = (state.writeRps * outcomesUnderWayS) / controllers;
    this.maxOutcomesUnderWay = Math.max(1, Math.floor(changes / changesPerOutcome));
  }

  /** Looks at every job of the block. */
  checkAllJobs(): void {
    for (const job of this.ports.blockState.jobs.values()) this.endOrRemove(job);
  }

  /** Looks at the jobs that have just been completed: users wait for their end, and so do the jobs that need them. */
  checkCompletedJobs(): void {
    for (const job of this.ports.blockState.takeCompletedJobs()) this.endOrRemove(job);
  }

  private endOrRemove(job: JobState): void {
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
    return this.outcomesUnderWay < this.maxOutcomesUnderWay && !this.ports.commits.full;
  }

  /** Completed tasks stay so, which is why a late view of the other blocks' pages is enough. */
  private isCompleteInAllBlocks(job: JobState): boolean {
    if (job.holdsAllTasks) return true;
    // Only one of the owners commits: rivals would only spend writes on conflicts.
    if (!job.held.includesFirstRange || !job.isCompleteCommitted || !job.spec) return false;
    return this.ports.jobIndex.progress(job.id).done === job.spec.tasks;
  }

  /**
   * Not conditioned on the block: that all tasks are done stays true whoever has it, and its record changes so often that
   * outcomes which wait for their turn would be turned down again and again.
   */
  private async commitOutcome(job: JobState): Promise<void> {
    const { blockState, settings, signal, log, onOutcomeSettled } = this.ports;
    job.isCommittingOutcome = true;
    this.outcomesUnderWay++;
    try {
      const result = await this.startCommit(job);
      if (result.kind === 'applied') blockState.endJob(job, 'done');
      this.outcomesUnderWay--;
      // Ended already, by this commit after all, by another block's owner or by a user: the store's changes tell which.
      if (result.kind !== 'applied') await sleep(settings.heartbeatIntervalMs * retryHeartbeats, signal);
      job.isCommittingOutcome = false;
      onOutcomeSettled();
    } catch (error) {
      logDefect(log, "commit of a job's outcome", error);
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
