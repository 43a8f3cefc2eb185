/**
 * Chooses the blocks to which the tasks of one job are dispatched, by the free slots of the blocks. Here a
 * slot is space for one task of the job, and not the unit of the ladder (see `ladder/slots.ts`).
 */
import { isZoneConstrained, type JobSpec } from '../model/types.js';
import type { TaskRange } from '../wire/job-records.js';
import type { CapacityEstimate } from './capacity-estimate.js';
import { mergeTaskRanges, undispatchedRanges, wholeJob } from './task-ranges.js';

/**
 * Returns one range that dispatches all tasks of the job to a block with enough free slots, or undefined if
 * no block has enough free slots. Chooses a preferred block if possible, otherwise the block with the most
 * free slots. Does not reserve the slots.
 */
export function dispatchToOneBlock(
  capacity: CapacityEstimate,
  spec: JobSpec,
  isPreferred: (block: number) => boolean = () => false,
): TaskRange | undefined {
  const fitting = capacity.slotsByBlock(spec).filter((slots) => slots.freeSlots >= spec.tasks);
  const best = fitting.find((slots) => isPreferred(slots.block)) ?? fitting[0];
  return best && wholeJob(spec, best.block);
}

/**
 * Divides all tasks of the job among all blocks in proportion to their sizes, regardless of free slots. Does
 * not reserve slots.
 */
export function dispatchBySize(capacity: CapacityEstimate, spec: JobSpec): TaskRange[] {
  const blocks = capacity.slotsByBlock(spec);
  const [best] = blocks;
  if (!best) return [];
  if (isZoneConstrained(spec)) return [wholeJob(spec, best.block)];
  // The weight of a block is its size plus one, so that a block without machines gets tasks as well.
  const totalWeight = blocks.reduce((sum, slots) => sum + slots.totalSlots + 1, 0);
  const taskRanges: TaskRange[] = [];
  let first = 0;
  for (const [i, { block, totalSlots }] of blocks.entries()) {
    const rest = spec.tasks - first;
    const isLast = i === blocks.length - 1;
    const proportion = Math.round((spec.tasks * (totalSlots + 1)) / totalWeight);
    const count = isLast ? rest : Math.min(rest, proportion);
    if (count > 0) taskRanges.push({ block, first, count });
    first += count;
  }
  return taskRanges;
}

/**
 * Dispatches further tasks of the job to free slots, and reserves these slots. Returns the existing and the
 * new ranges of the job, or undefined if there is no free slot for any further task. `maxRanges`: maximum
 * number of ranges that the job's record can hold.
 */
export function dispatchToFreeSlots(
  capacity: CapacityEstimate,
  spec: JobSpec,
  taskRanges: TaskRange[],
  maxRanges = Infinity,
): TaskRange[] | undefined {
  if (isZoneConstrained(spec)) return dispatchZoneConstrained(capacity, spec, taskRanges);
  const added = fillFreeSlots(capacity, spec, taskRanges);
  return added.length > 0 ? limitTaskRanges(spec, taskRanges, added, maxRanges) : undefined;
}

/**
 * Dispatches all tasks of a zone-constrained job to the block with the most free slots, even if there is a
 * free slot for only one of the tasks.
 */
function dispatchZoneConstrained(
  capacity: CapacityEstimate,
  spec: JobSpec,
  taskRanges: TaskRange[],
): TaskRange[] | undefined {
  const [best] = capacity.slotsByBlock(spec);
  if (taskRanges.length > 0 || !best || best.freeSlots <= 0) return undefined;
  capacity.reserve(spec, best.block, spec.tasks);
  return [wholeJob(spec, best.block)];
}

function fillFreeSlots(capacity: CapacityEstimate, spec: JobSpec, taskRanges: TaskRange[]): TaskRange[] {
  const gaps = undispatchedRanges(taskRanges, spec.tasks);
  const added: TaskRange[] = [];
  for (const { block, freeSlots } of capacity.slotsByBlock(spec)) {
    let free = freeSlots;
    let gap = gaps[0];
    while (free > 0 && gap) {
      const count = Math.min(free, gap.count);
      added.push({ block, first: gap.first, count });
      capacity.reserve(spec, block, count);
      free -= count;
      gap.first += count;
      gap.count -= count;
      if (gap.count === 0) gaps.shift();
      gap = gaps[0];
    }
  }
  return added;
}

/**
 * Merges the added ranges into the existing ranges, up to the number of ranges that the job's record can
 * hold. If the record can hold none of the added ranges, the first undispatched tasks are dispatched to the
 * block of the range that ends directly before these tasks, or to the block of the job's first range if there
 * is no such range. The tasks are dispatched even if that block has no free slots, because they would
 * otherwise stay undispatched forever.
 */
function limitTaskRanges(
  spec: JobSpec,
  taskRanges: TaskRange[],
  added: TaskRange[],
  maxRanges: number,
): TaskRange[] {
  for (let kept = added.length; kept > 0; kept--) {
    const merged = mergeTaskRanges([...taskRanges, ...added.slice(0, kept)]);
    if (merged.length <= maxRanges) return merged;
  }
  const [gap] = undispatchedRanges(taskRanges, spec.tasks);
  const neighbour = taskRanges.find((range) => range.first + range.count === gap?.first) ?? taskRanges[0];
  return gap && neighbour ? mergeTaskRanges([...taskRanges, { block: neighbour.block, ...gap }]) : taskRanges;
}
