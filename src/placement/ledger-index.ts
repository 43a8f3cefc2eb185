/** Indexes the ledger entries of all blocks by job, as read from this controller's replica of the store. */
import { groupBy } from '../base/group-by.js';
import { rangesSize } from '../base/ranges.js';
import type { JobSpec, Resources } from '../model/types.js';
import { parseLedgerKey } from '../wire/keys.js';
import { type LedgerEntry, parseLedgerPage } from '../wire/ledger-records.js';
import { dropSupersededEntries } from './superseded-entries.js';

/**
 * A ledger entry with the number of its block. The entry records the tasks of one job, or of one chunk (a
 * range of consecutive tasks) of the job.
 */
export interface IndexedEntry extends LedgerEntry {
  /** Number of the block. */
  block: number;
  /** Number of tasks that the entry records as done. */
  doneCount: number;
}

/** A task that is or may be on a machine, with the ledger entry that records it. */
export interface ActiveTask {
  /** Id of the job to which the task belongs. */
  id: string;
  entry: IndexedEntry;
  machine: string;
}

/** Number of a job's tasks that are done, and number of its tasks that are or may be on machines. */
export interface JobProgress {
  done: number;
  active: number;
}

/**
 * The ledger entries of all blocks. A block is a set of machines with the work placed on them, leased to one
 * controller. This controller records the tasks of the block on the pages of the block's ledger.
 *
 * A changed page is parsed at the first query after the change. If the page has changed several times since
 * the previous query, only its latest version is parsed.
 */
export class LedgerIndex {
  /**
   * Values of the pages that have changed since the previous query, by page key. The value of a deleted page
   * is undefined.
   */
  private readonly changedPages = new Map<string, unknown>();
  private readonly entriesByPage = new Map<string, IndexedEntry[]>();
  /** Entries by job id. The entries of an ended job remain until its tasks have left their machines. */
  private readonly entriesByJob = new Map<string, Set<IndexedEntry>>();
  private cachedLoads: Map<string, Resources> | undefined;

  /** Removes all pages from the index. */
  clear(): void {
    this.entriesByPage.clear();
    this.entriesByJob.clear();
    this.changedPages.clear();
    this.cachedLoads = undefined;
  }

  /** Replaces a page of a block's ledger. If `value` is undefined, the page is removed. */
  setPage(key: string, value: unknown): void {
    this.changedPages.set(key, value);
  }

  /**
   * Returns the job's entries from the ledgers of all blocks. If several entries of a block cover the same
   * task, only the entry with the smallest chunk size contains the task in the result.
   */
  entriesOf(id: string): Iterable<IndexedEntry> {
    this.parseChangedPages();
    const entries = this.entriesByJob.get(id);
    if (!entries) return [];
    return haveSameChunkSize(entries) ? entries : newestEntriesOfEachBlock(entries);
  }

  /** Yields all tasks that are or may be on machines, including tasks of ended jobs. */
  *activeTasks(): Iterable<ActiveTask> {
    this.parseChangedPages();
    for (const id of this.entriesByJob.keys()) {
      for (const entry of this.entriesOf(id)) {
        for (const [, , machine] of entry.active) yield { id, entry, machine };
      }
    }
  }

  /**
   * Returns the resources that the tasks on each machine use, by machine id. Machines without tasks are not
   * included.
   */
  machineLoads(): ReadonlyMap<string, Resources> {
    this.parseChangedPages();
    this.cachedLoads ??= this.sumLoads();
    return this.cachedLoads;
  }

  /** Returns the progress of the job in one block, or in all blocks if no block is given. */
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
      if (!load) loads.set(machine, taskResourcesOf(entry));
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
    for (const oldEntry of this.entriesByPage.get(key) ?? []) {
      const jobEntries = this.entriesByJob.get(oldEntry.id);
      jobEntries?.delete(oldEntry);
      if (jobEntries?.size === 0) this.entriesByJob.delete(oldEntry.id);
    }
    if (entries.length > 0) this.entriesByPage.set(key, entries);
    else this.entriesByPage.delete(key);
    for (const entry of entries) {
      const jobEntries = this.entriesByJob.get(entry.id);
      if (jobEntries) jobEntries.add(entry);
      else this.entriesByJob.set(entry.id, new Set([entry]));
    }
  }
}

/** Returns the resources that one task of the job uses on its machine. */
export function taskResourcesOf(from: Pick<JobSpec, 'cpus' | 'accelerators' | 'memoryGb'>): Resources {
  const { cpus, accelerators, memoryGb } = from;
  return { cpus, accelerators, memoryGb };
}

/**
 * Parses a page. If the key of the page does not contain a block number, the result is empty; no controller
 * writes such a key.
 */
function parseEntries(key: string, value: unknown): IndexedEntry[] {
  const parsedKey = parseLedgerKey(key);
  if (!parsedKey) return [];
  return parseLedgerPage(value).map((entry) => ({
    ...entry,
    block: parsedKey.block,
    doneCount: rangesSize(entry.done),
  }));
}

/**
 * Returns true if all entries have the same chunk size. The function does not allocate memory, because it is
 * called many times for each job in a placement round.
 */
function haveSameChunkSize(entries: ReadonlySet<IndexedEntry>): boolean {
  let first: IndexedEntry | undefined;
  for (const entry of entries) {
    first ??= entry;
    if (entry.chunkTasks !== first.chunkTasks) return false;
  }
  return true;
}

function newestEntriesOfEachBlock(entries: Iterable<IndexedEntry>): IndexedEntry[] {
  return [...groupBy(entries, ({ block }) => block).values()]
    .flatMap((blockEntries) => dropSupersededEntries(blockEntries))
    .map((entry) => ({ ...entry, doneCount: rangesSize(entry.done) }));
}
