import type { Clock } from '../base/clock.js';
import type { Log } from '../base/log.js';
import type { LeanRoute, Reply, Route } from '../base/web.js';
import type { JobSpec, MachineType } from '../model/types.js';
import type { Census } from '../placement/census.js';
import type { Settings } from '../settings/settings.js';
import type { StoreClient } from '../store/client.js';
import type { CommitStage } from '../store/commit-stage.js';
import type { Mirror } from '../store/mirror.js';
import { type JobStatus, isJobId, jobAnswer, jobIdIn, jobDetails, parseJob } from '../wire/jobs.js';
import {
  type End,
  endKey,
  endRecord,
  type Part,
  jobKey,
  jobRecord,
  parseEnd,
  parseJobRecord,
} from '../wire/records.js';
import type { Condition } from '../wire/state.js';
import { whyImpossible } from './admission.js';

export interface IntakePorts {
  clock: Clock;
  wallClock: () => number;
  log: Log;
  settings: Settings;
  store: StoreClient;
  mirror: Mirror;
  /** Submissions and cancels. */
  writes: CommitStage;
  /** Compare-only commits that confirm what users are told. */
  confirms: CommitStage;
  types: () => ReadonlyMap<string, MachineType>;
  isUp: () => boolean;
  census: Census;
  /** The block that a new job belongs to; empty where the leader has to place it. */
  home: (spec: JobSpec) => Part[];
}

/** Open jobs that a controller keeps track of, per MB of its memory. */
const openJobsPerMb = 20;
const cancelTries = 3;
const retrySoonS = 1;
const retryOverloadS = 3;
/** A user waits 5 s for an answer and heeds a pause of up to 30 s. */
const longestWaitMs = 2000;
const retryLatestS = 20;

/** What an outside answer rests on: the store's word, never the mirror's alone. */
type Standing =
  { kind: 'ended'; end: End; tasks: number } | { kind: 'open' } | { kind: 'none' } | { kind: 'unsure' };

export class Intake {
  private readonly underWay = new Map<string, Promise<Reply>>();

  constructor(private readonly ports: IntakePorts) {}

  readonly routes: Route[] = [
    { method: 'POST', path: /^\/v2\/runs$/, handle: (body) => this.submit(body) },
    { method: 'GET', path: /^\/v2\/runs\/([^/]+)$/, handle: (_body, [id = '']) => this.query(id) },
    { method: 'POST', path: /^\/v2\/runs\/([^/]+)\/cancel$/, handle: (_body, [id = '']) => this.cancel(id) },
  ];

  readonly health: LeanRoute = {
    method: 'GET',
    path: '/up',
    handle: (_body, answer) => answer({ status: this.ports.isUp() ? 200 : 503 }),
  };

  /**
   * A repetition that comes while the first try is under way gets the same answer: another commit of the same job could
   * only be in vain, and a queue that its own repetitions make longer never gets shorter.
   */
  private async submit(body: unknown): Promise<Reply> {
    const job = parseJob(body, this.ports.wallClock());
    if (typeof job === 'string') return this.refuse(body, 400, job);
    const known = this.underWay.get(job.id);
    if (known) return known;
    const reply = this.accept(job);
    this.underWay.set(job.id, reply);
    try {
      return await reply;
    } finally {
      this.underWay.delete(job.id);
    }
  }

  private async accept(job: JobSpec): Promise<Reply> {
    const { mirror, settings, store, writes, types } = this.ports;
    if (mirror.version(jobKey(job.id)) > 0 || mirror.get(endKey(job.id))) return this.known(job.id);
    if (types().size === 0 || !mirror.ready) return this.trouble('not ready');
    const impossible = whyImpossible(job, types().values(), settings.teams);
    if (impossible !== undefined) return this.refuse(job, 422, impossible);
    if (store.failing) return this.trouble('state service');
    // What would wait for longer than a user does is turned away at once, and told when its turn may come.
    const waitMs = store.writeWaitMs('intake', writes.writableLength);
    if (waitMs > longestWaitMs || writes.full || this.openJobs() > settings.quota.memoryMb * openJobsPerMb) {
      const retryAfterS = Math.min(retryLatestS, Math.max(retryOverloadS, waitMs / 1000));
      return { status: 429, body: { error: 'overloaded' }, retryAfterS };
    }
    const key = jobKey(job.id);
    const value = jobRecord({ spec: job, parts: this.ports.home(job) });
    const outcome = await writes.commit(
      [
        { key, version: 0 },
        { key: endKey(job.id), version: 0 },
      ],
      [{ put: key, value }],
    );
    if (outcome.kind === 'applied') {
      mirror.learn(key, { value, version: outcome.revision });
      return { status: 201, body: jobAnswer(job.id, 'pending') };
    }
    if (outcome.kind === 'conflict') return this.known(job.id);
    return this.trouble('state service');
  }

