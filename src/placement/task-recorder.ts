/** What the state of a job needs of the ledger that records its tasks. */
import type { LedgerEntry } from '../wire/ledger-records.js';

/**
 * How soon a change has to be written. `deferred`: after a controller's failure the next owner would learn the same from
 * the workers' heartbeats, so writing may wait for other changes. `immediate`: something waits for the commit.
 */
export type WriteUrgency = 'deferred' | 'immediate';

/** What is to be known of the ledger page that records a task. */
export interface RecordingPage {
  /** The page is being written, or its version in the store is being found out. */
  readonly isCommitting: boolean;
  /** Settles with the last commit that was started. */
  readonly commit: Promise<void>;
}

/** Records the tasks of one job in the ledger of its block. */
export interface TaskRecorder {
  /** Notes that the record of the task is out of date; `now` is steady time in ms. */
  markDirty(index: number, urgency: WriteUrgency, now: number): void;
  /** The page that records the task; none before there is anything to record of it. */
  pageOf(index: number): RecordingPage | undefined;
  /**
   * Takes an entry of the stored ledger for the record of its tasks. If its page is retired, they are recorded anew
   * elsewhere, and the page is kept until that has been written.
   */
  restore(entry: LedgerEntry, pageIndex: number, now: number): void;
  /** Drops the job's entries from their pages: an ended job without tasks on machines needs no record. */
  remove(now: number): void;
}
