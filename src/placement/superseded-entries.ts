/** Resolves overlaps between ledger entries of different chunk sizes that cover the same tasks. */
import { expandRanges, toRanges } from '../base/ranges.js';
import type { LedgerEntry } from '../wire/ledger-records.js';

/** Task indices from `first` up to, but not including, `end`. */
interface IndexInterval {
  first: number;
  end: number;
}

/**
 * Returns the number of tasks that the entry covers; Infinity for an entry of an earlier version, which does
 * not contain this number.
 */
export function chunkTasksOf({ chunkTasks }: Pick<LedgerEntry, 'chunkTasks'>): number {
  return chunkTasks ?? Infinity;
}

/**
 * Returns the entries of one job in one block. A task that is covered by an entry with a smaller chunk size
 * is removed from the larger entries. The smaller entries take precedence because a ledger is converted to
 * smaller entries one entry at a time, and each smaller entry contains the complete state of its tasks.
 */
export function dropSupersededEntries<E extends LedgerEntry>(entries: Iterable<E>): E[] {
  const all = [...entries];
  const sizes = [...new Set(all.map(chunkTasksOf))].sort((a, b) => a - b);
  if (sizes.length < 2) return all;
  const newest: E[] = [];
  const covered: IndexInterval[] = [];
  for (const size of sizes) {
    const sameSizeEntries = all.filter((entry) => chunkTasksOf(entry) === size);
    newest.push(...sameSizeEntries.map((entry) => withoutTasksIn(entry, covered)));
    covered.push(...sameSizeEntries.map(({ chunk }) => ({ first: chunk * size, end: (chunk + 1) * size })));
  }
  return newest;
}

function withoutTasksIn<E extends LedgerEntry>(entry: E, covered: IndexInterval[]): E {
  const isKept = (index: number): boolean => !covered.some(({ first, end }) => index >= first && index < end);
  return {
    ...entry,
    active: entry.active.filter(([index]) => isKept(index)),
    waiting: entry.waiting.filter(([index]) => isKept(index)),
    done: toRanges([...expandRanges(entry.done)].filter(isKept)),
  };
}
