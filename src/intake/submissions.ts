/** Handles submissions of jobs: validates a new job and commits its record to the store. */
import type { DependencyGraph } from '../dependencies/dependency-graph.js';
import type { JobSpec, MachineType } from '../model/types.js';
import type { Settings } from '../settings/settings.js';
import type { StoreClient } from '../store/client.js';
import type { CommitQueue } from '../store/commit-queue.js';
import type { StoreReplica } from '../store/store-replica.js';
import { jobRecord, outcomeRecord, type TaskRange } from '../wire/job-records.js';
import { jobKey, outcomeKey } from '../wire/keys.js';
import { impossibleReason, tooLargeReason } from './admission.js';
import type { JobStatusReader } from './job-status-reader.js';

/** The parts of the controller that submissions use. */
export interface SubmissionPorts {
  /** Wall-clock time in ms since the epoch. */
  wallClock: () => number;
  settings: Settings;
  store: Pick<StoreClient, 'failing' | 'writeWaitMs'>;
  replica: StoreReplica;
  /** Commit queue shared by submissions and cancellations. */
  writes: CommitQueue;
  machineTypes: () => ReadonlyMap<string, MachineType>;
  /**
   * Returns the task ranges of a new job and the block to which each range is dispatched (a block is a set of
   * machines managed by one controller). Empty if the leader has to dispatch the job.
   */
  initialRanges: (spec: JobSpec) => TaskRange[];
  jobIndex: { dependencies: Pick<DependencyGraph, 'hasCancelledUpstream'> };
  /**
   * Whether all controllers support dependencies. A controller of an earlier version would ignore the
   * dependencies of a job and start the job immediately.
   */
  supportsDependencies: () => boolean;
  /**
   * Whether the replica is recent enough to contain every cancellation whose dependents must be cancelled by
   * now.
   */
  knowsCancellations: () => boolean;
}

/** The result of a submission. */
export type SubmissionResult =
  /** The job was accepted by this submission. */
  | { kind: 'created' }
  /** The job was accepted by an earlier submission; the caller has to read its status. */
  | { kind: 'accepted-before' }
  | { kind: 'impossible'; reason: string }
  | { kind: 'overloaded'; retryAfterS: number }
  | { kind: 'unavailable' };

/**
 * Submissions are refused if the replica has more keys than this per MB of the controller's memory quota. The
 * limit bounds the number of open jobs of which a controller keeps track.
 */
const maxOpenJobsPerMb = 20;
/** Lower bound of `Retry-After`, in seconds, in the reply of an overloaded controller. */
const minOverloadRetryS = 3;
/**
 * A submission is refused if its commit would wait longer than this before it is sent. User requests time out
 * after 5 s.
 */
const maxWriteWaitMs = 2000;
/**
 * Upper bound of `Retry-After`, in seconds, in the reply of an overloaded controller. Users respect values of
 * up to 30 s.
 */
const maxOverloadRetryS = 20;

/**
 * Makes submissions idempotent: each job id is accepted once, even if users retry the submission at several
 * controllers.
 */
export class Submissions {
  /** Pending commits of new jobs, by job id. */
  private readonly commitsInFlight = new Map<string, Promise<SubmissionResult>>();

  constructor(
    private readonly ports: SubmissionPorts,
    private readonly statuses: JobStatusReader,
  ) {}

  /**
   * Validates and commits a job. If the client retries the submission while the first attempt is in flight,
   * the retry waits for the result of the first attempt. The caller then has to read the job's status,
   * because the store may have executed the first attempt before the retry arrived. Never throws.
   */
  async submit(job: JobSpec): Promise<SubmissionResult> {
    const { store, replica, machineTypes, settings } = this.ports;
    if (this.isKnownAccepted(job.id)) return { kind: 'accepted-before' };
    if (machineTypes().size === 0 || !replica.ready) return { kind: 'unavailable' };
    const reason =
      impossibleReason(job, machineTypes().values(), settings.teams) ??
      tooLargeReason(job, settings.state.valueBytes);
    if (reason !== undefined) return { kind: 'impossible', reason };
    const refusal = await this.checkDependencies(job);
    if (refusal) return refusal;
    const firstAttempt = this.commitsInFlight.get(job.id);
    if (firstAttempt) return resultForRetry(await firstAttempt);
    if (store.failing) return { kind: 'unavailable' };
    const retryAfterS = this.overloadRetryAfterS();
    if (retryAfterS !== undefined) return { kind: 'overloaded', retryAfterS };
    const result = this.commitJob(job);
    this.commitsInFlight.set(job.id, result);
    try {
      return await result;
    } finally {
      this.commitsInFlight.delete(job.id);
    }
  }

