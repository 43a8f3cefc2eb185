import type { JobSpec, Resources } from '../model/types.js';
import type { End, Part } from '../wire/job-records.js';
import { fromRanges, toRanges } from '../base/ranges.js';
import { type LedgerEntry, compactEntryBytes, entryBytes } from '../wire/ledger-records.js';
import type { Chunk, Dirt, Ledger, LedgerPage } from './ledger.js';

/**
 * `placing`: chosen in memory only, no machine may hear of it. `placed`: the intent is committed, so the machine
 * may have the task. `seen`: the machine has reported it.
 */
export type Phase = 'waiting' | 'placing' | 'placed' | 'seen';

export interface Task {
  readonly job: JobState;
  readonly index: number;
  attempt: number;
  phase: Phase;
  machine: string;
  running: boolean;
  /** When its machine was first told to start it. */
  orderedAt: number | undefined;
  /** When it was first seen running. */
  runningSince: number | undefined;
  /** To be stopped, since it runs far longer than its like: it starts again elsewhere. */
  stopping: boolean;
}

export interface JobFacts {
  id: string;
  spec: JobSpec | undefined;
  team: string;
  need: Resources;
  /** Version of the job's record; it is gone once the job has ended. */
  version: number;
  block: number;
  perChunk: number;
  /** Entries say how many tasks they cover. */
  sizedEntries?: boolean;
  ledger: Ledger;
}

/** Where and how the job is recorded. */
export type JobPlace = Pick<JobFacts, 'block' | 'perChunk' | 'sizedEntries' | 'ledger'>;

/**
 * What one block has of a job: for most jobs all its tasks, else the ranges that the leader has dispatched to it. Tasks
 * that never started exist only as numbers, so 100,000 of them cost little.
 */
export class JobState {
  readonly id: string;
  readonly spec: JobSpec | undefined;
  readonly team: string;
  readonly need: Resources;
  readonly block: number;
  private readonly perChunk: number;
  private readonly sizedEntries: boolean;
  private readonly ledger: Ledger;
  version: number;
  /** The version of its record that the store has turned down: no task is placed until the watch brings a newer one. */
  rejected = -1;
  /** The block of the job's first range is the one that asks for its end. */
  first = false;
  /** All of the job's tasks are this block's. */
  whole = false;
  readonly tasks = new Map<number, Task>();
  readonly chunks = new Map<number, Chunk>();
  private ranges: Part[] = [];
  private size = 0;
  private readonly done = new Set<number>();
  private readonly committed = new Set<number>();
  ended: End | undefined;
  /** The end is being committed. */
  ending = false;
  /** No task of the job is started before then: it has failed lately. */
  retryAt = 0;
  failures = 0;
  /** Completed tasks that were seen running, and the longest that one of them ran. */
  runs = 0;
  longestRunMs = 0;
  private fresh = 0;
  private activeCount = 0;

  constructor(facts: JobFacts) {
    this.id = facts.id;
    this.spec = facts.spec;
    this.team = facts.team;
    this.need = facts.need;
    this.version = facts.version;
    this.block = facts.block;
    this.perChunk = facts.perChunk;
    this.sizedEntries = facts.sizedEntries ?? false;
    this.ledger = facts.ledger;
  }

  static of(spec: JobSpec, version: number, at: JobPlace): JobState {
    const { id, team, cpus, accelerators, memoryGb } = spec;
    return new JobState({ id, spec, team, need: { cpus, accelerators, memoryGb }, version, ...at });
  }

  /** A job whose record has gone: it has ended, yet tasks of it may still be on machines. */
  static leftover(entry: LedgerEntry, at: JobPlace): JobState {
    const { id, team, cpus, accelerators, memoryGb } = entry;
    const need = { cpus, accelerators, memoryGb };
    const job = new JobState({ id, spec: undefined, team, need, version: 0, ...at });
    job.ended = 'cancelled';
    return job;
  }

