/** A block's ledger as the replica of the store has it. */
import { groupBy } from '../base/group-by.js';
import type { Mirror } from '../store/mirror.js';
import { ledgerPrefix, parseLedgerKey } from '../wire/keys.js';
import { type LedgerEntry, parseLedgerPage } from '../wire/ledger-records.js';
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
