/** A block's ledger as the replica of the store has it. */
import { groupBy } from '../base/group-by.js';
import type { Mirror } from '../store/mirror.js';
import { ledgerPrefix, parseLedgerKey } from '../wire/keys.js';
import { type LedgerEntry, parseLedgerPage } from '../wire/ledger-records.js';
import type { Ledger } from './ledger.js';
import type { LedgerLayout } from './ledger-layout.js';
import { chunkTasksOf, withoutSuperseded } from './superseded-entries.js';

/** A page of the ledger. */
export interface StoredPage {
  index: number;
  /** Its version in the store. */
  version: number;
  entries: LedgerEntry[];
}

/** An entry, and the page that holds it. */
export interface StoredEntry {
  entry: LedgerEntry;
  page: StoredPage;
}

/** The pages of one block's ledger. */
export function storedPages(mirror: Pick<Mirror, 'entriesWithPrefix'>, block: number): StoredPage[] {
  const pages: StoredPage[] = [];
  for (const [key, { value, version }] of mirror.entriesWithPrefix(ledgerPrefix(block))) {
    const place = parseLedgerKey(key);
    if (place) pages.push({ index: place.page, version, entries: parseLedgerPage(value) });
  }
  return pages;
}

/**
 * Has the ledger go on with the stored pages. Those with entries of another size are retired: their tasks are to be recorded
 * anew in entries of this layout.
 */
export function addStoredPages(ledger: Ledger, pages: StoredPage[], layout: LedgerLayout): void {
  const chunkTasks = layout.isLegacy ? Infinity : layout.chunkTasks;
  for (const { index, version, entries } of pages) {
    if (entries.every((entry) => chunkTasksOf(entry) === chunkTasks)) ledger.page(index).version = version;
    else ledger.retirePage(index, version);
  }
}

/** The entries of all pages, without the tasks that smaller entries cover. */
export function* newestEntries(pages: StoredPage[]): Iterable<StoredEntry> {
  const stored = pages.flatMap((page) => page.entries.map((entry) => ({ entry, page })));
  for (const ofJob of groupBy(stored, ({ entry }) => entry.id).values()) {
    const pageOf = new Map(ofJob.map(({ entry, page }) => [chunkKey(entry), page]));
    for (const entry of withoutSuperseded(ofJob.map((one) => one.entry))) {
      const page = pageOf.get(chunkKey(entry));
      if (page) yield { entry, page };
    }
  }
}

function chunkKey(entry: LedgerEntry): string {
  return `${chunkTasksOf(entry)}/${entry.chunk}`;
}

/**
 * The layout, with chunks as small as the smallest stored ones. Entries are never made larger: a larger one would count for
 * less than the smaller ones that it replaces.
 */
export function keepStoredChunkSize(layout: LedgerLayout, pages: StoredPage[]): LedgerLayout {
  const sizes = pages.flatMap(({ entries }) => entries.map(chunkTasksOf));
  const smallest = sizes.reduce((min, size) => Math.min(min, size), Infinity);
  const wanted = layout.isLegacy ? Infinity : layout.chunkTasks;
  return smallest < wanted ? { ...layout, chunkTasks: smallest, isLegacy: false } : layout;
}
