/**
 * Operations on the task ranges in the record of a job. A task range dispatches consecutive tasks of the job
 * to one block, which is a set of machines that is leased to one controller.
 */
import type { JobSpec } from '../model/types.js';
import type { TaskRange } from '../wire/job-records.js';

/** Consecutive tasks of a job that are not dispatched to a block yet. */
export type UndispatchedRange = Omit<TaskRange, 'block'>;

/**
 * Returns the tasks of a job that are not in any of its task ranges, in the order of their indexes. `tasks`:
 * the number of tasks of the job.
 */
export function undispatchedRanges(taskRanges: TaskRange[], tasks: number): UndispatchedRange[] {
  const gaps: UndispatchedRange[] = [];
  let next = 0;
  for (const { first, count } of [...taskRanges].sort((a, b) => a.first - b.first)) {
    if (first > next) gaps.push({ first: next, count: first - next });
    next = Math.max(next, first + count);
  }
  if (next < tasks) gaps.push({ first: next, count: tasks - next });
  return gaps;
}

/** Returns the number of tasks of a job that are not in any of its task ranges. */
export function countUndispatchedTasks(taskRanges: TaskRange[], tasks: number): number {
  return undispatchedRanges(taskRanges, tasks).reduce((sum, gap) => sum + gap.count, 0);
}

/**
 * Merges adjacent ranges of the same block. The block of the first range stays first in the result, because
 * that block commits the outcome of the job.
 */
export function mergeTaskRanges(taskRanges: TaskRange[]): TaskRange[] {
  const merged: TaskRange[] = [];
  for (const range of taskRanges) {
    const { block, first, count } = range;
    const before = merged.find((other) => other.block === block && other.first + other.count === first);
    const after = merged.find((other) => other.block === block && first + count === other.first);
    if (before) before.count += count;
    else if (after) {
      after.first = first;
      after.count += count;
    } else merged.push({ ...range });
  }
  return merged;
}

/** Returns a range that dispatches all tasks of the job to one block. */
export function wholeJob(spec: Pick<JobSpec, 'tasks'>, block: number): TaskRange {
  return { block, first: 0, count: spec.tasks };
}
