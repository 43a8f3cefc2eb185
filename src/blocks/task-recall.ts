import type { JobSpec } from '../model/types.js';
import type { IndexedEntry } from '../placement/job-index.js';
import { fromRanges } from '../base/ranges.js';
import type { TaskRange } from '../wire/job-records.js';
import { isZoneConstrained, mergeTaskRanges, undispatchedRanges } from './capacity-estimate.js';

type Entry = Pick<IndexedEntry, 'block' | 'active' | 'done'>;

/** Tasks that a block has on a machine, or done: these are nobody else's. */
function startedTasks(block: number, entries: Iterable<Entry>): Set<number> {
  const held = new Set<number>();
  for (const entry of entries) {
    if (entry.block !== block) continue;
    for (const [index] of entry.active) held.add(index);
    for (const index of fromRanges(entry.done)) held.add(index);
  }
  return held;
}

/**
 * The parts of a job less up to `count` tasks that wait in a block, the last first, so that its parts stay few. Undefined:
 * there are none to take, or more than `most` parts would be left.
 */
export function recallTasks(
  parts: TaskRange[],
  block: number,
  entries: Iterable<Entry>,
  count: number,
  most = Infinity,
): TaskRange[] | undefined {
  const held = startedTasks(block, entries);
  const taken = new Set<number>();
  for (const part of parts.filter((p) => p.block === block).reverse()) {
    for (let index = part.first + part.count - 1; index >= part.first && taken.size < count; index--) {
      if (!held.has(index)) taken.add(index);
    }
  }
  if (taken.size === 0) return undefined;
  const kept = parts.flatMap((part) => (part.block === block ? excludeTasks(part, taken) : [part]));
  return kept.length <= most ? kept : undefined;
}

function excludeTasks({ block, first, count }: TaskRange, taken: ReadonlySet<number>): TaskRange[] {
  const kept: TaskRange[] = [];
  for (let index = first; index < first + count; index++) {
    if (taken.has(index)) continue;
    const last = kept.at(-1);
    if (last && last.first + last.count === index) last.count++;
    else kept.push({ block, first: index, count: 1 });
  }
  return kept;
}

/**
 * The parts of a job with those tasks that no part covers though a block's ledger names them: their intents were committed
 * before the job's record was, unseen by whoever took them back, and they must go to no other block. An intent that is later
 * than the record fails on its version, so the ledger as of the record's revision tells all of them.
 */
export function restoreStartedTasks(
  { taskRanges, spec }: { taskRanges: TaskRange[]; spec: Pick<JobSpec, 'tasks' | 'colocated' | 'spread'> },
  entries: Iterable<Entry>,
): TaskRange[] | undefined {
  const gaps = undispatchedRanges(taskRanges, spec.tasks);
  if (gaps.length === 0) return undefined;
  const restored: TaskRange[] = [];
  for (const entry of entries) {
    for (const index of startedTasks(entry.block, [entry])) {
      const uncovered = gaps.some(({ first, count }) => index >= first && index < first + count);
      if (uncovered) restored.push({ block: entry.block, first: index, count: 1 });
    }
  }
  const [first] = restored;
  if (!first) return undefined;
  // Tasks that depend on each other's zones stay with one block.
  if (isZoneConstrained(spec)) return [{ block: first.block, first: 0, count: spec.tasks }];
  return mergeTaskRanges([...taskRanges, ...restored]);
}
