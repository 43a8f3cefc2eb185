/** The users' requests: submissions, questions and cancels, and the health check. */
import type { Clock } from '../base/clock.js';
import type { Log } from '../base/log.js';
import type { FastPathRoute, Reply, Route } from '../base/replies.js';
import type { JobIndex } from '../placement/job-index.js';
import { type JobStatus, isJobId, jobAnswer, jobDetails, jobIdIn, parseJob } from '../wire/jobs.js';
import { type CancelPorts, JobCanceller } from './job-canceller.js';
import { type JobStatusPorts, JobStatusReader, type JobStatusResult } from './job-status.js';
import { type SubmissionPorts, Submissions } from './submissions.js';

export interface IntakePorts extends SubmissionPorts, JobStatusPorts, CancelPorts {
  clock: Clock;
  wallClock: () => number;
  log: Log;
  store: SubmissionPorts['store'] & JobStatusPorts['store'];
  isUp: () => boolean;
  jobIndex: JobIndex;
}

const retrySoonS = 1;
const unknownJob: Reply = { status: 404, body: { error: 'no such job' } };

export class Intake {
  private readonly statuses: JobStatusReader;
  private readonly submissions: Submissions;
  private readonly canceller: JobCanceller;

  constructor(private readonly ports: IntakePorts) {
    this.statuses = new JobStatusReader(ports);
    this.submissions = new Submissions(ports, this.statuses);
    this.canceller = new JobCanceller(ports, this.statuses);
  }

  readonly routes: Route[] = [
    { method: 'POST', path: /^\/v2\/runs$/, handle: (body) => this.submit(body) },
    { method: 'GET', path: /^\/v2\/runs\/([^/]+)$/, handle: (_body, [id = '']) => this.query(id) },
    { method: 'POST', path: /^\/v2\/runs\/([^/]+)\/cancel$/, handle: (_body, [id = '']) => this.cancel(id) },
  ];

  readonly health: FastPathRoute = {
    method: 'GET',
    path: '/up',
    handle: (_body, answer) => answer({ status: this.ports.isUp() ? 200 : 503 }),
  };

  private async submit(body: unknown): Promise<Reply> {
    const job = parseJob(body, this.ports.wallClock());
    if (typeof job === 'string') return this.refuse(jobIdIn(body), { status: 400, body: { error: job } });
    const result = await this.submissions.submit(job);
    switch (result.kind) {
      case 'created':
        return { status: 201, body: jobAnswer(job.id, this.statuses.knownEnd(job.id)?.end ?? 'pending') };
      case 'accepted-before':
        return this.repeated(job.id, await this.statuses.read(job.id));
      case 'impossible':
        return this.refuse(job.id, { status: 422, body: { error: result.reason } });
      case 'overloaded':
        return { status: 429, body: { error: 'overloaded' }, retryAfterS: result.retryAfterS };
      case 'unavailable':
        return this.unavailable();
    }
  }

  /** A repeated submission of an accepted job is never refused, whatever it says and the types are by now. */
  private async refuse(id: string | undefined, refusal: Reply): Promise<Reply> {
    if (id === undefined) return refusal;
    const result = await this.statuses.read(id);
    return result.kind === 'never-accepted' ? refusal : this.repeated(id, result);
  }

  private repeated(id: string, result: JobStatusResult): Reply {
    switch (result.kind) {
      case 'ended':
        return { status: 200, body: jobAnswer(id, result.end) };
      case 'open':
        return { status: 200, body: jobAnswer(id, this.statusNow(id)) };
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
        const done = result.end === 'done' ? result.tasks : 0;
        return { status: 200, body: jobDetails(id, result.end, done, 0) };
      }
      case 'open': {
        const { done, active } = this.ports.jobIndex.progress(id);
        return { status: 200, body: jobDetails(id, this.statusNow(id, active), done, active) };
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
        return { status: 200, body: jobAnswer(id, result.end) };
      case 'never-accepted':
        return unknownJob;
      case 'unavailable':
        return this.unavailable();
    }
  }

  /** Of a job that was shown to be open, or has ended since. Its progress may lag behind the leader by a commit or two. */
  private statusNow(id: string, active = this.ports.jobIndex.progress(id).active): JobStatus {
    const ended = this.statuses.knownEnd(id);
    if (ended) return ended.end;
    return active > 0 ? 'running' : 'pending';
  }

  /** Where another controller could have answered, the user is sent to it by ending the connection. */
  private unavailable(): Reply {
    return {
      status: 503,
      body: { error: 'state service' },
      retryAfterS: retrySoonS,
      close: !this.ports.isUp(),
    };
  }
}
