/**
 * Stored records of jobs: open jobs with the ranges of tasks that are dispatched to blocks, and the outcomes
 * of jobs. A block is a set of machines that is leased to one controller, its owner.
 *
 * `job/<id>` is written by `Submissions` of the controller that accepts the job, and later by the leader's
 * `DispatchWriter`. The commit that writes the job's outcome deletes `job/<id>`. Every controller reads it
 * (`JobIndex`, `BlockState`), and `Intake` reads it to respond to users.
 *
 * | stored | in the code | unit or meaning |
 * | --- | --- | --- |
 * | `spec` | `spec` | see `job-spec-record.ts` |
 * | `parts` | `taskRanges` | list of [block, first, count]: numbers of a block and a task, count of tasks |
 *
 * `end/<id>` is written once, by the controller that cancels the job or finds that its last task is done
 * (`outcomeTransaction`). If a submitted job depends on a cancelled job, `Submissions` writes `end/<id>`
 * instead of `job/<id>`. Every controller reads it.
 *
 * | stored | in the code | unit or meaning |
 * | --- | --- | --- |
 * | `end` | `outcome` | `done` or `cancelled` |
 * | `tasks` | `tasks` | count of the job's tasks |
 * | `at` | `endedAt` | wall-clock time in ms since the epoch; records of earlier versions lack it |
 */
import type { JobSpec } from '../model/types.js';
import { asList, asNumber, type Fields, isFieldMap, jsonSizeBytes } from './codec.js';
import { jobSpecRecord, parseJobSpec } from './job-spec-record.js';

/** How a job ended. The outcome of a job never changes. */
export type Outcome = 'done' | 'cancelled';

/** The record under `end/<id>`. */
export interface OutcomeRecord {
  outcome: Outcome;
  /**
   * Number of tasks of the job. It is stored here because responses to users need it after the record of the
   * job has been deleted.
   */
  tasks: number;
  /**
   * Wall-clock time in ms since the epoch at which the job ended. The waiting times of dependent jobs count
   * from it. Undefined in records of earlier versions.
   */
  endedAt?: number;
}

/** The stored form of an outcome. */
export function outcomeRecord(record: OutcomeRecord): unknown {
  const fields: Fields = { end: record.outcome, tasks: record.tasks };
  if (record.endedAt !== undefined) fields['at'] = record.endedAt;
  return fields;
}

/** Parses the outcome of a job. Returns undefined if the job has no outcome. */
export function parseOutcome(value: unknown): OutcomeRecord | undefined {
  if (!isFieldMap(value)) return undefined;
  const storedOutcome = value['end'];
  if (storedOutcome !== 'done' && storedOutcome !== 'cancelled') return undefined;
  const record: OutcomeRecord = { outcome: storedOutcome, tasks: asNumber(value['tasks']) };
  if (value['at'] !== undefined) record.endedAt = asNumber(value['at']);
  return record;
}

/**
 * Consecutive tasks of a job that are dispatched to a block. The owner of the block places them on its
 * machines.
 */
export interface TaskRange {
  block: number;
  first: number;
  count: number;
}

/**
 * Size in bytes, as JSON, that is reserved in a job's record for the ranges of its tasks. Size limits refer
 * to the size as JSON.
 */
export const reservedTaskRangesBytes = 256;

/** Maximum size of one range in bytes, as JSON. */
const bytesPerTaskRange = 24;

/**
 * Maximum number of ranges that the record of a job can hold, at least 1. `valueBytes` is the maximum size of
 * a value in the state service.
 */
export function maxTaskRanges(spec: JobSpec, valueBytes: number): number {
  const bytes = valueBytes - jsonSizeBytes(jobRecord({ spec, taskRanges: [] }));
  return Math.max(1, Math.floor(bytes / bytesPerTaskRange));
}

/** The record under `job/<id>`: a job that has no outcome yet. */
export interface JobRecord {
  spec: JobSpec;
  /**
   * The dispatched tasks. The other tasks wait for their dispatch by the leader, because no block has had
   * room for them yet.
   */
  taskRanges: TaskRange[];
}

/** The stored form of an open job. */
export function jobRecord(job: JobRecord): unknown {
  return {
    spec: jobSpecRecord(job.spec),
    parts: job.taskRanges.map((range) => [range.block, range.first, range.count]),
  };
}

/**
 * Parses the record of an open job. Returns undefined if there is no record or if the record contains no job
 * id.
 */
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
