/** Handles cancel requests of users: cancels a job and the jobs that depend on it. */
import type { JobIndex } from '../placement/job-index.js';
import type { Settings } from '../settings/settings.js';
import type { StoreClient } from '../store/client.js';
import type { CommitQueue } from '../store/commit-queue.js';
import type { StoreReplica } from '../store/store-replica.js';
import { parseJobRecord } from '../wire/job-records.js';
import { jobKey, outcomeKey, type StoredValue } from '../wire/keys.js';
import {
  type OutcomeTransaction,
  outcomeTransaction,
  writesPerOutcome,
} from '../wire/outcome-transaction.js';
import type { JobStatusReader, JobStatusResult } from './job-status-reader.js';

/** The parts of the controller that the canceller uses. */
export interface JobCancellerPorts {
  store: Pick<StoreClient, 'failing' | 'read'>;
  /** Wall-clock time in ms since the epoch. */
  wallClock: () => number;
  settings: Settings;
  replica: StoreReplica;
  jobIndex: Pick<JobIndex, 'openJob' | 'dependencies'>;
  /** Commit queue shared by submissions and cancellations. */
  writes: CommitQueue;
}

/**
 * The result of a cancel request. If the job is still open, the result is `unavailable` and the user has to
 * retry.
 */
export type CancelResult = Exclude<JobStatusResult, { kind: 'open' }>;

/**
 * The result of committing a cancellation. `gone`: the job has no record, or already has an outcome.
 * `changed`: the job's record has changed in the store since it was read.
 */
type AttemptResult = 'cancelled' | 'gone' | 'changed' | 'unavailable';

/**
 * Maximum number of commit attempts for one cancel request. The first attempt uses the job record in the
 * replica. Each retry uses a record that was read from the store after the conflict.
 */
const maxAttempts = 3;

/**
 * Cancels a job by committing the outcome `cancelled`, on the condition that the job's record has not changed
 * since it was read.
 */
export class JobCanceller {
  constructor(
    private readonly ports: JobCancellerPorts,
    private readonly statuses: JobStatusReader,
  ) {}

  /**
   * Cancels a job and returns its outcome. A cancellation is reported only after it is committed. Never
   * throws.
   */
  async cancel(id: string): Promise<CancelResult> {
    const endedJob = this.statuses.knownOutcome(id);
    if (endedJob) return endedJob;
    if (this.ports.store.failing) return { kind: 'unavailable' };
    const attemptResult = await this.commitWithRetries(id);
    if (attemptResult === 'unavailable') return this.statuses.knownOutcome(id) ?? { kind: 'unavailable' };
    const result = await this.statuses.read(id);
    return result.kind === 'open' ? { kind: 'unavailable' } : result;
  }

  /**
   * Commits the cancellation. If the leader writes the job's record at the same time, the commit fails with a
   * conflict. The record is then read from the store, and the commit is retried with its new version.
   * Cancellations are accepted even if submissions are refused because of overload.
   */
  private async commitWithRetries(id: string): Promise<AttemptResult> {
    const { replica, store } = this.ports;
    let record: StoredValue | undefined = replica.get(jobKey(id));
    for (let attempts = 0; attempts < maxAttempts; attempts++) {
      try {
        record ??= await store.read(jobKey(id), 'intake');
      } catch {
        return 'unavailable';
      }
      if (!record) return 'gone';
      const attemptResult = await this.commitCancellation(id, record, attempts === 0);
      if (attemptResult !== 'changed') return attemptResult;
      record = undefined;
    }
    return 'changed';
  }

  private async commitCancellation(
    id: string,
    record: StoredValue,
    withDependents: boolean,
  ): Promise<AttemptResult> {
    const { replica, writes } = this.ports;
    const tasks = parseJobRecord(record.value)?.spec.tasks ?? 0;
    const jobCancellation = this.cancellation(id, record.version, tasks);
    const cancellations = [jobCancellation, ...(withDependents ? this.cancellationsOfDependents(id) : [])];
    const outcome = await writes.commit(
      cancellations.flatMap(({ conditions }) => conditions),
      cancellations.flatMap((cancellation) => cancellation.writes),
    );
    if (outcome.kind === 'applied') {
      const outcomes = cancellations.map((cancellation) => cancellation.writes[0]);
      replica.recordOutcomes(
        outcomes.map(({ put, value }) => ({ key: put, value, version: outcome.revision })),
      );
      return 'cancelled';
    }
    if (outcome.kind !== 'conflict') return 'unavailable';
    return outcome.failed.includes(outcomeKey(id)) ? 'gone' : 'changed';
  }

  private cancellation(id: string, jobVersion: number, tasks: number): OutcomeTransaction {
    return outcomeTransaction(id, jobVersion, {
      outcome: 'cancelled',
      tasks,
      endedAt: this.ports.wallClock(),
    });
  }

  /**
   * Returns the cancellations of the dependents that fit into the same transaction. `CancellationCascade`
   * cancels the other dependents.
   */
  private cancellationsOfDependents(id: string): OutcomeTransaction[] {
    const { jobIndex, settings } = this.ports;
    const maxDependents = Math.floor(settings.state.txnOps / writesPerOutcome) - 1;
    return jobIndex.dependencies
      .transitiveDependents(id)
      .slice(0, maxDependents)
      .flatMap((dependent) => {
        const job = jobIndex.openJob(dependent);
        return job ? [this.cancellation(dependent, job.version, job.spec.tasks)] : [];
      });
  }
}
