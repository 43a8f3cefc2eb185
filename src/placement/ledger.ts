import { type LedgerEntry, entryBytes, writtenBytes } from '../wire/records.js';
import type { JobState, Task } from './job-state.js';

/** `soon`: what changed can also be learned from the workers again. `now`: something waits for the commit. */
export type Dirt = 'clean' | 'soon' | 'now';

/** Consecutive tasks of a job that share an entry of the ledger. */
export interface Chunk {
  readonly job: JobState;
  readonly index: number;
  readonly page: LedgerPage;
  readonly bytes: number;
  /** Its entry as last built, while nothing of it has changed since. */
  entry: LedgerEntry | undefined;
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

  constructor(private readonly pageBytes: number) {}

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

  /** `at`: where the store has it. */
  add(job: JobState, index: number, tasks: number, at?: LedgerPage): Chunk {
    const bytes = entryBytes(tasks);
    const page = at ?? this.withRoom(bytes);
    const chunk: Chunk = { job, index, page, bytes, entry: undefined };
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
 * can be conditioned on so many jobs only: tasks of further ones are taken off, to be placed again.
 */
export function snapshot(page: LedgerPage, mostJobs: number, takeOff: (task: Task) => void): PageSnapshot {
  const shot: PageSnapshot = { chunks: [...page.chunks], entries: [], bytes: 0, placing: [], done: [] };
  const jobs = new Set<JobState>();
  for (const chunk of page.chunks) {
    const { job } = chunk;
    if (!chunk.entry) {
      const placing = [...job.tasksOf(chunk.index)].filter((task) => task.phase === 'placing');
      if (placing.length > 0 && !jobs.has(job) && jobs.size >= mostJobs) {
        for (const task of placing.splice(0)) takeOff(task);
      }
      if (placing.length > 0) jobs.add(job);
      shot.placing.push(...placing);
      const { entry, done } = job.entryOf(chunk.index);
      chunk.entry = entry;
      if (done.length > 0) shot.done.push({ job, indices: done });
    }
    shot.entries.push(chunk.entry);
    shot.bytes += writtenBytes(chunk.entry);
  }
  return shot;
}
