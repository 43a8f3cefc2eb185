/**
 * Recalls dispatched tasks from a block that has not started them, and returns recalled tasks to a block that
 * had already started them. A block is a set of machines with the tasks placed on them, leased to one
 * controller.
 */
import { expandRanges } from '../base/ranges.js';
import { isZoneConstrained, type JobSpec } from '../model/types.js';
import type { IndexedEntry } from '../placement/ledger-index.js';
import type { TaskRange } from '../wire/job-records.js';
import { mergeTaskRanges, undispatchedRanges, wholeJob } from './task-ranges.js';

/** The active and done tasks of a job, from an entry in the ledger of a block. */
export type LedgerTasks = Pick<IndexedEntry, 'block' | 'active' | 'done'>;

/** A recall of waiting tasks from one block. */
export interface Recall {
  block: number;
  /** Maximum number of tasks to recall. */
  maxTasks: number;
  /** Maximum number of task ranges that the job may have after the recall; unlimited if omitted. */
  maxRanges?: number;
}

/**
 * Returns the job's task ranges without the recalled tasks, or undefined if no task can be recalled or if
 * more than `maxRanges` ranges would remain. Waiting tasks are recalled from the ends of the ranges, so that
 * the number of ranges stays small. `entries`: the job's entries in the ledgers of all blocks. Tasks that are
 * active or done in an entry of the block are not recalled.
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
 * Finds tasks that are in none of the job's task ranges, although the ledger of a block lists them as active
 * or done. Returns the job's task ranges extended by these tasks, or undefined if there are no such tasks.
 *
 * Such a task was recalled after the owner of a block had committed an intent for it, but before the leader's
 * replica had received that commit. An intent is a planned task attempt that has to be committed to the
 * ledger before its start command is sent. The task must not be dispatched to another block. The commit of an
 * intent is conditioned on the version of the job record, so it conflicts after the recall has changed the
 * record. The ledgers, as of the revision of the changed record, therefore list all such tasks.
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

/** Returns the indexes of the job's tasks that are active on a machine of the block or done in the block. */
function startedTasks(block: number, entries: Iterable<LedgerTasks>): Set<number> {
  const started = new Set<number>();
  for (const entry of entries) {
    if (entry.block !== block) continue;
    for (const [index] of entry.active) started.add(index);
    for (const index of expandRanges(entry.done)) started.add(index);
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