  /** The leader's word on which tasks are this block's. */
  assignRanges(parts: Part[], version: number): void {
    this.version = version;
    this.ranges = parts.filter((part) => part.block === this.block).sort((a, b) => a.first - b.first);
    this.size = this.ranges.reduce((sum, range) => sum + range.count, 0);
    this.first = parts[0]?.block === this.block;
    this.whole = this.size === this.spec?.tasks;
    this.fresh = this.ranges[0]?.first ?? 0;
    // A task whose intent was never committed is nothing but a number, and may now be another block's: were it kept,
    // two blocks would start it.
    for (const task of this.tasks.values()) {
      if (task.phase === 'waiting' && !this.holds(task.index)) this.tasks.delete(task.index);
    }
  }

  get active(): number {
    return this.activeCount;
  }

  get doneCount(): number {
    return this.done.size;
  }

  /** All tasks that this block has of the job are done. */
  get complete(): boolean {
    return this.spec !== undefined && this.size > 0 && this.done.size === this.size;
  }

  get completeCommitted(): boolean {
    return this.complete && this.committed.size === this.size;
  }

  /** Tasks that neither run nor are done. */
  get waiting(): number {
    if (this.ended || !this.spec) return 0;
    return this.size - this.done.size - this.activeCount;
  }

  isDone(index: number): boolean {
    return this.done.has(index);
  }

  /** Only what is committed as done may be forgotten by its machine. */
  isDoneCommitted(index: number): boolean {
    return this.committed.has(index);
  }

  commitDone(indices: number[]): void {
    for (const index of indices) this.committed.add(index);
  }

  /** Takes over what the store has, and returns the tasks that are on machines. */
  load(entry: LedgerEntry, page: LedgerPage): Task[] {
    const tasks = this.spec ? this.chunkSize : entry.active.length + entry.waiting.length;
    this.chunks.set(entry.chunk, this.ledger.add(this, entry.chunk, this.bytesFor(entry.chunk, tasks), page));
    return this.take(entry);
  }

  /**
   * Takes over what an entry of another size says, and returns the tasks that are on machines with the chunks that have to
   * record it from now on.
   */
  adopt(entry: LedgerEntry, now: number): { active: Task[]; chunks: Set<Chunk> } {
    const active = this.take(entry);
    const indices = [
      ...entry.active.map(([index]) => index),
      ...entry.waiting.map(([index]) => index),
      ...fromRanges(entry.done),
    ];
    const chunks = new Set(indices.map((index) => this.soil(index, 'soon', now)));
    return { active, chunks };
  }

  private take(entry: LedgerEntry): Task[] {
    for (const index of fromRanges(entry.done)) {
      this.done.add(index);
      this.committed.add(index);
    }
    for (const [index, attempt] of entry.waiting) this.touch(index, attempt);
    const active: Task[] = [];
    for (const [index, attempt, machine] of entry.active) {
      const task = this.touch(index, attempt);
      this.assign(task, machine, 'placed');
      active.push(task);
    }
    return active;
  }

  /** The next task to start, without taking it: a returned one first, else one that never started. */
  next(): Task | undefined {
    for (const task of this.tasks.values())
      if (task.phase === 'waiting' && this.holds(task.index)) return task;
    for (const { first, count } of this.ranges) {
      if (this.fresh >= first + count) continue;
      if (this.fresh < first) this.fresh = first;
      while (this.fresh < first + count && (this.done.has(this.fresh) || this.tasks.has(this.fresh)))
        this.fresh++;
      if (this.fresh < first + count) return this.touch(this.fresh, 0);
    }
    return undefined;
  }

  place(task: Task, machine: string, now: number): void {
    task.attempt++;
    this.assign(task, machine, 'placing');
    this.soil(task.index, 'now', now);
  }

  /** The task has left its machine, by evidence. */
  giveBack(task: Task, now: number): void {
    if (task.phase === 'waiting') return;
    task.phase = 'waiting';
    task.machine = '';
    task.running = false;
    this.activeCount--;
    if (!this.holds(task.index)) this.tasks.delete(task.index);
    this.soil(task.index, 'soon', now);
  }

