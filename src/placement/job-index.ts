import type { JobSpec, Resources } from '../model/types.js';
import type { Mirror } from '../store/mirror.js';
import {
  type JobRecord,
  type LedgerEntry,
  parseJobRecord,
  parseLedgerKey,
  parseLedgerPage,
  rangesSize,
} from '../wire/records.js';
import type { Change } from '../wire/state.js';
import type { OrderOfWork, Queued } from './order.js';

/** What a block has on record of a job. */
export interface IndexedEntry extends LedgerEntry {
  block: number;
  doneCount: number;
}

export interface IndexedJob extends JobRecord {
  id: string;
  version: number;
  /** When this controller first saw it, by its own clock. */
  seenAt: number;
}

/** All open jobs and all tasks on machines, as the store has them: the same on every controller, a moment late. */
export class JobIndex {
  readonly jobs = new Map<string, IndexedJob>();
  private readonly pages = new Map<string, IndexedEntry[]>();
  /** Entries by job; those of an ended job stay until its tasks have left their machines. */
  private readonly byJob = new Map<string, Set<IndexedEntry>>();
  private loadsNow: Map<string, Resources> | undefined;
  /** Pages that have changed since anybody asked: of several versions only the last has to be read. */
  private readonly unread = new Map<string, unknown>();

  constructor(private readonly clock: () => number) {}

  load(mirror: Mirror): void {
    this.jobs.clear();
    this.pages.clear();
    this.byJob.clear();
    this.unread.clear();
    this.loadsNow = undefined;
    for (const [key, entry] of mirror.below('job/')) this.set(key, entry.value, entry.version);
    for (const [key, entry] of mirror.below('run/')) this.set(key, entry.value, entry.version);
  }

  apply(changes: Change[]): void {
    for (const change of changes) {
      if (!change.deleted) this.set(change.key, change.value, change.version);
      else if (change.key.startsWith('job/')) this.jobs.delete(change.key.slice('job/'.length));
      else if (change.key.startsWith('run/')) this.unread.set(change.key, undefined);
    }
  }

  entries(id: string): Iterable<IndexedEntry> {
    this.read();
    return this.byJob.get(id) ?? [];
  }

  *activeTasks(): Iterable<{ id: string; page: IndexedEntry; machine: string }> {
    this.read();
    for (const entries of this.pages.values()) {
      for (const page of entries)
        for (const [, , machine] of page.active) yield { id: page.id, page, machine };
    }
  }

  /** What the tasks on each machine take of it; machines without any are not in it. */
  loads(): ReadonlyMap<string, Resources> {
    this.read();
    if (this.loadsNow) return this.loadsNow;
    const loads = new Map<string, Resources>();
    for (const { page, machine } of this.activeTasks()) {
      const load = loads.get(machine);
      if (!load) loads.set(machine, needOf(page));
      else {
        load.cpus += page.cpus;
        load.accelerators += page.accelerators;
        load.memoryGb += page.memoryGb;
      }
    }
    this.loadsNow = loads;
    return loads;
  }

  /** Done, and on machines, of what one block has of a job or of all of it. */
  progress(id: string, block?: number): { done: number; active: number } {
    let done = 0;
    let active = 0;
    for (const entry of this.entries(id)) {
      if (block !== undefined && entry.block !== block) continue;
      done += entry.doneCount;
      active += entry.active.length;
    }
    return { done, active };
  }

  /** Open jobs in the order of work, or those of them that are given. */
  inOrder(order: OrderOfWork, now: number, jobs: Iterable<IndexedJob> = this.jobs.values()): IndexedJob[] {
    return order.sorted(jobs, (job) => this.queued(job), now);
  }

  queued({ id, spec }: IndexedJob): Queued {
    const { done, active } = this.progress(id);
    return { spec, waiting: spec.tasks - done - active, started: done + active > 0 };
  }

  /** Waiting tasks of the job by block; those that are not dispatched yet belong to none. */
  waiting(job: IndexedJob): { block: number | undefined; count: number }[] {
    const dispatched = new Map<number, number>();
    let undispatched = job.spec.tasks;
    for (const { block, count } of job.parts) {
      dispatched.set(block, (dispatched.get(block) ?? 0) + count);
      undispatched -= count;
    }
    const waiting: { block: number | undefined; count: number }[] = [];
    if (undispatched > 0) waiting.push({ block: undefined, count: undispatched });
    for (const [block, count] of dispatched) {
      const { done, active } = this.progress(job.id, block);
      if (count > done + active) waiting.push({ block, count: count - done - active });
    }
    return waiting;
  }

  private set(key: string, value: unknown, version: number): void {
    if (key.startsWith('job/')) {
      const record = parseJobRecord(value);
      if (!record) return;
      const { id } = record.spec;
      this.jobs.set(id, { ...record, id, version, seenAt: this.jobs.get(id)?.seenAt ?? this.clock() });
      return;
    }
    if (key.startsWith('run/')) this.unread.set(key, value);
  }

  private read(): void {
    for (const [key, value] of this.unread) {
      const block = parseLedgerKey(key)?.block ?? -1;
      this.setPage(
        key,
        parseLedgerPage(value).map((e) => ({ ...e, block, doneCount: rangesSize(e.done) })),
      );
    }
    this.unread.clear();
  }

  private setPage(key: string, entries: IndexedEntry[]): void {
    this.loadsNow = undefined;
    for (const old of this.pages.get(key) ?? []) {
      const ofJob = this.byJob.get(old.id);
      ofJob?.delete(old);
      if (ofJob?.size === 0) this.byJob.delete(old.id);
    }
    if (entries.length > 0) this.pages.set(key, entries);
    else this.pages.delete(key);
    for (const entry of entries) {
      const ofJob = this.byJob.get(entry.id);
      if (ofJob) ofJob.add(entry);
      else this.byJob.set(entry.id, new Set([entry]));
    }
  }
}

export function needOf(from: Pick<JobSpec, 'cpus' | 'accelerators' | 'memoryGb'>): Resources {
  const { cpus, accelerators, memoryGb } = from;
  return { cpus, accelerators, memoryGb };
}
