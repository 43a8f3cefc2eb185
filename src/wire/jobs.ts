/**
 * Parses users' submissions (`POST /v2/runs`) and builds the responses to users. `Intake` uses both.
 *
 * A submission:
 *
 * | wire | in the code | unit or meaning |
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
 * A response about a job; `done` and `running` only in responses to a query (`GET /v2/runs/{id}`):
 *
 * | wire | in the code | unit or meaning |
 * | --- | --- | --- |
 * | `id` | `id` | as above |
 * | `status` | `JobStatus` | name |
 * | `done` | `done` | count of tasks that are completed |
 * | `running` | `running` | count of tasks that run |
 */
import * as v from 'valibot';

import type { JobSpec } from '../model/types.js';
import { asText, isFieldMap } from './codec.js';
import { topLevelText } from './message-tokens.js';

const jobIdPattern = /^req-\d{1,18}$/;

/** Whether the text has the form of a job id. A job whose id has another form cannot have been submitted. */
export function isJobId(id: string): boolean {
  return jobIdPattern.test(id);
}

/**
 * The job id of a submission whose other fields may be malformed. Undefined if the submission contains no
 * well-formed job id.
 */
export function submittedJobId(body: unknown): string | undefined {
  const id = isFieldMap(body) ? asText(body['id']) : '';
  return isJobId(id) ? id : undefined;
}

/** The job id of a submission that is malformed as a message. Undefined if there is no well-formed job id. */
export function malformedSubmissionId(message: Buffer): string | undefined {
  const id = topLevelText(message, 'id');
  return id !== undefined && isJobId(id) ? id : undefined;
}

const jobId = v.pipe(v.string(), v.regex(jobIdPattern));
const amount = v.pipe(v.number(), v.finite(), v.minValue(0), v.maxValue(1e9));
const shortText = v.pipe(v.string(), v.nonEmpty(), v.maxLength(200));

const submissionSchema = v.object({
  id: jobId,
  jobclass: shortText,
  owner: shortText,
  shape: v.literal('sweep'),
  urgency: v.picklist(['production', 'high', 'standard', 'best_effort']),
  pieces: v.pipe(v.number(), v.integer(), v.minValue(1), v.maxValue(100_000)),
  cpus: amount,
  accelerators: amount,
  memoryGb: amount,
  bundle: shortText,
  pullGb: amount,
  hulls: v.nullish(v.pipe(v.array(shortText), v.maxLength(100))),
  berth: v.nullish(shortText),
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
 * Parses a submission. Returns the job. If the submission is malformed, returns the path of the first invalid
 * field and the reason why the field is invalid. `acceptedAt` is the wall-clock time in ms since the epoch. A
 * dependency that is listed twice is kept once.
 */
export function parseJob(body: unknown, acceptedAt: number): JobSpec | string {
  const result = v.safeParse(submissionSchema, body, { abortEarly: true });
  if (!result.success) {
    const issue = result.issues[0];
    return `${v.getDotPath(issue) ?? 'body'}: ${issue.message}`;
  }
  const submission = result.output;
  const dependencies = [...new Set(submission.moorings ?? [])];
  return {
    id: submission.id,
    jobClass: submission.jobclass,
    team: submission.owner,
    urgency: submission.urgency,
    tasks: submission.pieces,
    cpus: submission.cpus,
    accelerators: submission.accelerators,
    memoryGb: submission.memoryGb,
    image: submission.bundle,
    imageGb: submission.pullGb,
    machineTypes: submission.hulls ?? null,
    zone: submission.berth ?? null,
    colocated: submission.together,
    spread: submission.apart,
    spot: submission.loaners,
    estimatedRunS: submission.expectS,
    checkpointIntervalS: submission.savepointS,
    checkpointSaveS: submission.stowS,
    deadlineS: submission.dueS ?? null,
    acceptedAt,
    ...(dependencies.length > 0 ? { dependencies } : {}),
  };
}

/**
 * The status of a job in responses to users: `pending` until a task runs, then `running`, then the outcome.
 */
export type JobStatus = 'pending' | 'running' | 'done' | 'cancelled';

/** The body of the response to a submission or a cancellation. */
export function jobStatusResponse(id: string, status: JobStatus): unknown {
  return { id, status };
}

/** The body of the response to a query. `done` and `running` are counts of tasks. */
export function jobDetailsResponse(id: string, status: JobStatus, done: number, running: number): unknown {
  return { id, status, done, running };
}
