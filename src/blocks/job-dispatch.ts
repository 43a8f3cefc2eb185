/** Which blocks the tasks of one job are dispatched to, by the free slots of the blocks. */
import { isZoneConstrained, type JobSpec } from '../model/types.js';
import type { TaskRange } from '../wire/job-records.js';
import type { CapacityEstimate } from './capacity-estimate.js';
import { mergeTaskRanges, undispatchedRanges, wholeJob } from './task-ranges.js';

/**
 * All tasks of the job in the one block that has free slots for them: a preferred one if there is such, else
 * the one with the most. Undefined: no block has room for all. Reserves nothing.
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

/** All tasks of the job over all blocks by their sizes, whether or not there is room. Reserves nothing. */
export function dispatchBySize(capacity: CapacityEstimate, spec: JobSpec): TaskRange[] {
  const blocks = capacity.slotsByBlock(spec);
  const [best] = blocks;
  if (!best) return [];
  if (isZoneConstrained(spec)) return [wholeJob(spec, best.block)];
  // One more than its size, so that a block without machines gets some as well.
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
 * The job's ranges with more of its tasks dispatched to where there are free slots, which are reserved.
 * `maxRanges`: how many ranges the job's record can hold. Undefined: there is no room for any further task.
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

/** All tasks go to one block, as soon as any of them could start there. */
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
 * The ranges with as many of the added ones as the record can hold. If it can hold none of them, a block that
 * has a neighbouring range gets the first gap, whether or not it has room: the job must not stay undispatched
 * for ever.
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
