/** Cancels a job at its user's request, together with its dependents. */
import type { JobIndex } from '../placement/job-index.js';
import type { Settings } from '../settings/settings.js';
import type { StoreClient } from '../store/client.js';
import type { CommitQueue } from '../store/commit-queue.js';
import type { Mirror } from '../store/mirror.js';
import { parseJobRecord } from '../wire/job-records.js';
import { jobKey, outcomeKey, type StoredValue } from '../wire/keys.js';
import {
  changesPerOutcome,
  type OutcomeTransaction,
  outcomeTransaction,
} from '../wire/outcome-transaction.js';
import type { JobStatusReader, JobStatusResult } from './job-status-reader.js';

/** What the canceller uses of the controller. */
export interface JobCancellerPorts {
  store: Pick<StoreClient, 'failing' | 'read'>;
  /** Time of day in ms. */
  wallClock: () => number;
  settings: Settings;
  mirror: Mirror;
  jobIndex: Pick<JobIndex, 'openJob' | 'dependencies'>;
  /** Queue of commits for submissions and cancels. */
  writes: CommitQueue;
}

/** The result of a cancel: never an open job; where the job is still open its user has to retry (`unavailable`). */
export type CancelResult = Exclude<JobStatusResult, { kind: 'open' }>;

/** `gone`: the job has no record, or has an outcome. `changed`: the record has a newer version in the store. */
type AttemptResult = 'cancelled' | 'gone' | 'changed' | 'unavailable';

/** Commits of one cancel, each with a newer version of the job's record. */
const maxAttempts = 3;

/** Writes the outcome `cancelled` of a job as a transaction on the present version of its record. */
export class JobCanceller {
  constructor(
    private readonly ports: JobCancellerPorts,
    private readonly statuses: JobStatusReader,
  ) {}

  /** Cancels a job. Confirms a cancellation only once it is committed; never throws. */
  async cancel(id: string): Promise<CancelResult> {
    const known = this.statuses.knownOutcome(id);
    if (known) return known;
    if (this.ports.store.failing) return { kind: 'unavailable' };
    const attempt = await this.commitWithRetries(id);
    if (attempt === 'unavailable') return this.statuses.knownOutcome(id) ?? { kind: 'unavailable' };
    const result = await this.statuses.read(id);
    return result.kind === 'open' ? { kind: 'unavailable' } : result;
  }

  /**
   * The leader may write the job's record at the same time; then its new version is read and the commit tried again.
   * Cancels are accepted even while submissions are refused as overload.
   */
  private async commitWithRetries(id: string): Promise<AttemptResult> {
    const { mirror, store } = this.ports;
    let record: StoredValue | undefined = mirror.get(jobKey(id));
    for (let attempts = 0; attempts < maxAttempts; attempts++) {
      try {
        record ??= await store.read(jobKey(id), 'intake');
      } catch {
        return 'unavailable';
      }
      if (!record) return 'gone';
      const attempt = await this.commitCancellation(id, record, attempts === 0);
      if (attempt !== 'changed') return attempt;
      record = undefined;
    }
    return 'changed';
  }

  private async commitCancellation(
    id: string,
    record: StoredValue,
    withDependents: boolean,
  ): Promise<AttemptResult> {
    const { mirror, writes } = this.ports;
    const tasks = parseJobRecord(record.value)?.spec.tasks ?? 0;
    const own = this.cancellation(id, record.version, tasks);
    const all = [own, ...(withDependents ? this.cancellationsOfDependents(id) : [])];
    const outcome = await writes.commit(
      all.flatMap(({ conditions }) => conditions),
      all.flatMap((one) => one.writes),
    );
    if (outcome.kind === 'applied') {
      const outcomes = all.map((cancellation) => cancellation.writes[0]);
      mirror.recordOutcomes(
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

  /** Cancellations of as many dependents as the transaction has room for; the cascade cancels the others. */
  private cancellationsOfDependents(id: string): OutcomeTransaction[] {
    const { jobIndex, settings } = this.ports;
    const maxDependents = Math.floor(settings.state.txnOps / changesPerOutcome) - 1;
    return jobIndex.dependencies
      .transitiveDependents(id)
      .slice(0, maxDependents)
      .flatMap((dependent) => {
        const job = jobIndex.openJob(dependent);
        return job ? [this.cancellation(dependent, job.version, job.spec.tasks)] : [];
      });
  }
}
