/** Entries of different sizes that cover the same tasks. */
import { fromRanges, toRanges } from '../base/ranges.js';
import type { LedgerEntry } from '../wire/ledger-records.js';

interface IndexInterval {
  first: number;
  end: number;
}

/** How many tasks the entry covers; entries of earlier versions, which do not say so, count as the largest. */
export function chunkTasksOf({ chunkTasks }: Pick<LedgerEntry, 'chunkTasks'>): number {
  return chunkTasks ?? Infinity;
}

/**
 * The entries of one job in one block, without the tasks that smaller entries cover: a ledger is moved to smaller entries one
 * by one, and each smaller entry says all there is to know of its tasks.
 */
export function withoutSuperseded<E extends LedgerEntry>(entries: Iterable<E>): E[] {
  const all = [...entries];
  const sizes = [...new Set(all.map(chunkTasksOf))].sort((a, b) => a - b);
  if (sizes.length < 2) return all;
  const newest: E[] = [];
  const covered: IndexInterval[] = [];
  for (const size of sizes) {
    const ofSize = all.filter((entry) => chunkTasksOf(entry) === size);
    newest.push(...ofSize.map((entry) => withoutTasksIn(entry, covered)));
    covered.push(...ofSize.map(({ chunk }) => ({ first: chunk * size, end: (chunk + 1) * size })));
  }
  return newest;
}

function withoutTasksIn<E extends LedgerEntry>(entry: E, covered: IndexInterval[]): E {
  const isKept = (index: number): boolean => !covered.some(({ first, end }) => index >= first && index < end);
  return {
    ...entry,
    active: entry.active.filter(([index]) => isKept(index)),
    waiting: entry.waiting.filter(([index]) => isKept(index)),
    done: toRanges([...fromRanges(entry.done)].filter(isKept)),
  };
}
