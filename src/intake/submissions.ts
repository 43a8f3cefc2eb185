/** Accepts submissions: checks a new job and commits its record to the store. */
import type { DependencyGraph } from '../dependencies/dependency-graph.js';
import type { JobSpec, MachineType } from '../model/types.js';
import type { Settings } from '../settings/settings.js';
import type { StoreClient } from '../store/client.js';
import type { CommitQueue } from '../store/commit-queue.js';
import type { Mirror } from '../store/mirror.js';
import { jobRecord, outcomeRecord, type TaskRange } from '../wire/job-records.js';
import { jobKey, outcomeKey } from '../wire/keys.js';
import { impossibleReason, tooLargeReason } from './admission.js';
import type { JobStatusReader } from './job-status-reader.js';

/** What submissions use of the controller. */
export interface SubmissionPorts {
  /** Time of day in ms. */
  wallClock: () => number;
  settings: Settings;
  store: Pick<StoreClient, 'failing' | 'writeWaitMs'>;
  mirror: Mirror;
  /** Queue of commits for submissions and cancels. */
  writes: CommitQueue;
  machineTypes: () => ReadonlyMap<string, MachineType>;
  /** The first task ranges of a new job, each with its block; empty where the leader has to place it. */
  initialRanges: (spec: JobSpec) => TaskRange[];
  jobIndex: { dependencies: Pick<DependencyGraph, 'hasCancelledUpstream'> };
  /** Whether all controllers support dependencies: an earlier version would start such a job at once. */
  supportsDependencies: () => boolean;
  /** Whether every cancellation whose dependents have to be cancelled by now is known here. */
  knowsCancellations: () => boolean;
}

/** What became of a submission. */
export type SubmissionResult =
  /** This submission has recorded the job. */
  | { kind: 'created' }
  /** The job had been accepted before; its status has to be read. */
  | { kind: 'accepted-before' }
  | { kind: 'impossible'; reason: string }
  | { kind: 'overloaded'; retryAfterS: number }
  | { kind: 'unavailable' };

/** Open jobs that a controller keeps track of, per MB of its memory. */
const maxOpenJobsPerMb = 20;
/** Bounds of the `Retry-After` of an overloaded controller; users heed up to 30 s. */
const minOverloadRetryS = 3;
/** Longest wait for a commit that a submission is accepted with; users give up after 5 s. */
const maxWriteWaitMs = 2000;
const maxOverloadRetryS = 20;

/** Makes submissions idempotent: each job id is accepted once, whichever controllers its repetitions reach. */
export class Submissions {
  /** Commits of new jobs, by job. */
  private readonly commitsInFlight = new Map<string, Promise<SubmissionResult>>();

  constructor(
    private readonly ports: SubmissionPorts,
    private readonly statuses: JobStatusReader,
  ) {}

  /**
   * Checks and commits a job. A repetition that arrives while the first attempt is in flight waits for its result. That
   * tells only that the job was accepted: its status has to be read anew, since the first attempt is older than the
   * repetition. Never throws.
   */
  async submit(job: JobSpec): Promise<SubmissionResult> {
    const { store, mirror, machineTypes, settings } = this.ports;
    if (this.isKnown(job.id)) return { kind: 'accepted-before' };
    if (machineTypes().size === 0 || !mirror.ready) return { kind: 'unavailable' };
    const reason =
      impossibleReason(job, machineTypes().values(), settings.teams) ??
      tooLargeReason(job, settings.state.valueBytes);
    if (reason !== undefined) return { kind: 'impossible', reason };
    const refusal = await this.checkDependencies(job);
    if (refusal) return refusal;
    const firstAttempt = this.commitsInFlight.get(job.id);
    if (firstAttempt) return asRepetition(await firstAttempt);
    if (store.failing) return { kind: 'unavailable' };
    const retryAfterS = this.overloadedForS();
    if (retryAfterS !== undefined) return { kind: 'overloaded', retryAfterS };
    const result = this.record(job);
    this.commitsInFlight.set(job.id, result);
    try {
      return await result;
    } finally {
      this.commitsInFlight.delete(job.id);
    }
  }

  /** Why a job with these dependencies is refused; undefined where it is not. Asks the store for unknown dependencies. */
  private async checkDependencies({ id, dependencies = [] }: JobSpec): Promise<SubmissionResult | undefined> {
    if (dependencies.length === 0) return undefined;
    if (dependencies.includes(id)) return { kind: 'impossible', reason: 'a job cannot need itself' };
    const { supportsDependencies, knowsCancellations } = this.ports;
    if (!supportsDependencies()) return { kind: 'unavailable' };
    const found = await Promise.all(dependencies.map((dependency) => this.statuses.acceptance(dependency)));
    // A repetition of an accepted job is never refused for what it names.
    if (this.isKnown(id)) return { kind: 'accepted-before' };
    if (found.includes('unavailable') || !knowsCancellations()) return { kind: 'unavailable' };
    const unknown = dependencies[found.indexOf('never-accepted')];
    return unknown === undefined
      ? undefined
      : { kind: 'impossible', reason: `${unknown} was never accepted` };
  }

  private isKnown(id: string): boolean {
    return this.statuses.isRecorded(id) || this.statuses.knownOutcome(id) !== undefined;
  }

  /** Seconds after which a refused user should retry; undefined where the job can be taken. */
  private overloadedForS(): number | undefined {
    const { mirror, settings, store, writes } = this.ports;
    const waitMs = store.writeWaitMs('intake', writes.writableLength);
    const tooManyJobs = mirror.size > settings.quota.memoryMb * maxOpenJobsPerMb;
    if (waitMs <= maxWriteWaitMs && !writes.full && !tooManyJobs) return undefined;
    return Math.min(maxOverloadRetryS, Math.max(minOverloadRetryS, waitMs / 1000));
  }

  private async record(job: JobSpec): Promise<SubmissionResult> {
    const { mirror, initialRanges, jobIndex } = this.ports;
    if (jobIndex.dependencies.hasCancelledUpstream(job.dependencies ?? []))
      return this.recordAsCancelled(job);
    const key = jobKey(job.id);
    const value = jobRecord({ spec: job, taskRanges: initialRanges(job) });
    return this.commitAsNew(job.id, key, value, (version) => mirror.recordCommitted(key, { value, version }));
  }

  /** A job with a cancelled dependency is accepted and has the outcome `cancelled` at once. */
  private async recordAsCancelled(job: JobSpec): Promise<SubmissionResult> {
    const { mirror, wallClock } = this.ports;
    const key = outcomeKey(job.id);
    const value = outcomeRecord({ outcome: 'cancelled', tasks: job.tasks, endedAt: wallClock() });
    return this.commitAsNew(job.id, key, value, (version) => mirror.recordOutcome(key, { value, version }));
  }

  /** Commits the first entry of a job, on condition that it has neither a record nor an outcome. */
  private async commitAsNew(
    id: string,
    key: string,
    value: unknown,
    onCommitted: (version: number) => void,
  ): Promise<SubmissionResult> {
    const absent = [jobKey(id), outcomeKey(id)].map((absentKey) => ({ key: absentKey, version: 0 }));
    const outcome = await this.ports.writes.commit(absent, [{ put: key, value }]);
    if (outcome.kind === 'conflict') return { kind: 'accepted-before' };
    if (outcome.kind !== 'applied') return { kind: 'unavailable' };
    onCommitted(outcome.revision);
    return { kind: 'created' };
  }
}

function asRepetition(firstAttempt: SubmissionResult): SubmissionResult {
  return firstAttempt.kind === 'created' ? { kind: 'accepted-before' } : firstAttempt;
}
