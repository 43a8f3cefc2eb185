/** The interface through which the state of a job records its tasks in the ledger. */
import type { LedgerEntry } from '../wire/ledger-records.js';

/**
 * How soon a change has to be written. `deferred`: the write may wait for other changes, since after a
 * failure of the controller the next owner would learn the same from the workers' heartbeats. `immediate`:
 * something waits for the commit.
 */
export type WriteUrgency = 'deferred' | 'immediate';

/** The state of the ledger page that records a task. */
export interface RecordingPage {
  /** True while the page is being written or its version in the store is being read. */
  readonly isCommitting: boolean;
  /** Settles once the most recently started commit has settled. */
  readonly commit: Promise<void>;
}

/** Records the tasks of one job in the ledger of its block. */
export interface TaskRecorder {
  /** Marks the record of the task as out of date; `now` is monotonic time in ms. */
  markDirty(index: number, urgency: WriteUrgency, now: number): void;
  /** The page that records the task; undefined while nothing of the task has been recorded. */
  pageOf(index: number): RecordingPage | undefined;
  /**
   * Uses an entry of the stored ledger as the record of its tasks. If the entry's page is retired, the tasks
   * are recorded in other pages, and the retired page is kept until that has been written.
   */
  restore(entry: LedgerEntry, pageIndex: number, now: number): void;
  /** Removes the job's entries from their pages: an ended job without tasks on machines needs no record. */
  remove(now: number): void;
}
