/** Linearizable reads of a job's status: the only source of the statuses that users get. */
import type { DependencyState } from '../dependencies/dependency-graph.js';
import type { StoreClient } from '../store/client.js';
import type { CommitQueue } from '../store/commit-queue.js';
import type { Mirror } from '../store/mirror.js';
import { type Outcome, parseJobRecord } from '../wire/job-records.js';
import { jobKey, outcomeKey } from '../wire/keys.js';
import type { Condition } from '../wire/state.js';
import type { OutcomeReader } from './outcome-reader.js';

/** A job with an outcome, which never changes. */
export interface EndedJob {
  kind: 'ended';
  outcome: Outcome;
  /** The number of the job's tasks, where it is known. */
  tasks: number;
}

/** What a read can show of a job. */
export type JobStatusResult =
  | EndedJob
  | { kind: 'open' }
  | { kind: 'never-accepted' }
  /** Nothing can be shown now; the user has to retry. */
  | { kind: 'unavailable' };

/** Whether a job was ever accepted, whatever has become of it. */
export type Acceptance = 'accepted' | 'never-accepted' | 'unavailable';

/** What the reader uses of the controller. */
export interface JobStatusPorts {
  store: Pick<StoreClient, 'failing' | 'read'>;
  mirror: Mirror;
  /** Queue of transactions that compare and write nothing. */
  comparisons: CommitQueue;
  outcomeReader: OutcomeReader;
  jobIndex: { dependencyState: (id: string) => DependencyState };
  /** Cancels jobs that need a cancelled one. */
  cascade: { cancel: (id: string) => Promise<void> };
  /** Whether every cancellation whose dependents have to be cancelled by now is known here. */
  knowsCancellations: () => boolean;
}

/**
 * Reads of a job's status that are linearizable across all controllers. Each read sends a comparison to the store after it
 * was called, so its result held at some moment after the request had arrived. Concurrent reads share a transaction in the
 * commit queue, never one that is already in flight: another controller may have confirmed an outcome since that one was
 * executed.
 */
export class JobStatusReader {
  constructor(private readonly ports: JobStatusPorts) {}

  /** The status of a job at some moment after this call; never throws. */
  async read(id: string): Promise<JobStatusResult> {
    const known = this.knownOutcome(id);
    if (known) return known;
    const compared = await this.compareWithStore(id);
    const result = compared.kind === 'open' ? await this.checkDependencies(id) : compared;
    // An outcome learned while the answer was in flight is newer than the answer.
    return this.knownOutcome(id) ?? result;
  }

  /** Whether a job was ever accepted; never throws. */
  async acceptance(id: string): Promise<Acceptance> {
    if (this.isRecorded(id) || this.knownOutcome(id)) return 'accepted';
    const { kind } = await this.compareWithStore(id);
    return kind === 'never-accepted' || kind === 'unavailable' ? kind : 'accepted';
  }

  /** The outcome of a job, where the replica holds it; it never changes, so no read of the store is needed. */
  knownOutcome(id: string): EndedJob | undefined {
    const record = this.ports.mirror.outcomeOf(id);
    return record && { kind: 'ended', outcome: record.outcome, tasks: record.tasks };
  }

  /** Whether the replica holds the record of the job, which exists until the job has an outcome. */
  isRecorded(id: string): boolean {
    return this.ports.mirror.version(jobKey(id)) > 0;
  }

  private async compareWithStore(id: string): Promise<JobStatusResult> {
    const { mirror, store, comparisons } = this.ports;
    if (store.failing || comparisons.full || !mirror.ready) return { kind: 'unavailable' };
    const recorded = this.isRecorded(id);
    const noOutcome: Condition = { key: outcomeKey(id), version: 0 };
    const noJob: Condition = { key: jobKey(id), version: 0 };
    const outcome = await comparisons.commit(recorded ? [noOutcome] : [noOutcome, noJob], []);
    if (outcome.kind === 'applied') return { kind: recorded ? 'open' : 'never-accepted' };
    if (outcome.kind !== 'conflict') return { kind: 'unavailable' };
    return outcome.failed.includes(noOutcome.key) ? this.readOutcome(id) : { kind: 'open' };
  }

  /** A job with a cancelled dependency is shown as cancelled only, and not before its own outcome is committed. */
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

  /** Undefined where no record can be read: a job that is missing in the replica was just written, or has just ended. */
  private async hasDependencies(id: string): Promise<boolean | undefined> {
    const { mirror, store } = this.ports;
    if (!this.isRecorded(id)) {
      const item = await store.read(jobKey(id), 'confirm').catch(() => undefined);
      if (item) mirror.recordCommitted(item.key, item);
    }
    const record = parseJobRecord(mirror.get(jobKey(id))?.value);
    return record && (record.spec.dependencies ?? []).length > 0;
  }

  /** Without an answer the job is known to have an outcome, but not which: the user has to retry. */
  private async readOutcome(id: string): Promise<JobStatusResult> {
    if (!this.knownOutcome(id)) await this.ports.outcomeReader.read(id);
    return this.knownOutcome(id) ?? { kind: 'unavailable' };
  }
}
