/** A block's ledger as the copy of the store has it. */
import { groupBy } from '../base/group-by.js';
import type { Mirror } from '../store/mirror.js';
import { ledgerPrefix, parseLedgerKey } from '../wire/keys.js';
import { type LedgerEntry, parseLedgerPage } from '../wire/ledger-records.js';
import { chunkTasksOf, withoutSuperseded } from './superseded-entries.js';
import type { LedgerLayout } from './ledger-layout.js';

export interface StoredPage {
  index: number;
  version: number;
  entries: LedgerEntry[];
}

export interface StoredEntry {
  entry: LedgerEntry;
  page: StoredPage;
}

export function storedPages(mirror: Pick<Mirror, 'entriesWithPrefix'>, block: number): StoredPage[] {
  const pages: StoredPage[] = [];
  for (const [key, { value, version }] of mirror.entriesWithPrefix(ledgerPrefix(block))) {
    const at = parseLedgerKey(key);
    if (at) pages.push({ index: at.page, version, entries: parseLedgerPage(value) });
  }
  return pages;
}

/** The entries of all pages without what smaller ones cover. */
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

/** Entries are never made larger: a larger one would count for less than the smaller ones that it replaces. */
export function keepStoredChunkSize(layout: LedgerLayout, pages: StoredPage[]): LedgerLayout {
  const sizes = pages.flatMap(({ entries }) => entries.map(chunkTasksOf));
  const smallest = sizes.reduce((least, size) => Math.min(least, size), Infinity);
  const wanted = layout.isLegacy ? Infinity : layout.chunkTasks;
  return smallest < wanted ? { ...layout, chunkTasks: smallest, isLegacy: false } : layout;
}
