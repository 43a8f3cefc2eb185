/**
 * In-memory form of a block's ledger. A block is a set of machines with the work placed on them, leased to
 * one controller, the block's owner. The ledger consists of pages in the store on which the owner records the
 * tasks that it has started.
 */
import type { LedgerEntry } from '../wire/ledger-records.js';
import type { JobState, Task } from './job-state.js';
import type { RecordingPage, WriteUrgency } from './task-recorder.js';

/** A ledger entry together with the indices of the completed tasks that it records. */
export interface BuiltEntry {
  entry: LedgerEntry;
  done: number[];
}

/** Builds the ledger entries of one job from the state of the job. */
export interface EntryBuilder {
  readonly job: JobState;
  buildEntry(chunk: number): BuiltEntry;
  placingTasksOf(chunk: number): Task[];
}

/** A range of consecutive tasks of a job that are recorded in one ledger entry. */
export interface Chunk {
  readonly builder: EntryBuilder;
  /** Number of the chunk within its job, counted from 0. */
  readonly index: number;
  readonly page: LedgerPage;
  /** Bytes of the page that are reserved for the entry of this chunk. */
  readonly reservedBytes: number;
  /**
   * The most recently built entry; undefined if it has to be rebuilt, for example because a task has changed.
   */
  entry: LedgerEntry | undefined;
  /** Upper bound of the size of the most recently built entry, in bytes. */
  entryBytes: number;
  /**
   * Tasks in phase `placing` that the most recently built entry contains; empty after a snapshot for a commit
   * has included them.
   */
  placing: Task[];
  /**
   * Indices of the tasks that the most recently built entry records as done; empty after a snapshot for a
   * commit has included them.
   */
  done: number[];
}

/** One page of a ledger. A page is one value in the store and can hold entries of several jobs. */
export class LedgerPage implements RecordingPage {
  /** Version of the page in the store; 0 if the store does not contain the page. */
  version = 0;
  /** How soon the page has to be written; undefined if it has no unwritten changes. */
  writeUrgency: WriteUrgency | undefined;
  /** Monotonic time in ms since which the page has had unwritten changes. */
  dirtySince = 0;
  /**
   * True while a commit of the page is in progress or the version of the page is being read. Another commit
   * of the page must not start during this time.
   */
  isCommitting = false;
  /** Settles when the most recently started commit of the page has finished. */
  commit: Promise<void> = Promise.resolve();
  /** Total number of bytes that are reserved for the entries of the chunks on this page. */
  reservedBytes = 0;
  readonly chunks = new Set<Chunk>();

  constructor(readonly index: number) {}

  /** Schedules a write of the page. If an immediate write is already scheduled, it stays immediate. */
  markDirty(urgency: WriteUrgency, now: number): void {
    if (this.writeUrgency === undefined) this.dirtySince = now;
    if (this.writeUrgency !== 'immediate') this.writeUrgency = urgency;
  }

  /** Removes the chunk and frees its reserved bytes. The caller has to mark the page dirty. */
  removeChunk(chunk: Chunk): void {
    if (this.chunks.delete(chunk)) this.reservedBytes -= chunk.reservedBytes;
  }

  /** Discards all built entries, so that the next commit rebuilds every entry of the page. */
  discardBuiltEntries(): void {
    for (const chunk of this.chunks) chunk.entry = undefined;
  }
}

/**
 * A stored page that contains an entry with a chunk size other than that of the current layout. The page is
 * deleted from the store after entries with the current chunk size on other pages record all of its tasks.
 */
export interface RetiredPage {
  readonly index: number;
  /** Version of the page in the store. */
  version: number;
  /** Chunks that contain tasks of this page and have not been written to another page yet. */
  readonly unwrittenChunks: Set<Chunk>;
  /** True while the deletion of the page is in progress. */
  isBeingDeleted: boolean;
}

/**
 * The ledger of one block. A chunk is assigned to a page when a change of one of its tasks has to be recorded
 * for the first time, and stays on that page. The page reserves bytes for the growth of the chunk's entry, so
 * that the page does not exceed its maximum size in the store.
 */
export class Ledger {
  readonly pages = new Map<number, LedgerPage>();
  readonly retiredPages = new Map<number, RetiredPage>();

  /** @param pageBytes maximum size of a page in the store, in bytes */
  constructor(readonly pageBytes: number) {}

  /** True if some page needs an immediate write and no commit of this page is in progress. */
  get hasImmediateWrites(): boolean {
    for (const page of this.pages.values())
      if (page.writeUrgency === 'immediate' && !page.isCommitting) return true;
    return false;
  }

  /** True if some page has unwritten changes. */
  get hasUnwrittenChanges(): boolean {
    for (const page of this.pages.values()) if (page.writeUrgency !== undefined) return true;
    return false;
  }

  /** Number of pages that have at least one chunk. */
  get usedPageCount(): number {
    let count = 0;
    for (const page of this.pages.values()) if (page.chunks.size > 0) count++;
    return count;
  }

  /** Returns the page with this number, and creates the page if it does not exist. */
  page(index: number): LedgerPage {
    let page = this.pages.get(index);
    if (!page) this.pages.set(index, (page = new LedgerPage(index)));
    return page;
  }

  /**
   * Marks a stored page as retired because the chunk size of its entries differs from that of the layout. The
   * page is kept until other pages record all of its tasks.
   */
  retirePage(index: number, version: number): void {
    this.retiredPages.set(index, { index, version, unwrittenChunks: new Set(), isBeingDeleted: false });
  }

  /**
   * Assigns a chunk to a page and reserves space for its entry.
   *
   * @param builder builds the entry of the chunk
   * @param index number of the chunk within its job
   * @param reservedBytes bytes to reserve for the entry of the chunk
   * @param storedPage the page that contains the chunk in the store; by default the first page with enough
   *   space
   */
  addChunk(builder: EntryBuilder, index: number, reservedBytes: number, storedPage?: LedgerPage): Chunk {
    const page = storedPage ?? this.pageWithSpaceFor(reservedBytes);
    const chunk: Chunk = {
      builder,
      index,
      page,
      reservedBytes,
      entry: undefined,
      entryBytes: 0,
      placing: [],
      done: [],
    };
    page.chunks.add(chunk);
    page.reservedBytes += reservedBytes;
    return chunk;
  }

  private pageWithSpaceFor(bytes: number): LedgerPage {
    for (const page of this.pages.values()) if (page.reservedBytes + bytes <= this.pageBytes) return page;
    let index = 0;
    while (this.pages.has(index) || this.retiredPages.has(index)) index++;
    return this.page(index);
  }

  /**
   * Removes the chunks from the unwritten chunks of all retired pages, because their tasks are now recorded
   * on other pages or no longer have to be recorded.
   */
  markWritten(chunks: Iterable<Chunk>): void {
    if (this.retiredPages.size === 0) return;
    for (const chunk of chunks) {
      for (const { unwrittenChunks } of this.retiredPages.values()) unwrittenChunks.delete(chunk);
    }
  }

  /**
   * Returns the retired pages whose tasks are all stored on other pages. Pages that are already being deleted
   * are not included.
   */
  deletableRetiredPages(): RetiredPage[] {
    return [...this.retiredPages.values()].filter(
      ({ unwrittenChunks, isBeingDeleted }) => unwrittenChunks.size === 0 && !isBeingDeleted,
    );
  }
}
