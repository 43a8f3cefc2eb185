import * as v from 'valibot';
import type { JobSpec } from '../model/types.js';
import { isFields, text } from './codec.js';

const jobIdForm = /^req-\d{1,18}$/;

export function isJobId(id: string): boolean {
  return jobIdForm.test(id);
}

/** The id that a submission names, whatever else is wrong with it. */
export function jobIdIn(body: unknown): string | undefined {
  const id = isFields(body) ? text(body['id']) : '';
  return isJobId(id) ? id : undefined;
}

const jobId = v.pipe(v.string(), v.regex(jobIdForm));
const amount = v.pipe(v.number(), v.finite(), v.minValue(0), v.maxValue(1e9));
const word = v.pipe(v.string(), v.nonEmpty(), v.maxLength(200));

const schema = v.object({
  id: jobId,
  jobclass: word,
  owner: word,
  shape: v.literal('sweep'),
  urgency: v.picklist(['production', 'high', 'standard', 'best_effort']),
  pieces: v.pipe(v.number(), v.integer(), v.minValue(1), v.maxValue(100_000)),
  cpus: amount,
  accelerators: amount,
  memoryGb: amount,
  bundle: word,
  pullGb: amount,
  hulls: v.nullish(v.pipe(v.array(word), v.maxLength(100))),
  berth: v.nullish(word),
  together: v.boolean(),
  apart: v.boolean(),
  loaners: v.boolean(),
  expectS: amount,
  savepointS: amount,
  stowS: amount,
  dueS: v.nullish(amount),
  moorings: v.nullish(v.array(jobId)),
});

/** A submission, or the reason why it is malformed. */
export function parseJob(body: unknown, acceptedAt: number): JobSpec | string {
  const result = v.safeParse(schema, body);
  if (!result.success) {
    const issue = result.issues[0];
    return `${v.getDotPath(issue) ?? 'body'}: ${issue.message}`;
  }
  const j = result.output;
  const dependencies = [...new Set(j.moorings ?? [])];
  return {
    id: j.id,
    jobClass: j.jobclass,
    team: j.owner,
    urgency: j.urgency,
    tasks: j.pieces,
    cpus: j.cpus,
    accelerators: j.accelerators,
    memoryGb: j.memoryGb,
    image: j.bundle,
    imageGb: j.pullGb,
    machineTypes: j.hulls ?? null,
    zone: j.berth ?? null,
    colocated: j.together,
    spread: j.apart,
    spot: j.loaners,
    estimatedRunS: j.expectS,
    checkpointIntervalS: j.savepointS,
    checkpointSaveS: j.stowS,
    deadlineS: j.dueS ?? null,
    acceptedAt,
    ...(dependencies.length > 0 ? { dependencies } : {}),
  };
}

export type JobStatus = 'pending' | 'running' | 'done' | 'cancelled';

export function jobAnswer(id: string, status: JobStatus): unknown {
  return { id, status };
}

export function jobDetails(id: string, status: JobStatus, done: number, running: number): unknown {
  return { id, status, done, running };
}
