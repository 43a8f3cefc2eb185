import { type LedgerEntry, writtenBytes } from '../wire/ledger-records.js';
import type { JobState, Task } from './job-state.js';

/** `soon`: what changed can also be learned from the workers again. `now`: something waits for the commit. */
export type WriteUrgency = 'clean' | 'soon' | 'now';

/** Consecutive tasks of a job that share an entry of the ledger. */
export interface Chunk {
  readonly job: JobState;
  readonly index: number;
  readonly page: LedgerPage;
  readonly reservedBytes: number;
  /** Its entry as last built, while nothing of it has changed since, with what it takes. */
  entry: LedgerEntry | undefined;
  entryBytes: number;
  /** Tasks that the entry names and that are being placed, or are done and not known to be committed. */
  placing: Task[];
  done: number[];
}

export class LedgerPage {
  version = 0;
  writeUrgency: WriteUrgency = 'clean';
  dirtySince = 0;
  isCommitting = false;
  /** Settles with the commit that is under way. */
  commit: Promise<void> = Promise.resolve();
  reservedBytes = 0;
  readonly chunks = new Set<Chunk>();

  constructor(readonly index: number) {}

  markDirty(urgency: Exclude<WriteUrgency, 'clean'>, now: number): void {
    if (this.writeUrgency === 'clean') this.dirtySince = now;
    if (this.writeUrgency !== 'now') this.writeUrgency = urgency;
  }

  removeChunk(chunk: Chunk): void {
    if (this.chunks.delete(chunk)) this.reservedBytes -= chunk.reservedBytes;
  }
}

/** A stored page with entries of another size, which is dropped once smaller entries record all that it says. */
export interface RetiredPage {
  readonly index: number;
  version: number;
  /** Chunks that have yet to be written. */
  readonly unwrittenChunks: Set<Chunk>;
  isDropping: boolean;
}

export interface PageSnapshot {
  chunks: Chunk[];
  entries: LedgerEntry[];
  /** What they take at the most: measuring them each time would cost more than writing them. */
  bytes: number;
  placing: Task[];
  done: { job: JobState; indices: number[] }[];
}

/**
 * The pages in which a block's owner records what it has started. A chunk gets its place when it first has anything to
 * record and keeps it, with room for the most that it can grow to: a page never outgrows a value of the store.
 */
export class Ledger {
  readonly pages = new Map<number, LedgerPage>();
  readonly retiredPages = new Map<number, RetiredPage>();

  constructor(readonly pageBytes: number) {}

  /** Something waits for its commit. */
  get hasUrgentWrites(): boolean {
    for (const page of this.pages.values())
      if (page.writeUrgency === 'now' && !page.isCommitting) return true;
    return false;
  }

  /** Something is to be written down. */
  get hasUnwrittenChanges(): boolean {
    for (const page of this.pages.values()) if (page.writeUrgency !== 'clean') return true;
    return false;
  }

  get pagesInUse(): number {
    let count = 0;
    for (const page of this.pages.values()) if (page.chunks.size > 0) count++;
    return count;
  }

  page(index: number): LedgerPage {
    let page = this.pages.get(index);
    if (!page) this.pages.set(index, (page = new LedgerPage(index)));
    return page;
  }

  /** `bytes`: what its entry needs room for; `at`: where the store has it. */
  addChunk(job: JobState, index: number, bytes: number, storedPage?: LedgerPage): Chunk {
    const page = storedPage ?? this.pageWithRoom(bytes);
    const chunk: Chunk = {
      job,
      index,
      page,
      reservedBytes: bytes,
      entry: undefined,
      entryBytes: 0,
      placing: [],
      done: [],
    };
    page.chunks.add(chunk);
    page.reservedBytes += bytes;
    return chunk;
  }

  private pageWithRoom(bytes: number): LedgerPage {
    for (const page of this.pages.values()) if (page.reservedBytes + bytes <= this.pageBytes) return page;
    let index = 0;
    while (this.pages.has(index) || this.retiredPages.has(index)) index++;
    return this.page(index);
  }

  /** The chunks stand in the store, or need no record any more. */
  markWritten(chunks: Iterable<Chunk>): void {
    if (this.retiredPages.size === 0) return;
    for (const chunk of chunks) {
      for (const { unwrittenChunks } of this.retiredPages.values()) unwrittenChunks.delete(chunk);
    }
  }

  /** Retired pages that say nothing which is not recorded elsewhere. */
  removablePages(): RetiredPage[] {
    return [...this.retiredPages.values()].filter(
      ({ unwrittenChunks, isDropping }) => unwrittenChunks.size === 0 && !isDropping,
    );
  }
}

/**
 * The page as it should stand in the store, with the tasks that its commit would turn from placing to placed. A commit
 * can be conditioned on so many jobs only, and a page holds so many bytes: tasks beyond that are taken off, to be placed
 * again. Without tasks that are being placed a page may be too large for a while: what is on machines takes more room than
 * what is done.
 */
export function snapshotPage(
  page: LedgerPage,
  maxJobs: number,
  unassign: (task: Task) => void,
  maxBytes = Infinity,
): PageSnapshot {
  const jobs = new Set<JobState>();
  for (const chunk of page.chunks) {
    rebuildEntry(chunk);
    if (chunk.placing.length === 0) continue;
    if (jobs.has(chunk.job) || jobs.size < maxJobs) jobs.add(chunk.job);
    else unassignPlacingTasks(chunk, unassign);
  }
  let bytes = 0;
  for (const { entryBytes } of page.chunks) bytes += entryBytes;
  for (const chunk of [...page.chunks].reverse()) {
    if (bytes <= maxBytes) break;
    bytes -= chunk.entryBytes;
    unassignPlacingTasks(chunk, unassign);
    bytes += chunk.entryBytes;
  }
  return assembleSnapshot(page, bytes);
}

/** Builds the entry anew where anything of its tasks has changed. */
function rebuildEntry(chunk: Chunk): void {
  if (chunk.entry) return;
  const { entry, done } = chunk.job.buildEntry(chunk.index);
  chunk.entry = entry;
  chunk.done = done;
  chunk.placing = [...chunk.job.tasksOf(chunk.index)].filter((task) => task.phase === 'placing');
  chunk.entryBytes = writtenBytes(entry);
}

function unassignPlacingTasks(chunk: Chunk, unassign: (task: Task) => void): void {
  for (const task of chunk.placing) unassign(task);
  rebuildEntry(chunk);
}

function assembleSnapshot(page: LedgerPage, bytes: number): PageSnapshot {
  const snapshot: PageSnapshot = { chunks: [...page.chunks], entries: [], bytes, placing: [], done: [] };
  for (const chunk of page.chunks) {
    if (chunk.entry) snapshot.entries.push(chunk.entry);
    snapshot.placing.push(...chunk.placing);
    if (chunk.done.length > 0) snapshot.done.push({ job: chunk.job, indices: chunk.done });
    chunk.placing = [];
    chunk.done = [];
  }
  return snapshot;
}
