/**
 * Stored records of jobs: open jobs with the ranges of tasks that are dispatched to blocks, and the outcomes
 * of jobs.
 *
 * `job/<id>` is written by `Submissions` of the controller that accepts the job, later by the leader's
 * `DispatchWriter`. The commit that writes the job's outcome deletes it. Every controller reads it
 * (`JobIndex`, `BlockState`), and `Intake` reads it to answer users.
 *
 * | stored | in the code | unit |
 * | --- | --- | --- |
 * | `spec` | `spec` | see `job-spec-record.ts` |
 * | `parts` | `taskRanges` | list of [block, first, count]: numbers of a block and a task, count of tasks |
 *
 * `end/<id>` is written once: by the controller that cancels the job or finds that its last task is done
 * (`outcomeTransaction`), or by `Submissions`, in place of the job's record, if a submitted job depends on a
 * cancelled one. Every controller reads it.
 *
 * | stored | in the code | unit |
 * | --- | --- | --- |
 * | `end` | `outcome` | `done` or `cancelled` |
 * | `tasks` | `tasks` | count of the job's tasks |
 * | `at` | `endedAt` | time of day in ms; records of earlier versions lack it |
 */
import type { JobSpec } from '../model/types.js';
import { asList, asNumber, type Fields, isFieldMap, jsonSizeBytes } from './codec.js';
import { jobSpecRecord, parseJobSpec } from './job-spec-record.js';

/** How a job ended. The outcome of a job never changes. */
export type Outcome = 'done' | 'cancelled';

/** The record under `end/<id>`. */
export interface OutcomeRecord {
  outcome: Outcome;
  /** The number of the job's tasks, stored here to answer users after the job's record has been deleted. */
  tasks: number;
  /**
   * Time of day at which the job ended, in ms; the times of dependent jobs count from it. Undefined in
   * records of earlier versions.
   */
  endedAt?: number;
}

/** The stored form of an outcome. */
export function outcomeRecord(record: OutcomeRecord): unknown {
  const fields: Fields = { end: record.outcome, tasks: record.tasks };
  if (record.endedAt !== undefined) fields['at'] = record.endedAt;
  return fields;
}

/** Parses the outcome of a job; undefined if the job has none. */
export function parseOutcome(value: unknown): OutcomeRecord | undefined {
  if (!isFieldMap(value)) return undefined;
  const storedOutcome = value['end'];
  if (storedOutcome !== 'done' && storedOutcome !== 'cancelled') return undefined;
  const record: OutcomeRecord = { outcome: storedOutcome, tasks: asNumber(value['tasks']) };
  if (value['at'] !== undefined) record.endedAt = asNumber(value['at']);
  return record;
}

/** Consecutive tasks of a job that are dispatched to a block; the owner of the block places them. */
export interface TaskRange {
  block: number;
  first: number;
  count: number;
}

/** Bytes reserved in a job's record for the ranges of its tasks, as JSON: limits apply to that form. */
export const reservedTaskRangesBytes = 256;

/** Bytes that one range takes at most, as JSON. */
const bytesPerTaskRange = 24;

/**
 * How many ranges the record of a job can hold, at least 1, if a value of the state service has at most
 * `valueBytes` bytes.
 */
export function maxTaskRanges(spec: JobSpec, valueBytes: number): number {
  const bytes = valueBytes - jsonSizeBytes(jobRecord({ spec, taskRanges: [] }));
  return Math.max(1, Math.floor(bytes / bytesPerTaskRange));
}

/** The record under `job/<id>`: a job that has no outcome yet. */
export interface JobRecord {
  spec: JobSpec;
  /** The dispatched tasks. The leader has yet to dispatch all others: no block has had room for them. */
  taskRanges: TaskRange[];
}

/** The stored form of an open job. */
export function jobRecord(job: JobRecord): unknown {
  return {
    spec: jobSpecRecord(job.spec),
    parts: job.taskRanges.map((range) => [range.block, range.first, range.count]),
  };
}

/** Parses the record of an open job; undefined if there is none, or if it names no job. */
export function parseJobRecord(value: unknown): JobRecord | undefined {
  if (!isFieldMap(value) || !isFieldMap(value['spec']) || typeof value['spec']['id'] !== 'string')
    return undefined;
  return {
    spec: parseJobSpec(value['spec']),
    taskRanges: asList(value['parts']).map((part) => {
      const [block, first, count] = asList(part);
      return { block: asNumber(block), first: asNumber(first), count: asNumber(count) };
    }),
  };
}