  /** A repeated submission of an accepted job is never refused, whatever it says and the types are by now. */
  private async refuse(body: unknown, status: 400 | 422, error: string): Promise<Reply> {
    const id = jobIdIn(body);
    const standing: Standing = id === undefined ? { kind: 'none' } : await this.standing(id);
    if (id === undefined || standing.kind === 'none') return { status, body: { error } };
    return this.known(id, standing);
  }

  private async known(id: string, found?: Standing): Promise<Reply> {
    const standing = found ?? (await this.standing(id));
    if (standing.kind === 'ended') return { status: 200, body: jobAnswer(id, standing.end) };
    if (standing.kind === 'open') return { status: 200, body: jobAnswer(id, this.progress(id).status) };
    return this.trouble('state service');
  }

  private async query(id: string): Promise<Reply> {
    if (!isJobId(id)) return { status: 404, body: { error: 'no such job' } };
    const standing = await this.standing(id);
    switch (standing.kind) {
      case 'ended':
        return {
          status: 200,
          body: jobDetails(id, standing.end, standing.end === 'done' ? standing.tasks : 0, 0),
        };
      case 'open': {
        const { status, done, running } = this.progress(id);
        return { status: 200, body: jobDetails(id, status, done, running) };
      }
      case 'none':
        return { status: 404, body: { error: 'no such job' } };
      case 'unsure':
        return this.trouble('state service');
    }
  }

  private async cancel(id: string): Promise<Reply> {
    const { mirror, store, writes } = this.ports;
    if (!isJobId(id)) return { status: 404, body: { error: 'no such job' } };
    const ended = parseEnd(mirror.get(endKey(id))?.value);
    if (ended) return { status: 200, body: jobAnswer(id, ended.end) };
    if (store.failing) return this.trouble('state service');
    // Cancels keep their room: they are taken even where submissions no longer are. The leader may deal the job anew
    // meanwhile, which gives its record a new version, so that is read and tried again before the user has to.
    let known = mirror.get(jobKey(id));
    for (let attempt = 0; attempt < cancelTries; attempt++) {
      if (!known) {
        try {
          known = await store.read(jobKey(id), 'intake');
        } catch {
          return this.trouble('state service');
        }
      }
      if (!known) break;
      const value = endRecord('cancelled', parseJobRecord(known.value)?.spec.tasks ?? 0);
      const outcome = await writes.commit(
        [
          { key: endKey(id), version: 0 },
          { key: jobKey(id), version: known.version },
        ],
        [{ put: endKey(id), value }, { drop: jobKey(id) }],
      );
      if (outcome.kind === 'applied') {
        mirror.learnEnd(endKey(id), { value, version: outcome.revision });
        return { status: 200, body: jobAnswer(id, 'cancelled') };
      }
      if (outcome.kind !== 'conflict') return this.trouble('state service');
      if (outcome.failed.includes(endKey(id))) break;
      known = undefined;
    }
    const standing = await this.standing(id);
    if (standing.kind === 'ended') {
      return { status: 200, body: jobAnswer(id, standing.end) };
    }
    return standing.kind === 'none'
      ? { status: 404, body: { error: 'no such job' } }
      : this.trouble('state service');
  }

  /**
   * Ends never change and may come from the mirror. That a job is still open, or was never accepted, another
   * controller may have made untrue a moment ago: a compare-only commit asks the store.
   */
  private async standing(id: string): Promise<Standing> {
    const { mirror, store, confirms } = this.ports;
    const cached = parseEnd(mirror.get(endKey(id))?.value);
    if (cached) return { kind: 'ended', ...cached };
    if (store.failing || confirms.full || !mirror.ready) return { kind: 'unsure' };
    const listed = mirror.version(jobKey(id)) > 0;
    const conditions: Condition[] = [{ key: endKey(id), version: 0 }];
    if (!listed) conditions.push({ key: jobKey(id), version: 0 });
    const outcome = await confirms.commit(conditions, []);
    if (outcome.kind === 'applied') return { kind: listed ? 'open' : 'none' };
    if (outcome.kind !== 'conflict') return { kind: 'unsure' };
    if (!outcome.failed.includes(endKey(id))) return { kind: 'open' };
    try {
      const item = await store.read(endKey(id), 'intake');
      const end = parseEnd(item?.value);
      if (!item || !end) return { kind: 'unsure' };
      mirror.learnEnd(endKey(id), item);
      return { kind: 'ended', ...end };
    } catch {
      return { kind: 'unsure' };
    }
  }

  /** For display: it may lag behind the leader by a commit or two. */
  private progress(id: string): { status: JobStatus; done: number; running: number } {
    const { done, active } = this.ports.census.progress(id);
    return { status: active > 0 ? 'running' : 'pending', done, running: active };
  }

  /** Where another controller could have answered, the user is sent to it by ending the connection. */
  private trouble(error: string): Reply {
    return { status: 503, body: { error }, retryAfterS: retrySoonS, close: !this.ports.isUp() };
  }

  private openJobs(): number {
    return this.ports.mirror.size;
  }
}