  /**
   * Returns the result of a submission that must not be committed because of its dependencies; undefined if
   * the dependencies allow the commit. Dependencies that are missing from the replica are looked up in the
   * store.
   */
  private async checkDependencies({ id, dependencies = [] }: JobSpec): Promise<SubmissionResult | undefined> {
    if (dependencies.length === 0) return undefined;
    if (dependencies.includes(id)) return { kind: 'impossible', reason: 'a job cannot need itself' };
    const { supportsDependencies, knowsCancellations } = this.ports;
    if (!supportsDependencies()) return { kind: 'unavailable' };
    const acceptances = await Promise.all(
      dependencies.map((dependency) => this.statuses.acceptance(dependency)),
    );
    // A retried submission of an accepted job is never refused because of its dependencies.
    if (this.isKnownAccepted(id)) return { kind: 'accepted-before' };
    if (acceptances.includes('unavailable') || !knowsCancellations()) return { kind: 'unavailable' };
    const unknownDependency = dependencies[acceptances.indexOf('never-accepted')];
    return unknownDependency === undefined
      ? undefined
      : { kind: 'impossible', reason: `${unknownDependency} was never accepted` };
  }

  /** Whether the replica shows that the job was accepted. */
  private isKnownAccepted(id: string): boolean {
    return this.statuses.isRecorded(id) || this.statuses.knownOutcome(id) !== undefined;
  }

  /**
   * Returns after how many seconds the user should retry if the submission has to be refused because of
   * overload; undefined if there is no overload.
   */
  private overloadRetryAfterS(): number | undefined {
    const { replica, settings, store, writes } = this.ports;
    const waitMs = store.writeWaitMs('intake', writes.writableLength);
    const tooManyJobs = replica.size > settings.quota.memoryMb * maxOpenJobsPerMb;
    if (waitMs <= maxWriteWaitMs && !writes.full && !tooManyJobs) return undefined;
    return Math.min(maxOverloadRetryS, Math.max(minOverloadRetryS, waitMs / 1000));
  }

  private async commitJob(job: JobSpec): Promise<SubmissionResult> {
    const { replica, initialRanges, jobIndex } = this.ports;
    if (jobIndex.dependencies.hasCancelledUpstream(job.dependencies ?? []))
      return this.commitAsCancelled(job);
    const key = jobKey(job.id);
    const value = jobRecord({ spec: job, taskRanges: initialRanges(job) });
    return this.commitAsNew(job.id, key, value, (version) =>
      replica.recordCommitted(key, { value, version }),
    );
  }

  /**
   * Accepts a job with a cancelled dependency. Instead of the job's record, its outcome `cancelled` is
   * committed.
   */
  private async commitAsCancelled(job: JobSpec): Promise<SubmissionResult> {
    const { replica, wallClock } = this.ports;
    const key = outcomeKey(job.id);
    const value = outcomeRecord({ outcome: 'cancelled', tasks: job.tasks, endedAt: wallClock() });
    return this.commitAsNew(job.id, key, value, (version) => replica.recordOutcome(key, { value, version }));
  }

  /**
   * Commits the record or outcome of a new job, on the condition that the store contains neither a record nor
   * an outcome of the job.
   */
  private async commitAsNew(
    id: string,
    key: string,
    value: unknown,
    onCommitted: (version: number) => void,
  ): Promise<SubmissionResult> {
    const conditions = [jobKey(id), outcomeKey(id)].map((absentKey) => ({ key: absentKey, version: 0 }));
    const outcome = await this.ports.writes.commit(conditions, [{ put: key, value }]);
    if (outcome.kind === 'conflict') return { kind: 'accepted-before' };
    if (outcome.kind !== 'applied') return { kind: 'unavailable' };
    onCommitted(outcome.revision);
    return { kind: 'created' };
  }
}

function resultForRetry(firstAttempt: SubmissionResult): SubmissionResult {
  return firstAttempt.kind === 'created' ? { kind: 'accepted-before' } : firstAttempt;
}
