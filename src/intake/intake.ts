/** HTTP routes for user requests (submit a job, query its status, cancel it) and for the health check. */
import type { FastPathRoute, Reply, Route } from '../base/replies.js';
import type { JobIndex } from '../placement/job-index.js';
import {
  isJobId,
  jobDetailsResponse,
  type JobStatus,
  jobStatusResponse,
  malformedSubmissionId,
  parseJob,
  submittedJobId,
} from '../wire/jobs.js';
import { JobCanceller, type JobCancellerPorts } from './job-canceller.js';
import { type JobStatusPorts, JobStatusReader, type JobStatusResult } from './job-status-reader.js';
import { type SubmissionPorts, Submissions } from './submissions.js';

/** The parts of the controller that user requests need. */
export interface IntakePorts extends SubmissionPorts, JobStatusPorts, JobCancellerPorts {
  store: SubmissionPorts['store'] & JobStatusPorts['store'];
  /** Whether this controller can serve user requests now. */
  isServing: () => boolean;
  jobIndex: Pick<JobIndex, 'progress' | 'openJob' | 'dependencies' | 'dependencyState'>;
}

/** `Retry-After` of a 503 response, in seconds. */
const unavailableRetryS = 1;
const unknownJob: Reply = { status: 404, body: { error: 'no such job' } };

/**
 * Maps user requests to submissions, status reads and cancellations, and maps their results to HTTP replies.
 */
export class Intake {
  private readonly statuses: JobStatusReader;
  private readonly submissions: Submissions;
  private readonly canceller: JobCanceller;

  constructor(private readonly ports: IntakePorts) {
    this.statuses = new JobStatusReader(ports);
    this.submissions = new Submissions(ports, this.statuses);
    this.canceller = new JobCanceller(ports, this.statuses);
  }

  /** The routes for submit, query and cancel, in this order. */
  readonly routes: Route[] = [
    {
      method: 'POST',
      path: /^\/v2\/runs$/,
      handle: (body) => this.submit(body),
      // An earlier version may have accepted the job with such a submission.
      handleMalformed: (body, refusal) => this.refuseUnlessAccepted(malformedSubmissionId(body), refusal),
    },
    { method: 'GET', path: /^\/v2\/runs\/([^/]+)$/, handle: (_body, [id = '']) => this.query(id) },
    { method: 'POST', path: /^\/v2\/runs\/([^/]+)\/cancel$/, handle: (_body, [id = '']) => this.cancel(id) },
  ];

  /** The health check: 200 if this controller can serve user requests, else 503. */
  readonly health: FastPathRoute = {
    method: 'GET',
    path: '/up',
    handle: (_body, answer) => answer({ status: this.ports.isServing() ? 200 : 503 }),
  };

  private async submit(body: unknown): Promise<Reply> {
    const job = parseJob(body, this.ports.wallClock());
    if (typeof job === 'string')
      return this.refuseUnlessAccepted(submittedJobId(body), { status: 400, body: { error: job } });
    const result = await this.submissions.submit(job);
    switch (result.kind) {
      case 'created':
        return {
          status: 201,
          body: jobStatusResponse(job.id, this.statuses.knownOutcome(job.id)?.outcome ?? 'pending'),
        };
      case 'accepted-before':
        return this.replyToRetry(job.id, await this.statuses.read(job.id));
      case 'impossible':
        return this.refuseUnlessAccepted(job.id, { status: 422, body: { error: result.reason } });
      case 'overloaded':
        return { status: 429, body: { error: 'overloaded' }, retryAfterS: result.retryAfterS };
      case 'unavailable':
        return this.unavailable();
    }
  }

  /**
   * Returns `refusal` if the job was never accepted, else the reply with the job's status. A retried
   * submission of an accepted job is never refused, even if its content differs or the machine types have
   * changed.
   */
  private async refuseUnlessAccepted(id: string | undefined, refusal: Reply): Promise<Reply> {
    if (id === undefined) return refusal;
    const result = await this.statuses.read(id);
    return result.kind === 'never-accepted' ? refusal : this.replyToRetry(id, result);
  }

  private replyToRetry(id: string, result: JobStatusResult): Reply {
    switch (result.kind) {
      case 'ended':
        return { status: 200, body: jobStatusResponse(id, result.outcome) };
      case 'open':
        return { status: 200, body: jobStatusResponse(id, this.statusOfOpenJob(id)) };
      case 'never-accepted':
      case 'unavailable':
        return this.unavailable();
    }
  }

  private async query(id: string): Promise<Reply> {
    if (!isJobId(id)) return unknownJob;
    const result = await this.statuses.read(id);
    switch (result.kind) {
      case 'ended': {
        const done = result.outcome === 'done' ? result.tasks : 0;
        return { status: 200, body: jobDetailsResponse(id, result.outcome, done, 0) };
      }
      case 'open': {
        const { done, active } = this.ports.jobIndex.progress(id);
        return { status: 200, body: jobDetailsResponse(id, this.statusOfOpenJob(id, active), done, active) };
      }
      case 'never-accepted':
        return unknownJob;
      case 'unavailable':
        return this.unavailable();
    }
  }

  private async cancel(id: string): Promise<Reply> {
    if (!isJobId(id)) return unknownJob;
    const result = await this.canceller.cancel(id);
    switch (result.kind) {
      case 'ended':
        return { status: 200, body: jobStatusResponse(id, result.outcome) };
      case 'never-accepted':
        return unknownJob;
      case 'unavailable':
        return this.unavailable();
    }
  }

  /**
   * Returns the status of a job that was found open in the store.
   * @param id the job
   * @param active number of the job's tasks that are or may be on machines, by default read from the job
   *   index. The owner of each block commits these tasks to the block's ledger. The job index is updated from
   *   this controller's replica of the store, so it may be one or two of these commits behind.
   */
  private statusOfOpenJob(id: string, active = this.ports.jobIndex.progress(id).active): JobStatus {
    const endedJob = this.statuses.knownOutcome(id);
    if (endedJob) return endedJob.outcome;
    return active > 0 ? 'running' : 'pending';
  }

  /**
   * Returns a 503 reply. If this controller cannot serve user requests, the reply closes the connection so
   * that the retry reaches another controller.
   */
  private unavailable(): Reply {
    return {
      status: 503,
      body: { error: 'state service' },
      retryAfterS: unavailableRetryS,
      close: !this.ports.isServing(),
    };
  }
}
