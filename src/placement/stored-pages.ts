/**
 * Reads the ledger of a block (the pages in which its owner records tasks) from the controller's replica of
 * the store.
 */
import { groupBy } from '../base/group-by.js';
import type { StoreReplica } from '../store/store-replica.js';
import { ledgerPrefix, parseLedgerKey } from '../wire/keys.js';
import { type LedgerEntry, parseLedgerPage } from '../wire/ledger-records.js';
import type { Ledger } from './ledger.js';
import type { LedgerLayout } from './ledger-layout.js';
import { chunkTasksOf, dropSupersededEntries } from './superseded-entries.js';

/** A page of a block's ledger as read from the replica of the store. */
export interface StoredPage {
  /** Number of the page within the ledger of the block. */
  index: number;
  /** Version of the page in the store. */
  version: number;
  entries: LedgerEntry[];
}

/** A ledger entry and the page that contains it. */
export interface StoredEntry {
  entry: LedgerEntry;
  page: StoredPage;
}

/** Returns the ledger pages of one block. */
export function storedPages(replica: Pick<StoreReplica, 'entriesWithPrefix'>, block: number): StoredPage[] {
  const pages: StoredPage[] = [];
  for (const [key, { value, version }] of replica.entriesWithPrefix(ledgerPrefix(block))) {
    const parsedKey = parseLedgerKey(key);
    if (parsedKey) pages.push({ index: parsedKey.page, version, entries: parseLedgerPage(value) });
  }
  return pages;
}

/**
 * Adds the stored pages to the ledger. If a page contains an entry whose chunk size differs from that of the
 * layout, the page is retired, and its tasks have to be recorded again in entries with the chunk size of the
 * layout.
 */
export function addStoredPages(ledger: Ledger, pages: StoredPage[], layout: LedgerLayout): void {
  const chunkTasks = layout.isLegacy ? Infinity : layout.chunkTasks;
  for (const { index, version, entries } of pages) {
    if (entries.every((entry) => chunkTasksOf(entry) === chunkTasks)) ledger.page(index).version = version;
    else ledger.retirePage(index, version);
  }
}

/**
 * Yields the entries of all pages. A task that is also covered by an entry with a smaller chunk size is
 * omitted from the larger entry.
 */
export function* newestEntries(pages: StoredPage[]): Iterable<StoredEntry> {
  const stored = pages.flatMap((page) => page.entries.map((entry) => ({ entry, page })));
  for (const jobEntries of groupBy(stored, ({ entry }) => entry.id).values()) {
    const pageByChunk = new Map(jobEntries.map(({ entry, page }) => [chunkKey(entry), page]));
    for (const entry of dropSupersededEntries(jobEntries.map((storedEntry) => storedEntry.entry))) {
      const page = pageByChunk.get(chunkKey(entry));
      if (page) yield { entry, page };
    }
  }
}

function chunkKey(entry: LedgerEntry): string {
  return `${chunkTasksOf(entry)}/${entry.chunk}`;
}

/**
 * Returns the layout. If a stored entry has a smaller chunk size than the layout, the chunk size of the
 * result is the smallest stored one. The chunk size never increases, because the smaller stored entries would
 * supersede the larger entries that were written to replace them.
 */
export function keepStoredChunkSize(layout: LedgerLayout, pages: StoredPage[]): LedgerLayout {
  const sizes = pages.flatMap(({ entries }) => entries.map(chunkTasksOf));
  const smallestStored = sizes.reduce((min, size) => Math.min(min, size), Infinity);
  const configured = layout.isLegacy ? Infinity : layout.chunkTasks;
  return smallestStored < configured ? { ...layout, chunkTasks: smallestStored, isLegacy: false } : layout;
}
