/**
 * Recall of tasks that are dispatched to a block but not started, and return of tasks that had been started
 * after all.
 */
import { fromRanges } from '../base/ranges.js';
import { isZoneConstrained, type JobSpec } from '../model/types.js';
import type { IndexedEntry } from '../placement/ledger-index.js';
import type { TaskRange } from '../wire/job-records.js';
import { mergeTaskRanges, undispatchedRanges, wholeJob } from './task-ranges.js';

/** What the ledger of a block says of a job's tasks. */
export type LedgerTasks = Pick<IndexedEntry, 'block' | 'active' | 'done'>;

/** A recall of waiting tasks from one block. */
export interface Recall {
  block: number;
  /** How many tasks to recall at most. */
  maxTasks: number;
  /** How many ranges of the job may be left; without a bound if missing. */
  maxRanges?: number;
}

/**
 * The job's ranges without the recalled tasks, which are the last that wait in the block, so that the ranges
 * stay few. `entries`: the job's entries in the ledgers of all blocks; what these name as active or done is
 * not recalled. Undefined: no task of the block waits, or too many ranges would be left.
 */
export function recallTasks(
  taskRanges: TaskRange[],
  entries: Iterable<LedgerTasks>,
  { block, maxTasks, maxRanges = Infinity }: Recall,
): TaskRange[] | undefined {
  const started = startedTasks(block, entries);
  const recalled = new Set<number>();
  for (const range of taskRanges.filter((other) => other.block === block).reverse()) {
    const last = range.first + range.count - 1;
    for (let index = last; index >= range.first && recalled.size < maxTasks; index--) {
      if (!started.has(index)) recalled.add(index);
    }
  }
  if (recalled.size === 0) return undefined;
  const kept = taskRanges.flatMap((range) =>
    range.block === block ? excludeTasks(range, recalled) : [range],
  );
  return kept.length <= maxRanges ? kept : undefined;
}

/**
 * The job's ranges with those tasks that no range covers though the ledger of a block names them: their
 * intents were committed before the job's record was, unseen by the leader that recalled them, and they must
 * go to no other block. An intent that is later than the record conflicts on its version, so the ledger as of
 * the record's revision names all of them. Undefined: there are none.
 */
export function restoreStartedTasks(
  { taskRanges, spec }: { taskRanges: TaskRange[]; spec: Pick<JobSpec, 'tasks' | 'colocated' | 'spread'> },
  entries: Iterable<LedgerTasks>,
): TaskRange[] | undefined {
  const gaps = undispatchedRanges(taskRanges, spec.tasks);
  if (gaps.length === 0) return undefined;
  const restored: TaskRange[] = [];
  for (const entry of entries) {
    for (const index of startedTasks(entry.block, [entry])) {
      const isUncovered = gaps.some(({ first, count }) => index >= first && index < first + count);
      if (isUncovered) restored.push({ block: entry.block, first: index, count: 1 });
    }
  }
  const [first] = restored;
  if (!first) return undefined;
  if (isZoneConstrained(spec)) return [wholeJob(spec, first.block)];
  return mergeTaskRanges([...taskRanges, ...restored]);
}

/** Indexes of the tasks that the block has on a machine, or has done. */
function startedTasks(block: number, entries: Iterable<LedgerTasks>): Set<number> {
  const started = new Set<number>();
  for (const entry of entries) {
    if (entry.block !== block) continue;
    for (const [index] of entry.active) started.add(index);
    for (const index of fromRanges(entry.done)) started.add(index);
  }
  return started;
}

function excludeTasks({ block, first, count }: TaskRange, excluded: ReadonlySet<number>): TaskRange[] {
  const kept: TaskRange[] = [];
  for (let index = first; index < first + count; index++) {
    if (excluded.has(index)) continue;
    const last = kept.at(-1);
    if (last && last.first + last.count === index) last.count++;
    else kept.push({ block, first: index, count: 1 });
  }
  return kept;
}
