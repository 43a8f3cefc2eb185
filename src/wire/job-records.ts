/**
 * Open jobs, with the ranges of tasks that are dispatched to blocks, and the outcomes of jobs.
 *
 * `job/<id>`, written by `Submissions` of the controller that accepts the job, later by the leader's `DispatchWriter`, and
 * dropped with the outcome. Read by every controller (`JobIndex`, `BlockState`) and by `Intake` for its answers.
 *
 * | stored | ours | unit |
 * | --- | --- | --- |
 * | `spec` | `spec` | see `job-spec-record.ts` |
 * | `parts` | `taskRanges` | list of [block, first, count]: a block's number, a task's number, a count of tasks |
 *
 * `end/<id>`, written once, by whoever cancels the job or finds that its last task is done (`outcomeTransaction`), or by
 * `Submissions` in place of the record of a job that depends on a cancelled one. Read by every controller.
 *
 * | stored | ours | unit |
 * | --- | --- | --- |
 * | `end` | `outcome` | `done` or `cancelled` |
 * | `tasks` | `tasks` | count of the job's tasks |
 * | `at` | `endedAt` | time of day in ms; records of earlier versions lack it |
 */
import type { JobSpec } from '../model/types.js';
import { type Fields, isFields, list, number, sizeOf } from './codec.js';
import { jobSpecRecord, parseJobSpec } from './job-spec-record.js';

/** How a job ended. It never changes. */
export type Outcome = 'done' | 'cancelled';

/** The record under `end/<id>`. */
export interface OutcomeRecord {
  outcome: Outcome;
  /** Kept for answers about a job whose record has gone. */
  tasks: number;
  /** Time of day of the end in ms: the times of dependent jobs count from it. Unknown for ends of earlier versions. */
  endedAt?: number;
}

/** The stored form. */
export function outcomeRecord(record: OutcomeRecord): unknown {
  const fields: Fields = { end: record.outcome, tasks: record.tasks };
  if (record.endedAt !== undefined) fields['at'] = record.endedAt;
  return fields;
}

/** The record; undefined where the job has no outcome. */
export function parseOutcome(value: unknown): OutcomeRecord | undefined {
  if (!isFields(value)) return undefined;
  const end = value['end'];
  if (end !== 'done' && end !== 'cancelled') return undefined;
  const record: OutcomeRecord = { outcome: end, tasks: number(value['tasks']) };
  if (value['at'] !== undefined) record.endedAt = number(value['at']);
  return record;
}

/** Consecutive tasks of a job that are dispatched to a block, which places them. */
export interface TaskRange {
  block: number;
  first: number;
  count: number;
}

/** Room that a job's record keeps for the ranges of its tasks, in the JSON form that limits are measured in. */
export const minTaskRangesBytes = 256;

/** Worst case of one range in that form. */
const bytesPerTaskRange = 24;

/** How many ranges the record of a job may have as a value of the state service. */
export function maxTaskRanges(spec: JobSpec, valueBytes: number): number {
  const bytes = valueBytes - sizeOf(jobRecord({ spec, taskRanges: [] }));
  return Math.max(1, Math.floor(bytes / bytesPerTaskRange));
}

/** The record under `job/<id>`: a job that has no outcome yet. */
export interface JobRecord {
  spec: JobSpec;
  /** What no range covers has yet to be dispatched by the leader: no block had room for it so far. */
  taskRanges: TaskRange[];
}

/** The stored form. */
export function jobRecord(job: JobRecord): unknown {
  return { spec: jobSpecRecord(job.spec), parts: job.taskRanges.map((p) => [p.block, p.first, p.count]) };
}

/** The record; undefined where there is none. */
export function parseJobRecord(value: unknown): JobRecord | undefined {
  if (!isFields(value) || !isFields(value['spec']) || typeof value['spec']['id'] !== 'string')
    return undefined;
  return {
    spec: parseJobSpec(value['spec']),
    taskRanges: list(value['parts']).map((part) => {
      const [block, first, count] = list(part);
      return { block: number(block), first: number(first), count: number(count) };
    }),
  };
}
