/**
 * Users' submissions (`POST /v2/runs`) and the answers to users. `Intake` reads the one and writes the others.
 *
 * A submission:
 *
 * | wire | ours | unit |
 * | --- | --- | --- |
 * | `id` | `id` | `req-` and digits |
 * | `jobclass` | `jobClass` | name |
 * | `owner` | `team` | name |
 * | `shape` | not kept | `sweep` only |
 * | `urgency` | `urgency` | name |
 * | `pieces` | `tasks` | count, 1 to 100,000 |
 * | `cpus`, `accelerators` | the same | amount for each task |
 * | `memoryGb` | `memoryGb` | GB for each task |
 * | `bundle` | `image` | name |
 * | `pullGb` | `imageGb` | GB |
 * | `hulls` | `machineTypes` | list of names, or null |
 * | `berth` | `zone` | name, or null |
 * | `together` | `colocated` | boolean |
 * | `apart` | `spread` | boolean |
 * | `loaners` | `spot` | boolean |
 * | `expectS` | `estimatedRunS` | s |
 * | `savepointS` | `checkpointIntervalS` | s |
 * | `stowS` | `checkpointSaveS` | s |
 * | `dueS` | `deadlineS` | s from the submission, or null |
 * | `moorings` | `dependencies` | list of ids, or null |
 *
 * An answer about a job; `done` and `running` in answers to a question (`GET /v2/runs/{id}`) only:
 *
 * | wire | ours | unit |
 * | --- | --- | --- |
 * | `id` | `id` | as above |
 * | `status` | `JobStatus` | name |
 * | `done` | `done` | count of tasks that are completed |
 * | `running` | `running` | count of tasks that run |
 */
import * as v from 'valibot';

import type { JobSpec } from '../model/types.js';
import { isFields, text } from './codec.js';

const jobIdForm = /^req-\d{1,18}$/;

/** Whether the text has the form of a job's id. What has another form was never submitted. */
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

/**
 * A submission, or the reason why it is malformed: the first wrong field and what is wrong with it. `acceptedAt` is the time
 * of day in ms. A dependency that is named twice counts once.
 */
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

/** What a user is told of a job: `pending` until a task runs, then `running`, then its outcome. */
export type JobStatus = 'pending' | 'running' | 'done' | 'cancelled';

/** The answer to a submission or a cancellation. */
export function jobAnswer(id: string, status: JobStatus): unknown {
  return { id, status };
}

/** The answer to a question, with counts of tasks. */
export function jobDetails(id: string, status: JobStatus, done: number, running: number): unknown {
  return { id, status, done, running };
}
