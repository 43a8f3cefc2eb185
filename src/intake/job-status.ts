/** The one way in which a controller finds out what to tell a user about a job. */
import type { DependencyState } from '../dependencies/dependency-graph.js';
import type { Mirror } from '../store/mirror.js';
import type { StoreClient } from '../store/client.js';
import type { CommitQueue } from '../store/commit-queue.js';
import { type Outcome, parseJobRecord } from '../wire/job-records.js';
import { outcomeKey, jobKey } from '../wire/keys.js';
import type { Condition } from '../wire/state.js';
import type { EndReader } from './end-reader.js';

export interface EndedJob {
  kind: 'ended';
  end: Outcome;
  /** The number of the job's tasks, where it is known. */
  tasks: number;
}

export type JobStatusResult =
  | EndedJob
  | { kind: 'open' }
  | { kind: 'never-accepted' }
  /** Nothing can be shown now; the user is told to come back. */
  | { kind: 'unavailable' };

/** Whether a job was ever accepted, whatever has become of it. */
export type Acceptance = 'accepted' | 'never-accepted' | 'unavailable';

export interface JobStatusPorts {
  store: Pick<StoreClient, 'failing' | 'read'>;
  mirror: Mirror;
  /** Transactions that compare only. */
  confirms: CommitQueue;
  ends: EndReader;
  jobIndex: { dependencyState: (id: string) => DependencyState };
  /** Cancels jobs that need a cancelled one. */
  cascade: { cancel: (id: string) => Promise<void> };
  /**
   * Every cancellation that was confirmed long enough ago for its dependents to have to be cancelled by now is known here.
   */
  knowsCancellations: () => boolean;
}

/**
 * Reads of a job's status that are linearizable across all controllers. Each read sends a comparison of its own to the
 * state service after it was called, so that its result held at some moment after the request had arrived. Reads that
 * come together share a transaction in the commit stage, never an earlier one that is already on its way: another
 * controller may have told an end since that one was executed.
 */
export class JobStatusReader {
  constructor(private readonly ports: JobStatusPorts) {}

  async read(id: string): Promise<JobStatusResult> {
    const ended = this.knownEnd(id);
    if (ended) return ended;
    const compared = await this.compare(id);
    const result = compared.kind === 'open' ? await this.checkDependencies(id) : compared;
    // What was learned while the answer was on its way is newer than the answer.
    return this.knownEnd(id) ?? result;
  }

  async acceptance(id: string): Promise<Acceptance> {
    if (this.isRecorded(id) || this.knownEnd(id)) return 'accepted';
    const { kind } = await this.compare(id);
    return kind === 'never-accepted' || kind === 'unavailable' ? kind : 'accepted';
  }

  /** The end of the job, where this controller knows it. An end never changes, so it needs no further evidence. */
  knownEnd(id: string): EndedJob | undefined {
    const record = this.ports.mirror.outcomeOf(id);
    return record && { kind: 'ended', end: record.outcome, tasks: record.tasks };
  }

  /** True where the copy of the store holds a record of the job, which stays until the job's end is decided. */
  isRecorded(id: string): boolean {
    return this.ports.mirror.version(jobKey(id)) > 0;
  }

  private async compare(id: string): Promise<JobStatusResult> {
    const { mirror, store, confirms } = this.ports;
    if (store.failing || confirms.full || !mirror.ready) return { kind: 'unavailable' };
    const recorded = this.isRecorded(id);
    const noEnd: Condition = { key: outcomeKey(id), version: 0 };
    const noJob: Condition = { key: jobKey(id), version: 0 };
    const outcome = await confirms.commit(recorded ? [noEnd] : [noEnd, noJob], []);
    if (outcome.kind === 'applied') return { kind: recorded ? 'open' : 'never-accepted' };
    if (outcome.kind !== 'conflict') return { kind: 'unavailable' };
    return outcome.failed.includes(noEnd.key) ? this.readEnd(id) : { kind: 'open' };
  }

  /** A job whose dependency is cancelled is told as nothing else than cancelled, and not before its own end is decided. */
  private async checkDependencies(id: string): Promise<JobStatusResult> {
    const { jobIndex, cascade, knowsCancellations } = this.ports;
    const needsOthers = await this.hasDependencies(id);
    if (needsOthers === undefined) return { kind: 'unavailable' };
    if (!needsOthers) return { kind: 'open' };
    switch (jobIndex.dependencyState(id)) {
      case 'ready':
        return { kind: 'open' };
      case 'waiting':
        return { kind: knowsCancellations() ? 'open' : 'unavailable' };
      case 'unresolved':
        return { kind: 'unavailable' };
      case 'upstream-cancelled':
        await cascade.cancel(id);
        return this.knownEnd(id) ?? { kind: 'unavailable' };
    }
  }

  /** A record that the copy lacks was written a moment ago, or went a moment ago with the end of its job. */
  private async hasDependencies(id: string): Promise<boolean | undefined> {
    const { mirror, store } = this.ports;
    if (!this.isRecorded(id)) {
      const item = await store.read(jobKey(id), 'confirm').catch(() => undefined);
      if (item) mirror.recordCommitted(item.key, item);
    }
    const record = parseJobRecord(mirror.get(jobKey(id))?.value);
    return record && (record.spec.dependencies ?? []).length > 0;
  }

  /** Without an answer it is certain that the job has ended, but not how: the user has to ask again. */
  private async readEnd(id: string): Promise<JobStatusResult> {
    if (!this.knownEnd(id)) await this.ports.ends.read(id);
    return this.knownEnd(id) ?? { kind: 'unavailable' };
  }
}