  finish(index: number, now: number): boolean {
    if (!this.holds(index) || this.isDone(index)) return false;
    const task = this.tasks.get(index);
    if (task && task.phase !== 'waiting') this.activeCount--;
    if (task?.runningSince !== undefined) {
      this.runs++;
      this.longestRunMs = Math.max(this.longestRunMs, now - task.runningSince);
    }
    this.tasks.delete(index);
    this.done.add(index);
    this.failures = 0;
    // Other blocks' owners wait for the last task of this block's part.
    this.soil(index, this.complete && !this.whole ? 'now' : 'soon', now);
    return true;
  }

  /** The page that records the task, once there is anything to record of its chunk. */
  pageOf(index: number): LedgerPage | undefined {
    return this.chunks.get(this.chunkOf(index))?.page;
  }

  /** The entry as it should stand in the store, and the completed tasks that it names. */
  entryOf(chunk: number): { entry: LedgerEntry; done: number[] } {
    const first = chunk * this.perChunk;
    const last = Math.min(first + this.perChunk, this.spec?.tasks ?? 0);
    const active: LedgerEntry['active'] = [];
    const waiting: LedgerEntry['waiting'] = [];
    const done: number[] = [];
    for (let index = first; index < last; index++) if (this.done.has(index)) done.push(index);
    for (const task of this.tasksOf(chunk)) {
      if (task.phase !== 'waiting') active.push([task.index, task.attempt, task.machine]);
      else if (task.attempt > 0) waiting.push([task.index, task.attempt]);
    }
    const { id, team, need, sizedEntries } = this;
    const size = sizedEntries ? { chunkTasks: this.perChunk } : {};
    return { entry: { id, chunk, team, ...need, active, waiting, done: toRanges(done), ...size }, done };
  }

  /** Tasks of the chunk that are, were or are about to be on a machine, and are not done. */
  *tasksOf(chunk: number): Iterable<Task> {
    for (const task of this.tasks.values()) if (this.chunkOf(task.index) === chunk) yield task;
  }

  /** Tasks whose intent is not committed yet. */
  placingTasks(): Task[] {
    return [...this.tasks.values()].filter((task) => task.phase === 'placing');
  }

  /** An ended job without tasks on machines needs no record of its run. */
  leaveLedger(now: number): void {
    for (const chunk of this.chunks.values()) {
      chunk.page.drop(chunk);
      chunk.page.soil('soon', now);
    }
    this.ledger.noteWritten(this.chunks.values());
    this.chunks.clear();
  }

  holds(index: number): boolean {
    return this.ranges.some((range) => index >= range.first && index < range.first + range.count);
  }

  private chunkOf(index: number): number {
    return Math.floor(index / this.perChunk);
  }

  /** What the entry of a chunk needs room for. */
  private bytesFor(chunk: number, tasks: number): number {
    return this.sizedEntries ? compactEntryBytes(this.entryOf(chunk).entry, tasks) : entryBytes(tasks);
  }

  private get chunkSize(): number {
    return Math.min(this.perChunk, this.spec?.tasks ?? this.perChunk);
  }

  private soil(index: number, dirt: Exclude<Dirt, 'clean'>, now: number): Chunk {
    const at = this.chunkOf(index);
    let chunk = this.chunks.get(at);
    if (!chunk) {
      chunk = this.ledger.add(this, at, this.bytesFor(at, this.chunkSize));
      this.chunks.set(at, chunk);
    }
    chunk.entry = undefined;
    chunk.page.soil(dirt, now);
    return chunk;
  }

  private touch(index: number, attempt: number): Task {
    let task = this.tasks.get(index);
    if (!task) {
      task = {
        job: this,
        index,
        attempt,
        phase: 'waiting',
        machine: '',
        running: false,
        orderedAt: undefined,
        runningSince: undefined,
        stopping: false,
      };
      this.tasks.set(index, task);
    }
    return task;
  }

  private assign(task: Task, machine: string, phase: 'placing' | 'placed'): void {
    if (task.phase === 'waiting') this.activeCount++;
    task.phase = phase;
    task.machine = machine;
    task.orderedAt = undefined;
    task.runningSince = undefined;
    task.stopping = false;
  }
}
