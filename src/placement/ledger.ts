import { type LedgerEntry, writtenBytes } from '../wire/ledger-records.js';
import type { JobState, Task } from './job-state.js';

/** `soon`: what changed can also be learned from the workers again. `now`: something waits for the commit. */
export type Dirt = 'clean' | 'soon' | 'now';

/** Consecutive tasks of a job that share an entry of the ledger. */
export interface Chunk {
  readonly job: JobState;
  readonly index: number;
  readonly page: LedgerPage;
  readonly bytes: number;
  /** Its entry as last built, while nothing of it has changed since, with what it takes. */
  entry: LedgerEntry | undefined;
  bytesWritten: number;
  /** Tasks that the entry names and that are being placed, or are done and not known to be committed. */
  placing: Task[];
  done: number[];
}

export class LedgerPage {
  version = 0;
  dirt: Dirt = 'clean';
  dirtySince = 0;
  busy = false;
  /** Settles with the commit that is under way. */
  commit: Promise<void> = Promise.resolve();
  bytes = 0;
  readonly chunks = new Set<Chunk>();

  constructor(readonly index: number) {}

  soil(dirt: Exclude<Dirt, 'clean'>, now: number): void {
    if (this.dirt === 'clean') this.dirtySince = now;
    if (this.dirt !== 'now') this.dirt = dirt;
  }

  drop(chunk: Chunk): void {
    if (this.chunks.delete(chunk)) this.bytes -= chunk.bytes;
  }
}

/** A stored page with entries of another size, which is dropped once smaller entries record all that it says. */
export interface RetiredPage {
  readonly index: number;
  version: number;
  /** Chunks that have yet to be written. */
  readonly unwritten: Set<Chunk>;
  busy: boolean;
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
  readonly retired = new Map<number, RetiredPage>();

  constructor(readonly pageBytes: number) {}

  /** Something waits for its commit. */
  get presses(): boolean {
    for (const page of this.pages.values()) if (page.dirt === 'now' && !page.busy) return true;
    return false;
  }

  /** Something is to be written down. */
  get isSoiled(): boolean {
    for (const page of this.pages.values()) if (page.dirt !== 'clean') return true;
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
  add(job: JobState, index: number, bytes: number, at?: LedgerPage): Chunk {
    const page = at ?? this.withRoom(bytes);
    const chunk: Chunk = {
      job,
      index,
      page,
      bytes,
      entry: undefined,
      bytesWritten: 0,
      placing: [],
      done: [],
    };
    page.chunks.add(chunk);
    page.bytes += bytes;
    return chunk;
  }

  private withRoom(bytes: number): LedgerPage {
    for (const page of this.pages.values()) if (page.bytes + bytes <= this.pageBytes) return page;
    let index = 0;
    while (this.pages.has(index) || this.retired.has(index)) index++;
    return this.page(index);
  }

  /** The chunks stand in the store, or need no record any more. */
  noteWritten(chunks: Iterable<Chunk>): void {
    if (this.retired.size === 0) return;
    for (const chunk of chunks) {
      for (const { unwritten } of this.retired.values()) unwritten.delete(chunk);
    }
  }

  /** Retired pages that say nothing which is not recorded elsewhere. */
  dispensable(): RetiredPage[] {
    return [...this.retired.values()].filter(({ unwritten, busy }) => unwritten.size === 0 && !busy);
  }
}

/**
 * The page as it should stand in the store, with the tasks that its commit would turn from placing to placed. A commit
 * can be conditioned on so many jobs only, and a page holds so many bytes: tasks beyond that are taken off, to be placed
 * again. Without tasks that are being placed a page may be too large for a while: what is on machines takes more room than
 * what is done.
 */
export function snapshot(
  page: LedgerPage,
  mostJobs: number,
  takeOff: (task: Task) => void,
  mostBytes = Infinity,
): PageSnapshot {
  const jobs = new Set<JobState>();
  for (const chunk of page.chunks) {
    refresh(chunk);
    if (chunk.placing.length === 0) continue;
    if (jobs.has(chunk.job) || jobs.size < mostJobs) jobs.add(chunk.job);
    else takeOffPlacing(chunk, takeOff);
  }
  let bytes = 0;
  for (const { bytesWritten } of page.chunks) bytes += bytesWritten;
  for (const chunk of [...page.chunks].reverse()) {
    if (bytes <= mostBytes) break;
    bytes -= chunk.bytesWritten;
    takeOffPlacing(chunk, takeOff);
    bytes += chunk.bytesWritten;
  }
  return assemble(page, bytes);
}

/** Builds the entry anew where anything of its tasks has changed. */
function refresh(chunk: Chunk): void {
  if (chunk.entry) return;
  const { entry, done } = chunk.job.entryOf(chunk.index);
  chunk.entry = entry;
  chunk.done = done;
  chunk.placing = [...chunk.job.tasksOf(chunk.index)].filter((task) => task.phase === 'placing');
  chunk.bytesWritten = writtenBytes(entry);
}

function takeOffPlacing(chunk: Chunk, takeOff: (task: Task) => void): void {
  for (const task of chunk.placing) takeOff(task);
  refresh(chunk);
}

function assemble(page: LedgerPage, bytes: number): PageSnapshot {
  const shot: PageSnapshot = { chunks: [...page.chunks], entries: [], bytes, placing: [], done: [] };
  for (const chunk of page.chunks) {
    if (chunk.entry) shot.entries.push(chunk.entry);
    shot.placing.push(...chunk.placing);
    if (chunk.done.length > 0) shot.done.push({ job: chunk.job, indices: chunk.done });
    chunk.placing = [];
    chunk.done = [];
  }
  return shot;
}
