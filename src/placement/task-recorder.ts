/** The interface through which the state of a job records its tasks in the ledger of a block. */
import type { LedgerEntry } from '../wire/ledger-records.js';

/**
 * How soon a change has to be written. `deferred`: the write may wait for other changes, because the workers'
 * heartbeats would report the same state to the block's next owner after a failure of this controller.
 * `immediate`: another operation waits for the commit.
 */
export type WriteUrgency = 'deferred' | 'immediate';

/** The state of the ledger page that records a task. */
export interface RecordingPage {
  /** True while the page is being written or its version in the store is being read. */
  readonly isCommitting: boolean;
  /** Settles after the most recently started commit of the page has finished. */
  readonly commit: Promise<void>;
}

/** Records the tasks of one job in the ledger of its block. */
export interface TaskRecorder {
  /** Marks the ledger entry that contains the task as out of date; `now` is monotonic time in ms. */
  markDirty(index: number, urgency: WriteUrgency, now: number): void;
  /** Returns the page that records the task; undefined if no page records the task yet. */
  pageOf(index: number): RecordingPage | undefined;
  /**
   * Uses an entry of the stored ledger as the record of its tasks. If the page of the entry is retired, the
   * tasks are recorded on other pages, and the retired page is kept until these pages have been written.
   */
  restore(entry: LedgerEntry, pageIndex: number, now: number): void;
  /**
   * Removes the job's entries from their pages, because an ended job without tasks on machines needs no
   * entries.
   */
  remove(now: number): void;
}
