/** Open jobs, with the blocks that their tasks are dispatched to, and the ends of jobs. */
import type { JobSpec } from '../model/types.js';
import { type Fields, isFields, list, number, sizeOf } from './codec.js';
import { jobSpecRecord, parseJobSpec } from './job-spec-record.js';

export type End = 'done' | 'cancelled';

export interface EndRecord {
  end: End;
  /** Kept for answers about a job whose record has gone. */
  tasks: number;
  /** Time of day of the end in ms: the times of dependent jobs count from it. Unknown for ends of earlier versions. */
  at?: number;
}

export function endRecord(record: EndRecord): unknown {
  const fields: Fields = { end: record.end, tasks: record.tasks };
  if (record.at !== undefined) fields['at'] = record.at;
  return fields;
}

export function parseEnd(value: unknown): EndRecord | undefined {
  if (!isFields(value)) return undefined;
  const end = value['end'];
  if (end !== 'done' && end !== 'cancelled') return undefined;
  const record: EndRecord = { end: end, tasks: number(value['tasks']) };
  if (value['at'] !== undefined) record.at = number(value['at']);
  return record;
}

/** Consecutive tasks of a job that are dispatched to a block, which places them. */
export interface Part {
  block: number;
  first: number;
  count: number;
}

/** Room that a job's record keeps for the ranges of its tasks, in the JSON form that limits are measured in. */
export const leastPartsBytes = 256;

/** Worst case of one range in that form. */
const bytesPerPart = 24;

/** How many ranges the record of a job may have as a value of the state service. */
export function mostParts(spec: JobSpec, valueBytes: number): number {
  const bytes = valueBytes - sizeOf(jobRecord({ spec, parts: [] }));
  return Math.max(1, Math.floor(bytes / bytesPerPart));
}

export interface JobRecord {
  spec: JobSpec;
  /** What no range covers has yet to be dispatched by the leader: no block had room for it so far. */
  parts: Part[];
}

export function jobRecord(job: JobRecord): unknown {
  return { spec: jobSpecRecord(job.spec), parts: job.parts.map((p) => [p.block, p.first, p.count]) };
}

export function parseJobRecord(value: unknown): JobRecord | undefined {
  if (!isFields(value) || !isFields(value['spec']) || typeof value['spec']['id'] !== 'string')
    return undefined;
  return {
    spec: parseJobSpec(value['spec']),
    parts: list(value['parts']).map((part) => {
      const [block, first, count] = list(part);
      return { block: number(block), first: number(first), count: number(count) };
    }),
  };
}
