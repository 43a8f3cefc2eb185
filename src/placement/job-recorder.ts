/**
 * Records the tasks of one job in the ledger of a block. The ledger consists of pages in the store, and each
 * page contains entries of several jobs. One entry records a chunk, i.e. a range of consecutive tasks of a
 * job.
 */
import { expandRanges, toRanges } from '../base/ranges.js';
import { type LedgerEntry, maxIdleCompactEntryBytes, maxPlainEntryBytes } from '../wire/ledger-records.js';
import { isAssigned, type JobState, type Task } from './job-state.js';
import type { BuiltEntry, Chunk, EntryBuilder, Ledger, LedgerPage, RetiredPage } from './ledger.js';
import type { LedgerLayout } from './ledger-layout.js';
import type { TaskRecorder, WriteUrgency } from './task-recorder.js';

/** The properties of the ledger's layout that apply to single entries. */
export type EntryLayout = Pick<LedgerLayout, 'chunkTasks' | 'isLegacy'>;

/**
 * Maps the job's tasks to chunks, and builds the ledger entries of these chunks from the state of the job.
 */
export class JobRecorder implements TaskRecorder, EntryBuilder {
  private readonly chunks = new Map<number, Chunk>();

  constructor(
    readonly job: JobState,
    private readonly ledger: Ledger,
    private readonly layout: EntryLayout,
  ) {}

  /**
   * Marks the page that contains the task's chunk as dirty, so that the page is written again. If no page of
   * the ledger contains the chunk yet, adds the chunk to a page first.
   */
  markDirty(index: number, urgency: WriteUrgency, now: number): void {
    this.markChunkDirty(index, urgency, now);
  }

  /** Returns the page that contains the task's chunk. Undefined if the chunk is not on a page yet. */
  pageOf(index: number): LedgerPage | undefined {
    return this.chunks.get(this.chunkOf(index))?.page;
  }

  /**
   * Adds the chunk of a stored entry to the entry's page. If this page is retired, because its entries have
   * another chunk size, the tasks of the entry are marked to be recorded in new chunks on other pages.
   */
  restore(entry: LedgerEntry, pageIndex: number, now: number): void {
    const retired = this.ledger.retiredPages.get(pageIndex);
    if (retired) this.recordInNewChunks(entry, retired, now);
    else this.addStoredChunk(entry, this.ledger.page(pageIndex));
  }

  /** Removes all chunks of the job from their pages, and marks these pages to be written. */
  remove(now: number): void {
    for (const chunk of this.chunks.values()) {
      chunk.page.removeChunk(chunk);
      chunk.page.markDirty('deferred', now);
    }
    this.ledger.markWritten(this.chunks.values());
    this.chunks.clear();
  }

  /**
   * Builds the entry of the chunk from the current state of the job. `done` in the result contains the
   * indices of the chunk's completed tasks.
   */
  buildEntry(chunk: number): BuiltEntry {
    const active: LedgerEntry['active'] = [];
    const waiting: LedgerEntry['waiting'] = [];
    for (const task of this.tasksOf(chunk)) {
      if (isAssigned(task)) active.push([task.index, task.attempt, task.machine]);
      else if (task.attempt > 0) waiting.push([task.index, task.attempt]);
    }
    const done = this.doneTasksOf(chunk);
    const { id, team, need } = this.job;
    const chunkSizeField = this.layout.isLegacy ? {} : { chunkTasks: this.layout.chunkTasks };
    return {
      entry: { id, chunk, team, ...need, active, waiting, done: toRanges(done), ...chunkSizeField },
      done,
    };
  }

  /** Returns the tasks of the chunk in phase `placing`, i.e. whose intent is not committed yet. */
  placingTasksOf(chunk: number): Task[] {
    return [...this.tasksOf(chunk)].filter((task) => task.phase === 'placing');
  }

  private *tasksOf(chunk: number): Iterable<Task> {
    for (const task of this.job.tasks.values()) if (this.chunkOf(task.index) === chunk) yield task;
  }

  private doneTasksOf(chunk: number): number[] {
    const first = chunk * this.layout.chunkTasks;
    const end = Math.min(first + this.layout.chunkTasks, this.job.spec?.tasks ?? 0);
    const done: number[] = [];
    for (let index = first; index < end; index++) if (this.job.isDone(index)) done.push(index);
    return done;
  }

  private recordInNewChunks(entry: LedgerEntry, retired: RetiredPage, now: number): void {
    const indices = [
      ...entry.active.map(([index]) => index),
      ...entry.waiting.map(([index]) => index),
      ...expandRanges(entry.done),
    ];
    for (const index of indices) retired.unwrittenChunks.add(this.markChunkDirty(index, 'deferred', now));
  }

  private addStoredChunk(entry: LedgerEntry, page: LedgerPage): void {
    const tasks = this.job.spec ? this.maxChunkTasks : entry.active.length + entry.waiting.length;
    const bytes = this.reservedBytesFor(entry.chunk, tasks);
    this.chunks.set(entry.chunk, this.ledger.addChunk(this, entry.chunk, bytes, page));
  }

  private markChunkDirty(index: number, urgency: WriteUrgency, now: number): Chunk {
    const chunkIndex = this.chunkOf(index);
    let chunk = this.chunks.get(chunkIndex);
    if (!chunk) {
      const bytes = this.reservedBytesFor(chunkIndex, this.maxChunkTasks);
      chunk = this.ledger.addChunk(this, chunkIndex, bytes);
      this.chunks.set(chunkIndex, chunk);
    }
    chunk.entry = undefined;
    chunk.page.markDirty(urgency, now);
    return chunk;
  }

  private chunkOf(index: number): number {
    return Math.floor(index / this.layout.chunkTasks);
  }

  private get maxChunkTasks(): number {
    return Math.min(this.layout.chunkTasks, this.job.spec?.tasks ?? this.layout.chunkTasks);
  }

  /** Returns the number of bytes to reserve on a page for the entry of a chunk with this many tasks. */
  private reservedBytesFor(chunk: number, tasks: number): number {
    return this.layout.isLegacy
      ? maxPlainEntryBytes(tasks)
      : maxIdleCompactEntryBytes(this.buildEntry(chunk).entry, tasks);
  }
}
