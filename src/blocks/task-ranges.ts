/** Arithmetic on the ranges of tasks that a job's record dispatches to blocks. */
import type { JobSpec } from '../model/types.js';
import type { TaskRange } from '../wire/job-records.js';

/** Consecutive tasks of a job that no block has yet. */
export type UndispatchedRange = Omit<TaskRange, 'block'>;

/**
 * The tasks of a job that none of its ranges covers, in the order of their indexes. `tasks`: how many the job
 * has.
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

/** How many of the job's tasks no range covers. */
export function countUndispatchedTasks(taskRanges: TaskRange[], tasks: number): number {
  return undispatchedRanges(taskRanges, tasks).reduce((sum, gap) => sum + gap.count, 0);
}

/**
 * Joins neighbouring ranges of the same block. The block of the first range stays first, since that block
 * commits the job's outcome.
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

/** One range with all tasks of a job. */
export function wholeJob(spec: Pick<JobSpec, 'tasks'>, block: number): TaskRange {
  return { block, first: 0, count: spec.tasks };
}
