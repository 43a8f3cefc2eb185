/** The ranges of a job's tasks that the leader has dispatched to one block. */
import type { TaskRange } from '../wire/job-records.js';

/** The block's task ranges of one job; for most jobs a single range with all tasks. */
export class DispatchedRanges {
  /** The block's ranges, sorted by their first task. */
  readonly ranges: readonly TaskRange[];
  /** Number of tasks in the block's ranges. */
  readonly count: number;
  /**
   * Whether the block has the job's first range. If several blocks have tasks of the job, the owner of this
   * block commits the job's outcome.
   */
  readonly includesFirstRange: boolean;

  /** `allRanges`: the ranges of all blocks, as in the job's record. */
  constructor(allRanges: readonly TaskRange[], block: number) {
    this.ranges = allRanges.filter((range) => range.block === block).sort((a, b) => a.first - b.first);
    this.count = this.ranges.reduce((sum, range) => sum + range.count, 0);
    this.includesFirstRange = allRanges[0]?.block === block;
  }

  /** Whether the task is in one of the block's ranges. */
  has(index: number): boolean {
    return this.ranges.some(({ first, count }) => index >= first && index < first + count);
  }
}
