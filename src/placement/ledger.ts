/** The ledger of a block: pages in the store in which the block's owner records the tasks it has started. */
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

/** A range of consecutive tasks of a job that is recorded in one ledger entry. */
export interface Chunk {
  readonly builder: EntryBuilder;
  /** Number of the chunk within its job, counted from 0. */
  readonly index: number;
  readonly page: LedgerPage;
  /** Bytes of the page that are reserved for the entry of this chunk. */
  readonly reservedBytes: number;
  /** The entry as it was last built; undefined if a task of the chunk has changed since. */
  entry: LedgerEntry | undefined;
  /** Size of the last built entry, in bytes. */
  entryBytes: number;
  /** Tasks in phase `placing` that the last built entry contains. */
  placing: Task[];
  /**
   * Indices of the tasks that the last built entry records as done; empty once a snapshot for a commit
   * includes them.
   */
  done: number[];
}

/** One page of a ledger: a single value of the store that holds entries of several jobs. */
export class LedgerPage implements RecordingPage {
  /** Version of the page in the store; 0 if the store does not contain the page. */
  version = 0;
  /** How soon the page has to be written; undefined if it has no unwritten changes. */
  writeUrgency: WriteUrgency | undefined;
  /** Steady time in ms since which the page has had unwritten changes. */
  dirtySince = 0;
  /**
   * True while a commit of the page is in progress or its version is being read: no other commit may start.
   */
  isCommitting = false;
  /** Settles when the most recently started commit of the page is finished. */
  commit: Promise<void> = Promise.resolve();
  /** Sum of the bytes reserved for the entries of the chunks on this page. */
  reservedBytes = 0;
  readonly chunks = new Set<Chunk>();

  constructor(readonly index: number) {}

  /** Schedules the page to be written. Of two urgencies the higher one applies. */
  markDirty(urgency: WriteUrgency, now: number): void {
    if (this.writeUrgency === undefined) this.dirtySince = now;
    if (this.writeUrgency !== 'immediate') this.writeUrgency = urgency;
  }

  /** Removes the chunk and frees its reserved bytes. The caller has to mark the page dirty. */
  removeChunk(chunk: Chunk): void {
    if (this.chunks.delete(chunk)) this.reservedBytes -= chunk.reservedBytes;
  }

  /** Discards all built entries, so that the next commit rebuilds each of them. */
  discardBuiltEntries(): void {
    for (const chunk of this.chunks) chunk.entry = undefined;
  }
}

/**
 * A stored page whose entries have another chunk size than the current layout. It is deleted from the store
 * after smaller entries on other pages record all of its tasks.
 */
export interface RetiredPage {
  readonly index: number;
  /** Version of the page in the store. */
  version: number;
  /** Chunks with tasks of this page that have not been written to another page yet. */
  readonly unwrittenChunks: Set<Chunk>;
  /** True while the deletion of the page is in progress. */
  isBeingDeleted: boolean;
}

/**
 * The ledger of one block. A chunk is assigned to a page when it first has something to record, and stays on
 * that page. The page reserves bytes for the growth of the chunk's entry, so that the page does not exceed
 * the size of a value in the store.
 */
export class Ledger {
  readonly pages = new Map<number, LedgerPage>();
  readonly retiredPages = new Map<number, RetiredPage>();

  /** @param pageBytes maximum size of a page in the store, in bytes */
  constructor(readonly pageBytes: number) {}

  /** True if some page has an immediate write for which no commit has been started. */
  get hasUrgentWrites(): boolean {
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

  /** Returns the page with this number; creates it if it does not exist. */
  page(index: number): LedgerPage {
    let page = this.pages.get(index);
    if (!page) this.pages.set(index, (page = new LedgerPage(index)));
    return page;
  }

  /** Retires a stored page with another chunk size: it is kept until other pages record its tasks. */
  retirePage(index: number, version: number): void {
    this.retiredPages.set(index, { index, version, unwrittenChunks: new Set(), isBeingDeleted: false });
  }

  /**
   * Assigns a chunk to a page and reserves space for its entry.
   *
   * @param builder builds the entry of the chunk
   * @param index number of the chunk within its job
   * @param reservedBytes bytes to reserve for the entry of the chunk
   * @param storedPage the page on which the store already has the chunk; by default the first page with
   *   enough space
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

  /** Marks the chunks as recorded in the store, or as no longer needing a record. */
  markWritten(chunks: Iterable<Chunk>): void {
    if (this.retiredPages.size === 0) return;
    for (const chunk of chunks) {
      for (const { unwrittenChunks } of this.retiredPages.values()) unwrittenChunks.delete(chunk);
    }
  }

  /**
   * Retired pages whose tasks are all stored on other pages, without pages that are already being deleted.
   */
  deletableRetiredPages(): RetiredPage[] {
    return [...this.retiredPages.values()].filter(
      ({ unwrittenChunks, isBeingDeleted }) => unwrittenChunks.size === 0 && !isBeingDeleted,
    );
  }
}
