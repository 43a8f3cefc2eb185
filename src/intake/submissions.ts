/** Accepts submissions: validates a new job and commits its record to the store. */
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
  /** Time of day in ms. */
  wallClock: () => number;
  settings: Settings;
  store: Pick<StoreClient, 'failing' | 'writeWaitMs'>;
  replica: StoreReplica;
  /** Commit queue shared by submissions and cancellations. */
  writes: CommitQueue;
  machineTypes: () => ReadonlyMap<string, MachineType>;
  /**
   * The initial task ranges of a new job, each with its block; empty if the leader has to dispatch the job.
   */
  initialRanges: (spec: JobSpec) => TaskRange[];
  jobIndex: { dependencies: Pick<DependencyGraph, 'hasCancelledUpstream'> };
  /**
   * Whether all controllers support dependencies. A controller of an earlier version would ignore them and
   * start the job at once.
   */
  supportsDependencies: () => boolean;
  /** Whether this controller knows every cancellation whose dependents must be cancelled by now. */
  knowsCancellations: () => boolean;
}

/** The result of a submission. */
export type SubmissionResult =
  /** This submission committed the job. */
  | { kind: 'created' }
  /** The job was accepted by an earlier submission; its status has to be read. */
  | { kind: 'accepted-before' }
  | { kind: 'impossible'; reason: string }
  | { kind: 'overloaded'; retryAfterS: number }
  | { kind: 'unavailable' };

/**
 * Limit of the replica's keys, per MB of the controller's memory quota, beyond which submissions are refused.
 * It bounds the open jobs that a controller keeps track of.
 */
const maxOpenJobsPerMb = 20;
/** Lower bound of `Retry-After`, in seconds, in the reply of an overloaded controller. */
const minOverloadRetryS = 3;
/** A submission is refused if its commit would wait longer than this; users time out after 5 s. */
const maxWriteWaitMs = 2000;
/**
 * Upper bound of `Retry-After`, in seconds, of an overloaded controller; users respect values of up to 30 s.
 */
const maxOverloadRetryS = 20;

/**
 * Makes submissions idempotent: each job id is accepted once, whichever controllers receive its repetitions.
 */
export class Submissions {
  /** Commits of new jobs in flight, by job id. */
  private readonly commitsInFlight = new Map<string, Promise<SubmissionResult>>();

  constructor(
    private readonly ports: SubmissionPorts,
    private readonly statuses: JobStatusReader,
  ) {}

  /**
   * Validates and commits a job. A repetition that arrives while the first attempt is in flight waits for the
   * result of the first attempt. That result shows only that the job was accepted: the status has to be read
   * again, because the first attempt may have been executed before the repetition arrived. Never throws.
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
    if (firstAttempt) return asRepetition(await firstAttempt);
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
   * Returns the result that ends the submission because of the job's dependencies; undefined if they allow
   * the job to be committed. Compares with the store for dependencies that the replica does not hold.
   */
  private async checkDependencies({ id, dependencies = [] }: JobSpec): Promise<SubmissionResult | undefined> {
    if (dependencies.length === 0) return undefined;
    if (dependencies.includes(id)) return { kind: 'impossible', reason: 'a job cannot need itself' };
    const { supportsDependencies, knowsCancellations } = this.ports;
    if (!supportsDependencies()) return { kind: 'unavailable' };
    const acceptances = await Promise.all(
      dependencies.map((dependency) => this.statuses.acceptance(dependency)),
    );
    // A repetition of an accepted job is never refused because of the dependencies that it lists.
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
   * Returns the seconds after which the user should retry if the job is refused as overload; undefined if it
   * is not.
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
   * Accepts a job with a cancelled dependency by committing its outcome `cancelled` instead of its record.
   */
  private async commitAsCancelled(job: JobSpec): Promise<SubmissionResult> {
    const { replica, wallClock } = this.ports;
    const key = outcomeKey(job.id);
    const value = outcomeRecord({ outcome: 'cancelled', tasks: job.tasks, endedAt: wallClock() });
    return this.commitAsNew(job.id, key, value, (version) => replica.recordOutcome(key, { value, version }));
  }

  /** Commits the first entry of a job on the condition that the job has neither a record nor an outcome. */
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

function asRepetition(firstAttempt: SubmissionResult): SubmissionResult {
  return firstAttempt.kind === 'created' ? { kind: 'accepted-before' } : firstAttempt;
}
