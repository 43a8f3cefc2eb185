/**
 * The task ranges of a job that the leader has dispatched to one block. A block is a set of machines that is
 * leased to one controller.
 */
import type { TaskRange } from '../wire/job-records.js';

/** The task ranges of one job in one block. Most jobs have a single range, which contains all their tasks. */
export class DispatchedRanges {
  /** The ranges that are dispatched to the block, sorted by their first task. */
  readonly ranges: readonly TaskRange[];
  /** Number of tasks in the block's ranges. */
  readonly count: number;
  /**
   * Whether the first range in the job's record is dispatched to this block. If the job's ranges are
   * dispatched to several blocks, the owner of the block with the first range commits the job's outcome.
   */
  readonly includesFirstRange: boolean;

  /**
   * @param allRanges the ranges of all blocks, in the order of the job's record
   * @param block number of the block
   */
  constructor(allRanges: readonly TaskRange[], block: number) {
    this.ranges = allRanges.filter((range) => range.block === block).sort((a, b) => a.first - b.first);
    this.count = this.ranges.reduce((sum, range) => sum + range.count, 0);
    this.includesFirstRange = allRanges[0]?.block === block;
  }

  /** Whether the task with this index is in one of the block's ranges. */
  has(index: number): boolean {
    return this.ranges.some(({ first, count }) => index >= first && index < first + count);
  }
}
