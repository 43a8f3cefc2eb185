import type { JobSpec, Resources } from '../model/types.js';
import type { Outcome, TaskRange } from '../wire/job-records.js';
import { fromRanges, toRanges } from '../base/ranges.js';
import { type LedgerEntry, compactEntryBytes, entryBytes } from '../wire/ledger-records.js';
import type { Chunk, WriteUrgency, Ledger, LedgerPage } from './ledger.js';

/**
 * `placing`: chosen in memory only, no machine may hear of it. `placed`: the intent is committed, so the machine
 * may have the task. `seen`: the machine has reported it.
 */
export type TaskPhase = 'waiting' | 'placing' | 'placed' | 'seen';

export interface Task {
  readonly job: JobState;
  readonly index: number;
  attempt: number;
  phase: TaskPhase;
  machine: string;
  running: boolean;
  /** When its machine was first told to start it. */
  startSentAt: number | undefined;
  /** When it was first seen running. */
  runningSince: number | undefined;
  /** To be stopped, since it runs far longer than its like: it starts again elsewhere. */
  stopping: boolean;
}

export interface JobStateOptions {
  id: string;
  spec: JobSpec | undefined;
  team: string;
  need: Resources;
  /** Version of the job's record; it is gone once the job has ended. */
  version: number;
  block: number;
  chunkTasks: number;
  /** Entries say how many tasks they cover. */
  sizedEntries?: boolean;
  ledger: Ledger;
}

