import type { JobSpec, Resources } from '../model/types.js';
import type { End, Part, RunPage } from '../wire/records.js';
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

export interface JobFacts {
  id: string;
  spec: JobSpec | undefined;
  team: string;
  need: Resources;
  /** Version of the job's record; it is gone once the job has ended. */
  version: number;
  /** Which of the job's parts this is, and how many there are. */
  part: number;
  parts: number;
  range: Part;
  perPage: number;
}

/**
 * The part of a job that one block places: for most jobs all of it. Tasks that never started exist only as numbers,
 * so 100,000 of them cost little.
 */
export class JobState {
  readonly id: string;
  readonly spec: JobSpec | undefined;
  readonly team: string;
  readonly need: Resources;
  readonly part: number;
  readonly parts: number;
  readonly range: Part;
  readonly perPage: number;
  version: number;
  readonly tasks = new Map<number, Task>();
  readonly pages = new Map<number, PageState>();
  private readonly doneFlags: Uint8Array;
  private readonly committedFlags: Uint8Array;
  private doneTotal = 0;
  private committedTotal = 0;
  ended: End | undefined;
  /** The end is being committed. */
  ending = false;
  /** No task of the job is started before then: it has failed lately. */
  retryAt = 0;
  failures = 0;
  private fresh: number;
  private activeCount = 0;

  constructor(facts: JobFacts) {
    this.id = facts.id;
    this.spec = facts.spec;
    this.team = facts.team;
    this.need = facts.need;
    this.part = facts.part;
    this.parts = facts.parts;
    this.range = facts.range;
    this.perPage = facts.perPage;
    this.version = facts.version;
    this.fresh = facts.range.first;
    this.doneFlags = new Uint8Array(facts.range.count);
    this.committedFlags = new Uint8Array(facts.range.count);
  }

  static of(spec: JobSpec, version: number, parts: Part[], part: number, perPage: number): JobState {
    const { id, team, cpus, accelerators, memoryGb } = spec;
    const range = parts[part] ?? { block: -1, first: 0, count: 0 };
    const need = { cpus, accelerators, memoryGb };
    return new JobState({ id, spec, team, need, version, part, parts: parts.length, range, perPage });
  }

  /** A job whose record has gone: it has ended, yet tasks of it may still be on machines. */
  static leftover(id: string, part: number, page: RunPage, perPage: number): JobState {
    const { team, cpus, accelerators, memoryGb, block } = page;
    const range = { block, first: 0, count: 0 };
    const need = { cpus, accelerators, memoryGb };
    const job = new JobState({ id, spec: undefined, team, need, version: 0, part, parts: 1, range, perPage });
    job.ended = 'cancelled';
    return job;
  }

  get active(): number {
    return this.activeCount;
  }

  get doneCount(): number {
    return this.doneTotal;
  }

  /** All tasks of this part are done. */
  get complete(): boolean {
    return this.spec !== undefined && this.doneTotal === this.range.count;
  }

  get completeCommitted(): boolean {
    return this.spec !== undefined && this.committedTotal === this.range.count;
  }

  /** Tasks that neither run nor are done. */
  get waiting(): number {
    if (this.ended || !this.spec) return 0;
    return this.range.count - this.doneTotal - this.activeCount;
  }

  isDone(index: number): boolean {
    return this.doneFlags[index - this.range.first] === 1;
  }

  /** Only what is committed as done may be forgotten by its machine. */
  isDoneCommitted(index: number): boolean {
    return this.committedFlags[index - this.range.first] === 1;
  }

  commitDone(indices: number[]): void {
    for (const index of indices) {
      const at = index - this.range.first;
      if (this.committedFlags[at] === 0) {
        this.committedFlags[at] = 1;
        this.committedTotal++;
      }
    }
  }

  loadPage(pageIndex: number, page: RunPage, version: number): Task[] {
    this.pages.set(pageIndex, { version, dirt: 'clean', dirtySince: 0, busy: false });
    const done = [...fromRanges(page.done)].filter((index) => this.holds(index) && !this.isDone(index));
    for (const index of done) this.doneFlags[index - this.range.first] = 1;
    this.doneTotal += done.length;
    this.commitDone(done);
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
    const end = this.range.first + this.range.count;
    while (this.fresh < end && (this.isDone(this.fresh) || this.tasks.has(this.fresh))) this.fresh++;
    return this.fresh < end ? this.touch(this.fresh, 0) : undefined;
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
    this.soil(task.index, 'now', now);
  }

  finish(index: number, now: number): boolean {
    if (!this.holds(index) || this.isDone(index)) return false;
    const task = this.tasks.get(index);
    if (task && task.phase !== 'waiting') this.activeCount--;
    this.tasks.delete(index);
    this.doneFlags[index - this.range.first] = 1;
    this.doneTotal++;
    this.failures = 0;
    this.soil(index, this.complete ? 'now' : 'soon', now);
    return true;
  }

  pageOf(index: number): number {
    return Math.floor((index - this.range.first) / this.perPage);
  }

  soil(index: number, dirt: Exclude<Dirt, 'clean'>, now: number): void {
    this.soilPage(this.pageOf(index), dirt, now);
  }

  soilPage(pageIndex: number, dirt: Exclude<Dirt, 'clean'>, now: number): void {
    let page = this.pages.get(pageIndex);
    if (!page) {
      page = { version: 0, dirt: 'clean', dirtySince: now, busy: false };
      this.pages.set(pageIndex, page);
    }
    if (page.dirt === 'clean') page.dirtySince = now;
    if (page.dirt !== 'now') page.dirt = dirt;
  }

  /** The page as it should stand in the store, with the tasks that its commit would turn from placing to placed. */
  snapshot(pageIndex: number): { page: RunPage; placing: Task[]; done: number[] } {
    const first = this.range.first + pageIndex * this.perPage;
    const last = Math.min(first + this.perPage, this.range.first + this.range.count);
    const placing: Task[] = [];
    const active: RunPage['active'] = [];
    const waiting: RunPage['waiting'] = [];
    const done: number[] = [];
    for (let index = first; index < last; index++) if (this.isDone(index)) done.push(index);
    for (const task of this.tasks.values()) {
      if (task.index < first || task.index >= last) continue;
      if (task.phase === 'waiting') {
        if (task.attempt > 0) waiting.push([task.index, task.attempt]);
        continue;
      }
      active.push([task.index, task.attempt, task.machine]);
      if (task.phase === 'placing') placing.push(task);
    }
    const { team, need, range } = this;
    return {
      page: { block: range.block, team, ...need, active, waiting, done: toRanges(done) },
      placing,
      done,
    };
  }

  private holds(index: number): boolean {
    return index >= this.range.first && index < this.range.first + this.range.count;
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
