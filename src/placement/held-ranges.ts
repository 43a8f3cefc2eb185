/** Which tasks of a job the leader has assigned to one block. */
import type { TaskRange } from '../wire/job-records.js';

/** For most jobs these are all tasks, in a single range. */
export class HeldRanges {
  /** The block's ranges, by their first task. */
  readonly ranges: readonly TaskRange[];
  /** How many tasks they have. */
  readonly count: number;
  /** Of the blocks that have tasks of the job, the one with its first range commits its outcome. */
  readonly includesFirstRange: boolean;

  /** `allRanges`: those of all blocks, as the job's record has them. */
  constructor(allRanges: readonly TaskRange[], block: number) {
    this.ranges = allRanges.filter((range) => range.block === block).sort((a, b) => a.first - b.first);
    this.count = this.ranges.reduce((sum, range) => sum + range.count, 0);
    this.includesFirstRange = allRanges[0]?.block === block;
  }

  /** Whether the task is the block's. */
  has(index: number): boolean {
    return this.ranges.some(({ first, count }) => index >= first && index < first + count);
  }
}
