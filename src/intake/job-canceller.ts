/** Cancels jobs for their users. */
import type { StoreClient } from '../store/client.js';
import type { CommitQueue } from '../store/commit-queue.js';
import type { Mirror } from '../store/mirror.js';
import type { JobIndex } from '../placement/job-index.js';
import type { Settings } from '../settings/settings.js';
import {
  type OutcomeTransaction,
  changesPerOutcome,
  outcomeTransaction,
} from '../wire/outcome-transaction.js';
import { parseJobRecord } from '../wire/job-records.js';
import { type StoredValue, outcomeKey, jobKey } from '../wire/keys.js';
import type { JobStatusReader, JobStatusResult } from './job-status.js';

export interface CancelPorts {
  store: Pick<StoreClient, 'failing' | 'read'>;
  wallClock: () => number;
  settings: Settings;
  mirror: Mirror;
  jobIndex: Pick<JobIndex, 'openJob' | 'dependencies'>;
  /** Submissions and cancels. */
  writes: CommitQueue;
}

/** An open job is not a result of a cancel: its user has to try again. */
export type CancelResult = Exclude<JobStatusResult, { kind: 'open' }>;

/** `gone`: the job's record is not there, or its end has been decided. `changed`: the record has a newer version. */
type Attempt = 'cancelled' | 'gone' | 'changed' | 'unavailable';

const mostAttempts = 3;

export class JobCanceller {
  constructor(
    private readonly ports: CancelPorts,
    private readonly statuses: JobStatusReader,
  ) {}

  async cancel(id: string): Promise<CancelResult> {
    const ended = this.statuses.knownEnd(id);
    if (ended) return ended;
    if (this.ports.store.failing) return { kind: 'unavailable' };
    const attempt = await this.attemptRepeatedly(id);
    if (attempt === 'unavailable') return this.statuses.knownEnd(id) ?? { kind: 'unavailable' };
    const result = await this.statuses.read(id);
    return result.kind === 'open' ? { kind: 'unavailable' } : result;
  }

  /**
   * Cancels keep their room: they are taken even where submissions no longer are. The leader may give the job's record a
   * new version meanwhile, so that is read and tried again before the user has to.
   */
  private async attemptRepeatedly(id: string): Promise<Attempt> {
    const { mirror, store } = this.ports;
    let record: StoredValue | undefined = mirror.get(jobKey(id));
    for (let attempts = 0; attempts < mostAttempts; attempts++) {
      try {
        record ??= await store.read(jobKey(id), 'intake');
      } catch {
        return 'unavailable';
      }
      if (!record) return 'gone';
      const attempt = await this.attempt(id, record, attempts === 0);
      if (attempt !== 'changed') return attempt;
      record = undefined;
    }
    return 'changed';
  }

  private async attempt(id: string, record: StoredValue, withDependents: boolean): Promise<Attempt> {
    const { mirror, writes } = this.ports;
    const tasks = parseJobRecord(record.value)?.spec.tasks ?? 0;
    const own = this.cancellation(id, record.version, tasks);
    const all = [own, ...(withDependents ? this.cancellationsOfDependents(id) : [])];
    const outcome = await writes.commit(
      all.flatMap(({ conditions }) => conditions),
      all.flatMap((one) => one.writes),
    );
    if (outcome.kind === 'applied') {
      const ends = all.map((one) => one.writes[0]);
      mirror.recordOutcomes(ends.map(({ put, value }) => ({ key: put, value, version: outcome.revision })));
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

  /** As many of the jobs that need this one as the transaction has room for; the cascade cancels the others. */
  private cancellationsOfDependents(id: string): OutcomeTransaction[] {
    const { jobIndex, settings } = this.ports;
    const room = Math.floor(settings.state.txnOps / changesPerOutcome) - 1;
    return jobIndex.dependencies
      .transitiveDependents(id)
      .slice(0, room)
      .flatMap((dependent) => {
        const job = jobIndex.openJob(dependent);
        return job ? [this.cancellation(dependent, job.version, job.spec.tasks)] : [];
      });
  }
}
