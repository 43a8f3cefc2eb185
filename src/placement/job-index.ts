import { type DependencyState, DependencyGraph } from '../dependencies/dependency-graph.js';
import type { JobSpec, Resources } from '../model/types.js';
import type { Mirror } from '../store/mirror.js';
import { groupBy } from '../base/group-by.js';
import { rangesSize } from '../base/ranges.js';
import { type OutcomeRecord, type JobRecord, parseOutcome, parseJobRecord } from '../wire/job-records.js';
import { jobOfOutcomeKey, parseLedgerKey } from '../wire/keys.js';
import { type LedgerEntry, parseLedgerPage } from '../wire/ledger-records.js';
import type { Change } from '../wire/state.js';
import { withoutSuperseded } from './superseded-entries.js';
import type { DependencyFacts, QueueOrder, QueuedJob } from './queue-order.js';

/** What a block has on record of a job. */
export interface IndexedEntry extends LedgerEntry {
  block: number;
  doneCount: number;
}

export interface IndexedJob extends JobRecord {
  id: string;
  version: number;
  /** When this controller first saw it ready to run, by its own clock. */
  readySeenAt: number;
}

/** All open jobs and all tasks on machines, as the store has them: the same on every controller, a moment late. */
export class JobIndex {
  /** Open jobs whose dependencies are done: all others take nothing of anything. */
  readonly jobs = new Map<string, IndexedJob>();
  /** Open jobs that wait for others to be done. */
  private readonly blocked = new Map<string, IndexedJob>();
  readonly dependencies: DependencyGraph;
  private readonly entriesByPage = new Map<string, IndexedEntry[]>();
  /** Entries by job; those of an ended job stay until its tasks have left their machines. */
  private readonly entriesByJob = new Map<string, Set<IndexedEntry>>();
  private cachedLoads: Map<string, Resources> | undefined;
  /** Pages that have changed since anybody asked: of several versions only the last has to be read. */
  private readonly changedPages = new Map<string, unknown>();

  /** `endOf`: ends of jobs that this controller knows already. */
  constructor(
    private readonly clock: () => number,
    outcomeOf?: (id: string) => OutcomeRecord | undefined,
  ) {
    this.dependencies = new DependencyGraph(clock, outcomeOf);
  }

  load(mirror: Mirror): void {
    this.jobs.clear();
    this.blocked.clear();
    this.dependencies.clear();
    this.entriesByPage.clear();
    this.entriesByJob.clear();
    this.changedPages.clear();
    this.cachedLoads = undefined;
    for (const [key, entry] of mirror.entriesWithPrefix('job/'))
      this.applyValue(key, entry.value, entry.version);
    for (const [key, entry] of mirror.entriesWithPrefix('run/'))
      this.applyValue(key, entry.value, entry.version);
  }

