/** What the ledgers of all blocks say, as this controller's replica of the store has them. */
import { groupBy } from '../base/group-by.js';
import { rangesSize } from '../base/ranges.js';
import type { JobSpec, Resources } from '../model/types.js';
import { parseLedgerKey } from '../wire/keys.js';
import { type LedgerEntry, parseLedgerPage } from '../wire/ledger-records.js';
import { withoutSuperseded } from './superseded-entries.js';

/** What one block has on record of a job, or of a part of its tasks. */
export interface IndexedEntry extends LedgerEntry {
  /** Number of the block. */
  block: number;
  doneCount: number;
}

/** A task that is or may be on a machine, with the entry that says so. */
export interface ActiveTask {
  /** Id of its job. */
  id: string;
  entry: IndexedEntry;
  machine: string;
}

/** How many tasks of a job are done, and how many are or may be on machines. */
export interface JobProgress {
  done: number;
  active: number;
}

/** Pages are parsed when somebody asks for the first time after they have changed: of several versions only the last is. */
export class LedgerIndex {
  /** Values of changed pages by key; undefined if the page is gone. */
  private readonly changedPages = new Map<string, unknown>();
  private readonly entriesByPage = new Map<string, IndexedEntry[]>();
  /** Entries by job; those of an ended job stay until its tasks have left their machines. */
  private readonly entriesByJob = new Map<string, Set<IndexedEntry>>();
  private cachedLoads: Map<string, Resources> | undefined;

  /** Forgets all pages. */
  clear(): void {
    this.entriesByPage.clear();
    this.entriesByJob.clear();
    this.changedPages.clear();
    this.cachedLoads = undefined;
  }

  /** Takes over a page of some block's ledger, or notes with `undefined` that it is gone. */
  setPage(key: string, value: unknown): void {
    this.changedPages.set(key, value);
  }

  /** All that blocks have on record of the job, without entries that smaller ones have superseded. */
  entriesOf(id: string): Iterable<IndexedEntry> {
    this.parseChangedPages();
    const entries = this.entriesByJob.get(id);
    if (!entries) return [];
    return haveOneChunkSize(entries) ? entries : newestOfEachBlock(entries);
  }

  /** All tasks that are or may be on machines, those of ended jobs among them. */
  *activeTasks(): Iterable<ActiveTask> {
    this.parseChangedPages();
    for (const id of this.entriesByJob.keys()) {
      for (const entry of this.entriesOf(id)) {
        for (const [, , machine] of entry.active) yield { id, entry, machine };
      }
    }
  }

  /** What the tasks on each machine take of it; machines without any are not in it. */
  machineLoads(): ReadonlyMap<string, Resources> {
    this.parseChangedPages();
    this.cachedLoads ??= this.sumLoads();
    return this.cachedLoads;
  }

  /** How far one block, or all of them, are with the job. */
  progress(id: string, block?: number): JobProgress {
    let done = 0;
    let active = 0;
    for (const entry of this.entriesOf(id)) {
      if (block !== undefined && entry.block !== block) continue;
      done += entry.doneCount;
      active += entry.active.length;
    }
    return { done, active };
  }

  private sumLoads(): Map<string, Resources> {
    const loads = new Map<string, Resources>();
    for (const { entry, machine } of this.activeTasks()) {
      const load = loads.get(machine);
      if (!load) loads.set(machine, needOf(entry));
      else {
        load.cpus += entry.cpus;
        load.accelerators += entry.accelerators;
        load.memoryGb += entry.memoryGb;
      }
    }
    return loads;
  }

  private parseChangedPages(): void {
    for (const [key, value] of this.changedPages) this.replaceEntries(key, parseEntries(key, value));
    this.changedPages.clear();
  }

  private replaceEntries(key: string, entries: IndexedEntry[]): void {
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

/** What one task of the job takes of its machine. */
export function needOf(from: Pick<JobSpec, 'cpus' | 'accelerators' | 'memoryGb'>): Resources {
  const { cpus, accelerators, memoryGb } = from;
  return { cpus, accelerators, memoryGb };
}

/** A key that names no block has no entries: no controller writes such a key. */
function parseEntries(key: string, value: unknown): IndexedEntry[] {
  const place = parseLedgerKey(key);
  if (!place) return [];
  return parseLedgerPage(value).map((entry) => ({
    ...entry,
    block: place.block,
    doneCount: rangesSize(entry.done),
  }));
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
