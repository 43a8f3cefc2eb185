import { type DependencyState, DependencyGraph } from '../dependencies/dependency-graph.js';
import type { JobSpec, Resources } from '../model/types.js';
import type { Mirror } from '../store/mirror.js';
import { groupBy } from '../base/group-by.js';
import { rangesSize } from '../base/ranges.js';
import { type EndRecord, type JobRecord, parseEnd, parseJobRecord } from '../wire/job-records.js';
import { endedJob, parseLedgerKey } from '../wire/keys.js';
import { type LedgerEntry, parseLedgerPage } from '../wire/ledger-records.js';
import type { Change } from '../wire/state.js';
import { withoutCovered } from './ledger-entries.js';
import type { ChainFacts, OrderOfWork, Queued } from './order.js';

/** What a block has on record of a job. */
export interface IndexedEntry extends LedgerEntry {
  block: number;
  doneCount: number;
}

export interface IndexedJob extends JobRecord {
  id: string;
  version: number;
  /** When this controller first saw it ready to run, by its own clock. */
  seenAt: number;
}

/** All open jobs and all tasks on machines, as the store has them: the same on every controller, a moment late. */
export class JobIndex {
  /** Open jobs whose dependencies are done: all others take nothing of anything. */
  readonly jobs = new Map<string, IndexedJob>();
  /** Open jobs that wait for others to be done. */
  private readonly blocked = new Map<string, IndexedJob>();
  readonly dependencies: DependencyGraph;
  private readonly pages = new Map<string, IndexedEntry[]>();
  /** Entries by job; those of an ended job stay until its tasks have left their machines. */
  private readonly byJob = new Map<string, Set<IndexedEntry>>();
  private loadsNow: Map<string, Resources> | undefined;
  /** Pages that have changed since anybody asked: of several versions only the last has to be read. */
  private readonly unread = new Map<string, unknown>();

  /** `endOf`: ends of jobs that this controller knows already. */
  constructor(
    private readonly clock: () => number,
    endOf?: (id: string) => EndRecord | undefined,
  ) {
    this.dependencies = new DependencyGraph(clock, endOf);
  }

  load(mirror: Mirror): void {
    this.jobs.clear();
    this.blocked.clear();
    this.dependencies.clear();
    this.pages.clear();
    this.byJob.clear();
    this.unread.clear();
    this.loadsNow = undefined;
    for (const [key, entry] of mirror.entriesWithPrefix('job/')) this.set(key, entry.value, entry.version);
    for (const [key, entry] of mirror.entriesWithPrefix('run/')) this.set(key, entry.value, entry.version);
  }

  apply(changes: Change[]): void {
    for (const change of changes) {
      if (!change.deleted) this.set(change.key, change.value, change.version);
      else if (change.key.startsWith('job/')) this.remove(change.key.slice('job/'.length));
      else if (change.key.startsWith('run/')) this.unread.set(change.key, undefined);
    }
  }

  /** The record of the job is known here, whether or not it is ready. */
  isOpen(id: string): boolean {
    return this.jobs.has(id) || this.blocked.has(id);
  }

  /** An open job by its id, whether or not it is ready. */
  openJob(id: string): IndexedJob | undefined {
    return this.jobs.get(id) ?? this.blocked.get(id);
  }

  /** A job with these dependencies could run at once. */
  isReadyWith(dependencies: Iterable<string>): boolean {
    return this.dependencies.areDone(dependencies);
  }

  dependencyState(id: string): DependencyState {
    return this.dependencies.stateOf(id, (other) => this.isOpen(other));
  }

  chainOf(spec: JobSpec): ChainFacts {
    return { readyAt: this.dependencies.readyAt(spec), ...this.dependencies.demandOn(spec) };
  }

  entries(id: string): Iterable<IndexedEntry> {
    this.read();
    const entries = this.byJob.get(id);
    if (!entries) return [];
    return areOfOneSize(entries) ? entries : newestOfEachBlock(entries);
  }

  *activeTasks(): Iterable<{ id: string; page: IndexedEntry; machine: string }> {
    this.read();
    for (const id of this.byJob.keys()) {
      for (const page of this.entries(id)) {
        for (const [, , machine] of page.active) yield { id, page, machine };
      }
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
    const chain = this.chainOf(spec);
    return { spec, chain, waiting: spec.tasks - done - active, started: done + active > 0 };
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
      this.setJob(record, version);
      return;
    }
    const ended = endedJob(key);
    const end = ended === undefined ? undefined : parseEnd(value);
    if (ended !== undefined && end) this.noteEnd(ended, end);
    if (key.startsWith('run/')) this.unread.set(key, value);
  }

  private setJob(record: JobRecord, version: number): void {
    const { id } = record.spec;
    this.dependencies.add(record.spec);
    const seenAt = this.jobs.get(id)?.seenAt ?? this.clock();
    const job = { ...record, id, version, seenAt };
    if (this.dependencies.isReady(id)) this.jobs.set(id, job);
    else this.blocked.set(id, job);
  }

  private noteEnd(id: string, end: EndRecord): void {
    for (const ready of this.dependencies.noteEnd(id, end)) {
      const job = this.blocked.get(ready);
      if (!job) continue;
      this.blocked.delete(ready);
      this.jobs.set(ready, { ...job, seenAt: this.clock() });
    }
  }

  private remove(id: string): void {
    this.jobs.delete(id);
    this.blocked.delete(id);
    this.dependencies.remove(id);
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

/** Asked for each job many times in a round, so nothing is allocated. */
function areOfOneSize(entries: ReadonlySet<IndexedEntry>): boolean {
  let first: IndexedEntry | undefined;
  for (const entry of entries) {
    first ??= entry;
    if (entry.chunkTasks !== first.chunkTasks) return false;
  }
  return true;
}

function newestOfEachBlock(entries: Iterable<IndexedEntry>): IndexedEntry[] {
  return [...groupBy(entries, ({ block }) => block).values()]
    .flatMap((ofBlock) => withoutCovered(ofBlock))
    .map((entry) => ({ ...entry, doneCount: rangesSize(entry.done) }));
}

export function needOf(from: Pick<JobSpec, 'cpus' | 'accelerators' | 'memoryGb'>): Resources {
  const { cpus, accelerators, memoryGb } = from;
  return { cpus, accelerators, memoryGb };
}
