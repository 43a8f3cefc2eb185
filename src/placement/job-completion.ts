/** Ends the jobs of a block whose tasks are all done. */
import { type Clock, sleep } from '../base/clock.js';
import type { Settings } from '../settings/settings.js';
import type { CommitQueue } from '../store/commit-queue.js';
import { changesPerOutcome, outcomeTransaction } from '../wire/outcome-transaction.js';
import type { BlockState } from './block-state.js';
import type { JobIndex } from './job-index.js';
import type { JobState } from './job-state.js';

/** So many seconds of a controller's even share of the changes may be under way as ends. */
const outcomesUnderWayS = 2;

export interface JobCompletionPorts {
  clock: Clock;
  wallClock: () => number;
  settings: Settings;
  commits: CommitQueue;
  blockState: BlockState;
  /** Ends with the lease of the block. */
  signal: AbortSignal;
  jobIndex: JobIndex;
  /** An end has been committed, or turned down. */
  onOutcomeSettled: () => void;
}

/** Commits the ends of jobs, and takes those that have ended off the block once nothing of them is left on machines. */
export class JobCompletion {
  /** Ends that are being committed. They take turns with the pages: both wait for the same changes. */
  private outcomesUnderWay = 0;
  private readonly maxOutcomesUnderWay: number;

  constructor(private readonly ports: JobCompletionPorts) {
    const { controllers, state } = ports.settings;
    this.maxOutcomesUnderWay = Math.max(
      1,
      Math.floor((state.writeRps * outcomesUnderWayS) / controllers / changesPerOutcome),
    );
  }

  /** Looks at every job of the block. */
  checkAllJobs(): void {
    for (const job of this.ports.blockState.jobs.values()) this.endOrRemove(job);
  }

  /** Users wait for the end of a job, and so do the jobs that need it. */
  checkCompletedJobs(): void {
    for (const job of this.ports.blockState.takeCompletedJobs()) this.endOrRemove(job);
  }

  private endOrRemove(job: JobState): void {
    const { blockState, commits, clock } = this.ports;
    if (job.isCommittingOutcome) return;
    if (job.outcome) {
      if (job.activeCount > 0) return;
      job.removeFromLedger(clock());
      blockState.jobs.delete(job.id);
    } else if (
      this.outcomesUnderWay < this.maxOutcomesUnderWay &&
      !commits.full &&
      job.isComplete &&
      this.isCompleteInAllBlocks(job)
    ) {
      void this.commitOutcome(job);
    }
  }

  /** Completed tasks stay so, which is why a late view of the other blocks' pages is enough. */
  private isCompleteInAllBlocks(job: JobState): boolean {
    if (job.holdsAllTasks) return true;
    // One owner asks: rivals would only spend writes on conflicts.
    if (!job.holdsFirstRange || !job.isCompleteCommitted || !job.spec) return false;
    return this.ports.jobIndex.progress(job.id).done === job.spec.tasks;
  }

  /**
   * Not conditioned on the block: that all tasks are done stays true whoever has it, and its record changes so often that
   * ends which wait for their turn would be turned down again and again.
   */
  private async commitOutcome(job: JobState): Promise<void> {
    const { commits, blockState, settings, signal } = this.ports;
    job.isCommittingOutcome = true;
    this.outcomesUnderWay++;
    const tasks = job.spec?.tasks ?? job.doneCount;
    const end = { outcome: 'done', tasks, endedAt: this.ports.wallClock() } as const;
    const { conditions, writes } = outcomeTransaction(job.id, job.version, end);
    const outcome = await commits.commit(conditions, writes);
    if (outcome.kind === 'applied') blockState.endJob(job, 'done');
    this.outcomesUnderWay--;
    // Ended already, by this commit after all, by another block's owner or by a user: the watch tells which.
    if (outcome.kind !== 'applied') await sleep(settings.heartbeatIntervalMs / 4, signal);
    job.isCommittingOutcome = false;
    this.ports.onOutcomeSettled();
  }
}
