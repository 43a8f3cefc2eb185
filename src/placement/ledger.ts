/** The pages in which the owner of a block records, in the store, what it has started. */
import type { LedgerEntry } from '../wire/ledger-records.js';
import type { JobState, Task } from './job-state.js';
import type { RecordingPage, WriteUrgency } from './task-recorder.js';

/** An entry, and the completed tasks that it names one by one. */
export interface BuiltEntry {
  entry: LedgerEntry;
  done: number[];
}

/** Builds the entries of a job from its state. */
export interface EntryBuilder {
  readonly job: JobState;
  buildEntry(chunk: number): BuiltEntry;
  placingTasksOf(chunk: number): Task[];
}

/** Consecutive tasks of a job that share an entry of the ledger. */
export interface Chunk {
  readonly builder: EntryBuilder;
  /** Number of the chunk within its job, from 0. */
  readonly index: number;
  readonly page: LedgerPage;
  /** Room that the page keeps for its entry. */
  readonly reservedBytes: number;
  /** Its entry as last built, while nothing of it has changed since. */
  entry: LedgerEntry | undefined;
  /** What that entry takes. */
  entryBytes: number;
  /** Tasks that the entry names and that are being placed. */
  placing: Task[];
  /** Tasks that the entry has as done and that are not known to be committed. */
  done: number[];
}

/** One value of the store, with entries of several jobs. */
export class LedgerPage implements RecordingPage {
  /** Its version in the store; 0 while it is not there. */
  version = 0;
  /** Undefined: the page has nothing to write. */
  writeUrgency: WriteUrgency | undefined;
  /** Steady time in ms since when it has had something to write. */
  dirtySince = 0;
  /** The page is being written, or its version in the store is being found out: no other commit may begin. */
  isCommitting = false;
  /** Settles with the last commit that was started. */
  commit: Promise<void> = Promise.resolve();
  /** Room that is set aside for the entries of its chunks. */
  reservedBytes = 0;
  readonly chunks = new Set<Chunk>();

  constructor(readonly index: number) {}

  /** Has the page written; the more pressing of two urgencies counts. */
  markDirty(urgency: WriteUrgency, now: number): void {
    if (this.writeUrgency === undefined) this.dirtySince = now;
    if (this.writeUrgency !== 'immediate') this.writeUrgency = urgency;
  }

  /** Gives the room of the chunk back; the page still has to be written without it. */
  removeChunk(chunk: Chunk): void {
    if (this.chunks.delete(chunk)) this.reservedBytes -= chunk.reservedBytes;
  }

  /** Has all entries built anew for the next commit. */
  discardBuiltEntries(): void {
    for (const chunk of this.chunks) chunk.entry = undefined;
  }
}

/** A stored page with entries of another size, which is dropped once smaller entries record all that it says. */
export interface RetiredPage {
  readonly index: number;
  /** Its version in the store. */
  version: number;
  /** Chunks that have yet to be written elsewhere. */
  readonly unwrittenChunks: Set<Chunk>;
  isDropping: boolean;
}

/**
 * The ledger of one block. A chunk gets its place when it first has anything to record and keeps it, with room for the most
 * that it can grow to: a page never outgrows a value of the store.
 */
export class Ledger {
  readonly pages = new Map<number, LedgerPage>();
  readonly retiredPages = new Map<number, RetiredPage>();

  /** `pageBytes`: the most that a page may take in the store. */
  constructor(readonly pageBytes: number) {}

  /** Something waits for a commit that has not begun. */
  get hasUrgentWrites(): boolean {
    for (const page of this.pages.values())
      if (page.writeUrgency === 'immediate' && !page.isCommitting) return true;
    return false;
  }

  /** Something has yet to be written. */
  get hasUnwrittenChanges(): boolean {
    for (const page of this.pages.values()) if (page.writeUrgency !== undefined) return true;
    return false;
  }

  /** How many pages have entries. */
  get pagesInUse(): number {
    let count = 0;
    for (const page of this.pages.values()) if (page.chunks.size > 0) count++;
    return count;
  }

  /** The page with this number, which is made if there is none. */
  page(index: number): LedgerPage {
    let page = this.pages.get(index);
    if (!page) this.pages.set(index, (page = new LedgerPage(index)));
    return page;
  }

  /** Keeps a stored page whose entries are of another size until they are recorded elsewhere. */
  retirePage(index: number, version: number): void {
    this.retiredPages.set(index, { index, version, unwrittenChunks: new Set(), isDropping: false });
  }

  /** `reservedBytes`: the most that its entry may take; `storedPage`: where the store has it already. */
  addChunk(builder: EntryBuilder, index: number, reservedBytes: number, storedPage?: LedgerPage): Chunk {
    const page = storedPage ?? this.pageWithRoom(reservedBytes);
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

  private pageWithRoom(bytes: number): LedgerPage {
    for (const page of this.pages.values()) if (page.reservedBytes + bytes <= this.pageBytes) return page;
    let index = 0;
    while (this.pages.has(index) || this.retiredPages.has(index)) index++;
    return this.page(index);
  }

  /** Notes that the chunks stand in the store, or need no record any more. */
  markWritten(chunks: Iterable<Chunk>): void {
    if (this.retiredPages.size === 0) return;
    for (const chunk of chunks) {
      for (const { unwrittenChunks } of this.retiredPages.values()) unwrittenChunks.delete(chunk);
    }
  }

  /** Retired pages that say nothing which is not recorded elsewhere in the store. */
  removablePages(): RetiredPage[] {
    return [...this.retiredPages.values()].filter(
      ({ unwrittenChunks, isDropping }) => unwrittenChunks.size === 0 && !isDropping,
    );
  }
}
