import type { JobSpec, Resources } from '../model/types.js';
import type { End, RunPage } from '../wire/records.js';
import { fromRanges, toRanges } from '../wire/records.js';

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
}

/** `soon`: what changed can also be learned from the workers again. `now`: something waits for the commit. */
export type Dirt = 'clean' | 'soon' | 'now';

export interface PageState {
  version: number;
  dirt: Dirt;
  dirtySince: number;
  busy: boolean;
}

/** The tasks of one job. Tasks that never started exist only as numbers, so 100,000 of them cost little. */
export class JobState {
  readonly tasks = new Map<number, Task>();
  readonly pages = new Map<number, PageState>();
  readonly done: Uint8Array;
  /** Completed and committed: only these may be forgotten by their machine. */
  readonly doneCommitted: Uint8Array;
  doneCount = 0;
  ended: End | undefined;
  /** The end is being committed. */
  ending = false;
  jobVersion: number;
  /** No task of the job is started before then: it has failed lately. */
  retryAt = 0;
  failures = 0;
  startedAny = false;
  private fresh = 0;
  private activeCount = 0;

  constructor(
    readonly id: string,
    readonly spec: JobSpec | undefined,
    readonly team: string,
    readonly need: Resources,
    jobVersion: number,
    readonly perPage: number,
  ) {
    this.jobVersion = jobVersion;
    const size = spec?.tasks ?? 0;
    this.done = new Uint8Array(size);
    this.doneCommitted = new Uint8Array(size);
  }

  static fromSpec(spec: JobSpec, version: number, perPage: number): JobState {
    const { cpus, accelerators, memoryGb } = spec;
    return new JobState(spec.id, spec, spec.team, { cpus, accelerators, memoryGb }, version, perPage);
  }

  /** A job whose record has gone: it has ended, yet tasks of it may still be on machines. */
  static leftover(id: string, page: RunPage, perPage: number): JobState {
    const { cpus, accelerators, memoryGb } = page;
    const job = new JobState(id, undefined, page.team, { cpus, accelerators, memoryGb }, 0, perPage);
    job.ended = 'cancelled';
    return job;
  }

  get active(): number {
    return this.activeCount;
  }

  get running(): number {
    let count = 0;
    for (const task of this.tasks.values()) if (task.running) count++;
    return count;
  }

  get complete(): boolean {
    return this.spec !== undefined && this.doneCount === this.spec.tasks;
  }

  /** Tasks that neither run nor are done. */
  get waiting(): number {
    if (this.ended || !this.spec) return 0;
    return this.spec.tasks - this.doneCount - this.activeCount;
  }

  loadPage(pageIndex: number, page: RunPage, version: number): Task[] {
    this.pages.set(pageIndex, { version, dirt: 'clean', dirtySince: 0, busy: false });
    for (const index of fromRanges(page.done)) {
      if (index < this.done.length && !this.done[index]) {
        this.done[index] = 1;
        this.doneCommitted[index] = 1;
        this.doneCount++;
      }
    }
    for (const [index, attempt] of page.waiting) this.touch(index, attempt);
    const active: Task[] = [];
    for (const [index, attempt, machine] of page.active) {
      const task = this.touch(index, attempt);
      this.assign(task, machine, 'placed');
      active.push(task);
    }
    return active;
  }

  /** The next task to start, without taking it: a returned one first, else one that never started. */
  next(): Task | undefined {
    for (const task of this.tasks.values()) if (task.phase === 'waiting') return task;
    const size = this.spec?.tasks ?? 0;
    while (this.fresh < size && (this.done[this.fresh] || this.tasks.has(this.fresh))) this.fresh++;
    return this.fresh < size ? this.touch(this.fresh, 0) : undefined;
  }

  place(task: Task, machine: string, now: number): void {
    task.attempt++;
    this.assign(task, machine, 'placing');
    this.startedAny = true;
    this.soil(task.index, 'now', now);
  }

  /** The task has left its machine, by evidence. */
  giveBack(task: Task, now: number): void {
    if (task.phase === 'waiting') return;
    task.phase = 'waiting';
    task.machine = '';
    task.running = false;
    this.activeCount--;
    this.soil(task.index, 'now', now);
  }

  finish(index: number, now: number): boolean {
    if (index >= this.done.length || this.done[index]) return false;
    const task = this.tasks.get(index);
    if (task && task.phase !== 'waiting') this.activeCount--;
    this.tasks.delete(index);
    this.done[index] = 1;
    this.doneCount++;
    this.failures = 0;
    this.soil(index, this.complete ? 'now' : 'soon', now);
    return true;
  }

  pageOf(index: number): number {
    return Math.floor(index / this.perPage);
  }

  soil(index: number, dirt: Exclude<Dirt, 'clean'>, now: number): void {
    const number = this.pageOf(index);
    let page = this.pages.get(number);
    if (!page) {
      page = { version: 0, dirt: 'clean', dirtySince: now, busy: false };
      this.pages.set(number, page);
    }
    if (page.dirt === 'clean') page.dirtySince = now;
    if (page.dirt !== 'now') page.dirt = dirt;
  }

  /** The page as it should stand in the store, with the tasks that its commit would turn from placing to placed. */
  snapshot(pageIndex: number): { page: RunPage; placing: Task[]; done: number[] } {
    const first = pageIndex * this.perPage;
    const last = first + this.perPage;
    const placing: Task[] = [];
    const active: RunPage['active'] = [];
    const waiting: RunPage['waiting'] = [];
    const done: number[] = [];
    for (let index = first; index < last && index < this.done.length; index++)
      if (this.done[index]) done.push(index);
    for (const task of this.tasks.values()) {
      if (task.index < first || task.index >= last) continue;
      if (task.phase === 'waiting') {
        if (task.attempt > 0) waiting.push([task.index, task.attempt]);
        continue;
      }
      active.push([task.index, task.attempt, task.machine]);
      if (task.phase === 'placing') placing.push(task);
    }
    const page: RunPage = { team: this.team, ...this.need, active, waiting, done: toRanges(done) };
    return { page, placing, done };
  }

  private touch(index: number, attempt: number): Task {
    let task = this.tasks.get(index);
    if (!task) {
      task = { job: this, index, attempt, phase: 'waiting', machine: '', running: false };
      this.tasks.set(index, task);
    }
    return task;
  }

  private assign(task: Task, machine: string, phase: 'placing' | 'placed'): void {
    if (task.phase === 'waiting') this.activeCount++;
    task.phase = phase;
    task.machine = machine;
  }
}
