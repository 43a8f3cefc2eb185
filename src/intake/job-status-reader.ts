/** Linearizable reads of job statuses, for all replies to users that contain a job status. */
import type { DependencyState } from '../dependencies/dependency-graph.js';
import type { StoreClient } from '../store/client.js';
import type { CommitQueue } from '../store/commit-queue.js';
import type { StoreReplica } from '../store/store-replica.js';
import { type Outcome, parseJobRecord } from '../wire/job-records.js';
import { jobKey, outcomeKey } from '../wire/keys.js';
import type { Condition } from '../wire/state.js';
import type { OutcomeReader } from './outcome-reader.js';

/** A job that has an outcome; outcomes never change. */
export interface EndedJob {
  kind: 'ended';
  outcome: Outcome;
  /** The number of the job's tasks; 0 if it is not known. */
  tasks: number;
}

/** The result of a status read. */
export type JobStatusResult =
  | EndedJob
  | { kind: 'open' }
  | { kind: 'never-accepted' }
  /** The status cannot be determined now; the user has to retry. */
  | { kind: 'unavailable' };

/** Whether a job was ever accepted, independent of its current status; `unavailable` if that is not known. */
export type Acceptance = 'accepted' | 'never-accepted' | 'unavailable';

/** The parts of the controller that the reader uses. */
export interface JobStatusPorts {
  store: Pick<StoreClient, 'failing' | 'read'>;
  replica: StoreReplica;
  /** Commit queue for transactions that check conditions on versions and write nothing (comparisons). */
  comparisons: CommitQueue;
  outcomeReader: OutcomeReader;
  jobIndex: { dependencyState: (id: string) => DependencyState };
  /** Cancels jobs that depend on a cancelled job. */
  cascade: { cancel: (id: string) => Promise<void> };
  /**
   * Whether the replica is recent enough to contain every cancellation whose dependents must be cancelled by
   * now.
   */
  knowsCancellations: () => boolean;
}

/**
 * Reads job statuses linearizably across all controllers. After the user's request has arrived, each read
 * sends a transaction that checks versions in the store and writes nothing (a comparison). Therefore the
 * reported status was true at some moment after the arrival of the request.
 *
 * Concurrent reads may share a comparison that is still in the commit queue. They never share a comparison
 * in flight, because the store may already have executed it, and another controller may have confirmed an
 * outcome of the job since.
 */
export class JobStatusReader {
  constructor(private readonly ports: JobStatusPorts) {}

  /** Returns a status that the job had at some moment after this call. Never throws. */
  async read(id: string): Promise<JobStatusResult> {
    const endedJob = this.knownOutcome(id);
    if (endedJob) return endedJob;
    const comparedStatus = await this.compareWithStore(id);
    const result = comparedStatus.kind === 'open' ? await this.checkDependencies(id) : comparedStatus;
    // If the replica received an outcome while the store's response was in flight, the outcome is newer than
    // the response.
    return this.knownOutcome(id) ?? result;
  }

  /** Returns whether a job was ever accepted. Never throws. */
  async acceptance(id: string): Promise<Acceptance> {
    if (this.isRecorded(id) || this.knownOutcome(id)) return 'accepted';
    const { kind } = await this.compareWithStore(id);
    return kind === 'never-accepted' || kind === 'unavailable' ? kind : 'accepted';
  }

  /**
   * Returns the outcome of a job if the replica contains it. Outcomes never change, so the store need not be
   * read.
   */
  knownOutcome(id: string): EndedJob | undefined {
    const outcomeRecord = this.ports.replica.outcomeOf(id);
    return outcomeRecord && { kind: 'ended', outcome: outcomeRecord.outcome, tasks: outcomeRecord.tasks };
  }

  /**
   * Whether the replica contains the job's record. The transaction that commits a job's outcome deletes the
   * record.
   */
  isRecorded(id: string): boolean {
    return this.ports.replica.version(jobKey(id)) > 0;
  }

  private async compareWithStore(id: string): Promise<JobStatusResult> {
    const { replica, store, comparisons } = this.ports;
    if (store.failing || comparisons.full || !replica.ready) return { kind: 'unavailable' };
    const isRecorded = this.isRecorded(id);
    const noOutcome: Condition = { key: outcomeKey(id), version: 0 };
    const noJob: Condition = { key: jobKey(id), version: 0 };
    const outcome = await comparisons.commit(isRecorded ? [noOutcome] : [noOutcome, noJob], []);
    if (outcome.kind === 'applied') return { kind: isRecorded ? 'open' : 'never-accepted' };
    if (outcome.kind !== 'conflict') return { kind: 'unavailable' };
    return outcome.failed.includes(noOutcome.key) ? this.readOutcome(id) : { kind: 'open' };
  }

  /**
   * Returns the status of an open job with regard to its dependencies. A job with a cancelled dependency is
   * never reported as open, and it is reported as cancelled only after its own outcome is committed.
   */
  private async checkDependencies(id: string): Promise<JobStatusResult> {
    const { jobIndex, cascade, knowsCancellations } = this.ports;
    const hasDependencies = await this.hasDependencies(id);
    if (hasDependencies === undefined) return { kind: 'unavailable' };
    if (!hasDependencies) return { kind: 'open' };
    switch (jobIndex.dependencyState(id)) {
      case 'ready':
        return { kind: 'open' };
      case 'waiting':
        return { kind: knowsCancellations() ? 'open' : 'unavailable' };
      case 'unresolved':
        return { kind: 'unavailable' };
      case 'upstream-cancelled':
        await cascade.cancel(id);
        return this.knownOutcome(id) ?? { kind: 'unavailable' };
    }
  }

  /**
   * Whether the job has dependencies; undefined if its record cannot be read. If the replica does not contain
   * the record, the job was either just accepted or has just ended. The record is then read from the store.
   */
  private async hasDependencies(id: string): Promise<boolean | undefined> {
    const { replica, store } = this.ports;
    if (!this.isRecorded(id)) {
      const storedRecord = await store.read(jobKey(id), 'confirm').catch(() => undefined);
      if (storedRecord) replica.recordCommitted(storedRecord.key, storedRecord);
    }
    const record = parseJobRecord(replica.get(jobKey(id))?.value);
    return record && (record.spec.dependencies ?? []).length > 0;
  }

  /**
   * Reads the outcome of a job that has ended. If the outcome cannot be read, the result is `unavailable` and
   * the user has to retry.
   */
  private async readOutcome(id: string): Promise<JobStatusResult> {
    if (!this.knownOutcome(id)) await this.ports.outcomeReader.read(id);
    return this.knownOutcome(id) ?? { kind: 'unavailable' };
  }
}
