/** Ends the jobs of a block whose tasks are all done. */
import { type Clock, sleep } from '../base/clock.js';
import type { Settings } from '../settings/settings.js';
import type { CommitQueue } from '../store/commit-stage.js';
import { changesPerEnd, endTransaction } from '../wire/end-transaction.js';
import type { BlockState } from './block-state.js';
import type { JobIndex } from './job-index.js';
import type { JobState } from './job-state.js';

/** So many seconds of a controller's even share of the changes may be under way as ends. */
const endingS = 2;

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
  onDecided: () => void;
}

/** Commits the ends of jobs, and takes those that have ended off the block once nothing of them is left on machines. */
export class JobCompletion {
  /** Ends that are being committed. They take turns with the pages: both wait for the same changes. */
  private ending = 0;
  private readonly mostEnding: number;

  constructor(private readonly ports: JobCompletionPorts) {
    const { controllers, state } = ports.settings;
    this.mostEnding = Math.max(1, Math.floor((state.writeRps * endingS) / controllers / changesPerEnd));
  }

  /** Looks at every job of the block. */
  endAll(): void {
    for (const job of this.ports.blockState.jobs.values()) this.endIfOver(job);
  }

  /** Users wait for the end of a job, and so do the jobs that need it. */
  endCompleted(): void {
    for (const job of this.ports.blockState.takeCompleted()) this.endIfOver(job);
  }

  private endIfOver(job: JobState): void {
    const { blockState, commits, clock } = this.ports;
    if (job.ending) return;
    if (job.ended) {
      if (job.active > 0) return;
      job.leaveLedger(clock());
      blockState.jobs.delete(job.id);
    } else if (this.ending < this.mostEnding && !commits.full && job.complete && this.othersComplete(job)) {
      void this.commitDone(job);
    }
  }

  /** Completed tasks stay so, which is why a late view of the other blocks' pages is enough. */
  private othersComplete(job: JobState): boolean {
    if (job.whole) return true;
    // One owner asks: rivals would only spend writes on conflicts.
    if (!job.first || !job.completeCommitted || !job.spec) return false;
    return this.ports.jobIndex.progress(job.id).done === job.spec.tasks;
  }

  /**
   * Not conditioned on the block: that all tasks are done stays true whoever has it, and its record changes so often that
   * ends which wait for their turn would be turned down again and again.
   */
  private async commitDone(job: JobState): Promise<void> {
    const { commits, blockState, settings, signal } = this.ports;
    job.ending = true;
    this.ending++;
    const tasks = job.spec?.tasks ?? job.doneCount;
    const end = { end: 'done', tasks, at: this.ports.wallClock() } as const;
    const { conditions, writes } = endTransaction(job.id, job.version, end);
    const outcome = await commits.commit(conditions, writes);
    if (outcome.kind === 'applied') blockState.endJob(job, 'done');
    this.ending--;
    // Ended already, by this commit after all, by another block's owner or by a user: the watch tells which.
    if (outcome.kind !== 'applied') await sleep(settings.reportMs / 4, signal);
    job.ending = false;
    this.ports.onDecided();
  }
}