  applyChanges(changes: Change[]): void {
    for (const change of changes) {
      if (!change.deleted) this.applyValue(change.key, change.value, change.version);
      else if (change.key.startsWith('job/')) this.remove(change.key.slice('job/'.length));
      else if (change.key.startsWith('run/')) this.changedPages.set(change.key, undefined);
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
  isReadyAfter(dependencies: Iterable<string>): boolean {
    return this.dependencies.areDone(dependencies);
  }

  dependencyState(id: string): DependencyState {
    return this.dependencies.stateOf(id, (other) => this.isOpen(other));
  }

  dependencyFactsOf(spec: JobSpec): DependencyFacts {
    return { readyAt: this.dependencies.readyAt(spec), ...this.dependencies.demandOn(spec) };
  }

  entriesOf(id: string): Iterable<IndexedEntry> {
    this.parseChangedPages();
    const entries = this.entriesByJob.get(id);
    if (!entries) return [];
    return haveOneChunkSize(entries) ? entries : newestOfEachBlock(entries);
  }

  *activeTasks(): Iterable<{ id: string; page: IndexedEntry; machine: string }> {
    this.parseChangedPages();
    for (const id of this.entriesByJob.keys()) {
      for (const page of this.entriesOf(id)) {
        for (const [, , machine] of page.active) yield { id, page, machine };
      }
    }
  }

  /** What the tasks on each machine take of it; machines without any are not in it. */
  machineLoads(): ReadonlyMap<string, Resources> {
    this.parseChangedPages();
    if (this.cachedLoads) return this.cachedLoads;
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
    this.cachedLoads = loads;
    return loads;
  }

  /** Done, and on machines, of what one block has of a job or of all of it. */
  progress(id: string, block?: number): { done: number; active: number } {
    let done = 0;
    let active = 0;
    for (const entry of this.entriesOf(id)) {
      if (block !== undefined && entry.block !== block) continue;
      done += entry.doneCount;
      active += entry.active.length;
    }
    return { done, active };
  }

  /** Open jobs in the order of work, or those of them that are given. */
  inQueueOrder(
    queueOrder: QueueOrder,
    now: number,
    jobs: Iterable<IndexedJob> = this.jobs.values(),
  ): IndexedJob[] {
    return queueOrder.sorted(jobs, (job) => this.asQueuedJob(job), now);
  }

  asQueuedJob({ id, spec }: IndexedJob): QueuedJob {
    const { done, active } = this.progress(id);
    const chain = this.dependencyFactsOf(spec);
    return { spec, dependencyFacts: chain, waiting: spec.tasks - done - active, started: done + active > 0 };
  }

  /** Waiting tasks of the job by block; those that are not dispatched yet belong to none. */
  waitingByBlock(job: IndexedJob): { block: number | undefined; count: number }[] {
    const dispatched = new Map<number, number>();
    let undispatched = job.spec.tasks;
    for (const { block, count } of job.taskRanges) {
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

  private applyValue(key: string, value: unknown, version: number): void {
    if (key.startsWith('job/')) {
      const record = parseJobRecord(value);
      if (!record) return;
      this.setJob(record, version);
      return;
    }
    const ended = jobOfOutcomeKey(key);
    const end = ended === undefined ? undefined : parseOutcome(value);
    if (ended !== undefined && end) this.applyOutcome(ended, end);
    if (key.startsWith('run/')) this.changedPages.set(key, value);
  }

  private setJob(record: JobRecord, version: number): void {
    const { id } = record.spec;
    this.dependencies.add(record.spec);
    const readySeenAt = this.jobs.get(id)?.readySeenAt ?? this.clock();
    const job = { ...record, id, version, readySeenAt };
    if (this.dependencies.isReady(id)) this.jobs.set(id, job);
    else this.blocked.set(id, job);
  }

  private applyOutcome(id: string, end: OutcomeRecord): void {
    for (const ready of this.dependencies.noteEnd(id, end)) {
      const job = this.blocked.get(ready);
      if (!job) continue;
      this.blocked.delete(ready);
      this.jobs.set(ready, { ...job, readySeenAt: this.clock() });
    }
  }

  private remove(id: string): void {
    this.jobs.delete(id);
    this.blocked.delete(id);
    this.dependencies.remove(id);
  }

  private parseChangedPages(): void {
    for (const [key, value] of this.changedPages) {
      const block = parseLedgerKey(key)?.block ?? -1;
      this.setPage(
        key,
        parseLedgerPage(value).map((e) => ({ ...e, block, doneCount: rangesSize(e.done) })),
      );
    }
    this.changedPages.clear();
  }

  private setPage(key: string, entries: IndexedEntry[]): void {
    this.cachedLoads = undefined;
    for (const old of this.entriesByPage.get(key) ?? []) {
      const ofJob = this.entriesByJob.get(old.id);
      ofJob?.delete(old);
      if (ofJob?.size === 0) this.entriesByJob.delete(old.id);
    }
    if (entries.length > 0) this.entriesByPage.set(key, entries);
    else this.entriesByPage.delete(key);
    for (const entry of entries) {
      const ofJob = this.entriesByJob.get(entry.id);
      if (ofJob) ofJob.add(entry);
      else this.entriesByJob.set(entry.id, new Set([entry]));
    }
  }
}

/** Asked for each job many times in a round, so nothing is allocated. */
function haveOneChunkSize(entries: ReadonlySet<IndexedEntry>): boolean {
  let first: IndexedEntry | undefined;
  for (const entry of entries) {
    first ??= entry;
    if (entry.chunkTasks !== first.chunkTasks) return false;
  }
  return true;
}

function newestOfEachBlock(entries: Iterable<IndexedEntry>): IndexedEntry[] {
  return [...groupBy(entries, ({ block }) => block).values()]
    .flatMap((ofBlock) => withoutSuperseded(ofBlock))
    .map((entry) => ({ ...entry, doneCount: rangesSize(entry.done) }));
}

export function needOf(from: Pick<JobSpec, 'cpus' | 'accelerators' | 'memoryGb'>): Resources {
  const { cpus, accelerators, memoryGb } = from;
  return { cpus, accelerators, memoryGb };
}