/** Where and how the job is recorded. */
export type JobLedgerOptions = Pick<JobStateOptions, 'block' | 'chunkTasks' | 'sizedEntries' | 'ledger'>;

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
  private readonly chunkTasks: number;
  private readonly sizedEntries: boolean;
  private readonly ledger: Ledger;
  version: number;
  /** The version of its record that the store has turned down: no task is placed until the watch brings a newer one. */
  rejectedVersion = -1;
  /** The block of the job's first range is the one that asks for its end. */
  holdsFirstRange = false;
  /** All of the job's tasks are this block's. */
  holdsAllTasks = false;
  readonly tasks = new Map<number, Task>();
  readonly chunks = new Map<number, Chunk>();
  private ranges: TaskRange[] = [];
  private taskCount = 0;
  private readonly doneTasks = new Set<number>();
  private readonly committedDoneTasks = new Set<number>();
  outcome: Outcome | undefined;
  /** The end is being committed. */
  isCommittingOutcome = false;
  /** No task of the job is started before then: it has failed lately. */
  retryAt = 0;
  failureCount = 0;
  /** Completed tasks that were seen running, and the longest that one of them ran. */
  completedRuns = 0;
  maxRunMs = 0;
  private nextUnstarted = 0;
  private tasksOnMachines = 0;

  constructor(facts: JobStateOptions) {
    this.id = facts.id;
    this.spec = facts.spec;
    this.team = facts.team;
    this.need = facts.need;
    this.version = facts.version;
    this.block = facts.block;
    this.chunkTasks = facts.chunkTasks;
    this.sizedEntries = facts.sizedEntries ?? false;
    this.ledger = facts.ledger;
  }

  static fromSpec(spec: JobSpec, version: number, ledgerOptions: JobLedgerOptions): JobState {
    const { id, team, cpus, accelerators, memoryGb } = spec;
    return new JobState({
      id,
      spec,
      team,
      need: { cpus, accelerators, memoryGb },
      version,
      ...ledgerOptions,
    });
  }

  /** A job whose record has gone: it has ended, yet tasks of it may still be on machines. */
  static fromLedgerEntry(entry: LedgerEntry, ledgerOptions: JobLedgerOptions): JobState {
    const { id, team, cpus, accelerators, memoryGb } = entry;
    const need = { cpus, accelerators, memoryGb };
    const job = new JobState({ id, spec: undefined, team, need, version: 0, ...ledgerOptions });
    job.outcome = 'cancelled';
    return job;
  }

  /** The leader's word on which tasks are this block's. */
  assignRanges(parts: TaskRange[], version: number): void {
    this.version = version;
    this.ranges = parts.filter((part) => part.block === this.block).sort((a, b) => a.first - b.first);
    this.taskCount = this.ranges.reduce((sum, range) => sum + range.count, 0);
    this.holdsFirstRange = parts[0]?.block === this.block;
    this.holdsAllTasks = this.taskCount === this.spec?.tasks;
    this.nextUnstarted = this.ranges[0]?.first ?? 0;
    // A task whose intent was never committed is nothing but a number, and may now be another block's: were it kept,
    // two blocks would start it.
    for (const task of this.tasks.values()) {
      if (task.phase === 'waiting' && !this.holdsTask(task.index)) this.tasks.delete(task.index);
    }
  }

  get activeCount(): number {
    return this.tasksOnMachines;
  }

  get doneCount(): number {
    return this.doneTasks.size;
  }

  /** All tasks that this block has of the job are done. */
  get isComplete(): boolean {
    return this.spec !== undefined && this.taskCount > 0 && this.doneTasks.size === this.taskCount;
  }

  get isCompleteCommitted(): boolean {
    return this.isComplete && this.committedDoneTasks.size === this.taskCount;
  }

  /** Tasks that neither run nor are done. */
  get waitingCount(): number {
    if (this.outcome || !this.spec) return 0;
    return this.taskCount - this.doneTasks.size - this.tasksOnMachines;
  }

  isDone(index: number): boolean {
    return this.doneTasks.has(index);
  }

  /** Only what is committed as done may be forgotten by its machine. */
  isDoneCommitted(index: number): boolean {
    return this.committedDoneTasks.has(index);
  }

  markDoneCommitted(indices: number[]): void {
    for (const index of indices) this.committedDoneTasks.add(index);
  }

  /** Takes over what the store has, and returns the tasks that are on machines. */
  loadEntry(entry: LedgerEntry, page: LedgerPage): Task[] {
    const tasks = this.spec ? this.chunkSize : entry.active.length + entry.waiting.length;
    this.chunks.set(
      entry.chunk,
      this.ledger.addChunk(this, entry.chunk, this.reservedBytesFor(entry.chunk, tasks), page),
    );
    return this.applyEntry(entry);
  }

  /**
   * Takes over what an entry of another size says, and returns the tasks that are on machines with the chunks that have to
   * record it from now on.
   */
  adoptEntry(entry: LedgerEntry, now: number): { active: Task[]; chunks: Set<Chunk> } {
    const active = this.applyEntry(entry);
    const indices = [
      ...entry.active.map(([index]) => index),
      ...entry.waiting.map(([index]) => index),
      ...fromRanges(entry.done),
    ];
    const chunks = new Set(indices.map((index) => this.markChunkDirty(index, 'soon', now)));
    return { active, chunks };
  }

  private applyEntry(entry: LedgerEntry): Task[] {
    for (const index of fromRanges(entry.done)) {
      this.doneTasks.add(index);
      this.committedDoneTasks.add(index);
    }
    for (const [index, attempt] of entry.waiting) this.ensureTask(index, attempt);
    const active: Task[] = [];
    for (const [index, attempt, machine] of entry.active) {
      const task = this.ensureTask(index, attempt);
      this.assign(task, machine, 'placed');
      active.push(task);
    }
    return active;
  }

  /** The next task to start, without taking it: a returned one first, else one that never started. */
  nextWaitingTask(): Task | undefined {
    for (const task of this.tasks.values())
      if (task.phase === 'waiting' && this.holdsTask(task.index)) return task;
    for (const { first, count } of this.ranges) {
      if (this.nextUnstarted >= first + count) continue;
      if (this.nextUnstarted < first) this.nextUnstarted = first;
      while (
        this.nextUnstarted < first + count &&
        (this.doneTasks.has(this.nextUnstarted) || this.tasks.has(this.nextUnstarted))
      )
        this.nextUnstarted++;
      if (this.nextUnstarted < first + count) return this.ensureTask(this.nextUnstarted, 0);
    }
    return undefined;
  }

  placeTask(task: Task, machine: string, now: number): void {
    task.attempt++;
    this.assign(task, machine, 'placing');
    this.markChunkDirty(task.index, 'now', now);
  }

  /** The task has left its machine, by evidence. */
  unassignTask(task: Task, now: number): void {
    if (task.phase === 'waiting') return;
    task.phase = 'waiting';
    task.machine = '';
    task.running = false;
    this.tasksOnMachines--;
    if (!this.holdsTask(task.index)) this.tasks.delete(task.index);
    this.markChunkDirty(task.index, 'soon', now);
  }

  finishTask(index: number, now: number): boolean {
    if (!this.holdsTask(index) || this.isDone(index)) return false;
    const task = this.tasks.get(index);
    if (task && task.phase !== 'waiting') this.tasksOnMachines--;
    if (task?.runningSince !== undefined) {
      this.completedRuns++;
      this.maxRunMs = Math.max(this.maxRunMs, now - task.runningSince);
    }
    this.tasks.delete(index);
    this.doneTasks.add(index);
    this.failureCount = 0;
    // Other blocks' owners wait for the last task of this block's part.
    this.markChunkDirty(index, this.isComplete && !this.holdsAllTasks ? 'now' : 'soon', now);
    return true;
  }

  /** The page that records the task, once there is anything to record of its chunk. */
  pageOf(index: number): LedgerPage | undefined {
    return this.chunks.get(this.chunkOf(index))?.page;
  }

  /** The entry as it should stand in the store, and the completed tasks that it names. */
  buildEntry(chunk: number): { entry: LedgerEntry; done: number[] } {
    const first = chunk * this.chunkTasks;
    const last = Math.min(first + this.chunkTasks, this.spec?.tasks ?? 0);
    const active: LedgerEntry['active'] = [];
    const waiting: LedgerEntry['waiting'] = [];
    const done: number[] = [];
    for (let index = first; index < last; index++) if (this.doneTasks.has(index)) done.push(index);
    for (const task of this.tasksOf(chunk)) {
      if (task.phase !== 'waiting') active.push([task.index, task.attempt, task.machine]);
      else if (task.attempt > 0) waiting.push([task.index, task.attempt]);
    }
    const { id, team, need, sizedEntries } = this;
    const size = sizedEntries ? { chunkTasks: this.chunkTasks } : {};
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
  removeFromLedger(now: number): void {
    for (const chunk of this.chunks.values()) {
      chunk.page.removeChunk(chunk);
      chunk.page.markDirty('soon', now);
    }
    this.ledger.markWritten(this.chunks.values());
    this.chunks.clear();
  }

  holdsTask(index: number): boolean {
    return this.ranges.some((range) => index >= range.first && index < range.first + range.count);
  }

  private chunkOf(index: number): number {
    return Math.floor(index / this.chunkTasks);
  }

  /** What the entry of a chunk needs room for. */
  private reservedBytesFor(chunk: number, tasks: number): number {
    return this.sizedEntries ? compactEntryBytes(this.buildEntry(chunk).entry, tasks) : entryBytes(tasks);
  }

  private get chunkSize(): number {
    return Math.min(this.chunkTasks, this.spec?.tasks ?? this.chunkTasks);
  }

  private markChunkDirty(index: number, urgency: Exclude<WriteUrgency, 'clean'>, now: number): Chunk {
    const at = this.chunkOf(index);
    let chunk = this.chunks.get(at);
    if (!chunk) {
      chunk = this.ledger.addChunk(this, at, this.reservedBytesFor(at, this.chunkSize));
      this.chunks.set(at, chunk);
    }
    chunk.entry = undefined;
    chunk.page.markDirty(urgency, now);
    return chunk;
  }

  private ensureTask(index: number, attempt: number): Task {
    let task = this.tasks.get(index);
    if (!task) {
      task = {
        job: this,
        index,
        attempt,
        phase: 'waiting',
        machine: '',
        running: false,
        startSentAt: undefined,
        runningSince: undefined,
        stopping: false,
      };
      this.tasks.set(index, task);
    }
    return task;
  }

  private assign(task: Task, machine: string, phase: 'placing' | 'placed'): void {
    if (task.phase === 'waiting') this.tasksOnMachines++;
    task.phase = phase;
    task.machine = machine;
    task.startSentAt = undefined;
    task.runningSince = undefined;
    task.stopping = false;
  }
}
