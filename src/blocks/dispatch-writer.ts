/**
 * Writes to the job records, on behalf of the leader, which tasks of a job are dispatched to which blocks. A
 * block is a set of machines with the tasks placed on them, leased to one controller.
 */
import type { Log } from '../base/log.js';
import type { JobSpec } from '../model/types.js';
import type { IndexedJob } from '../placement/job-index.js';
import type { Settings } from '../settings/settings.js';
import type { CommitQueue } from '../store/commit-queue.js';
import { jobRecord, maxTaskRanges, type TaskRange } from '../wire/job-records.js';
import { jobKey, leaderKey } from '../wire/keys.js';

/** The dependencies of a dispatch writer. */
export interface DispatchWriterPorts {
  log: Log;
  settings: Pick<Settings, 'state'>;
  commits: Pick<CommitQueue, 'commit'>;
  /** The term of the leader. Every commit is conditioned on its fencing token. */
  term: { readonly fencingToken: number };
}

/**
 * Maximum number of job records that are written in one round, as a fraction of the writes that the store
 * accepts per second or the operations that it accepts per transaction, whichever is lower.
 */
const maxWritesRatio = 0.35;
const minWritesPerRound = 2;

/**
 * Writes the task ranges of jobs. A task range dispatches consecutive tasks of a job to one block. A write is
 * applied only if this controller still leads and the version of the job record is still the version from
 * which the ranges were computed.
 */
export class DispatchWriter {
  private lastAppliedRevision = 0;

  constructor(private readonly ports: DispatchWriterPorts) {}

  /**
   * Highest store revision among the applied commits of this writer; 0 if no commit has been applied. The
   * replica of the store must have received this revision before further task ranges are computed.
   */
  get committedRevision(): number {
    return this.lastAppliedRevision;
  }

  /** Maximum number of job records that one round of dispatching, or one round of recalls, may write. */
  get maxWritesPerRound(): number {
    const { state } = this.ports.settings;
    return Math.max(minWritesPerRound, Math.min(state.txnOps, state.writeRps) * maxWritesRatio);
  }

  /**
   * Maximum number of task ranges with which the job's record stays within the size limit of a store value.
   */
  maxTaskRanges(spec: JobSpec): number {
    return maxTaskRanges(spec, this.ports.settings.state.valueBytes);
  }

  /**
   * Writes the task ranges to the record of the job. Settles when the outcome of the commit is known. A
   * commit that was not applied is not retried, because the next round computes the task ranges again.
   */
  async write(job: IndexedJob, taskRanges: TaskRange[]): Promise<void> {
    const { commits, log, term } = this.ports;
    const outcome = await commits.commit(
      [
        { key: leaderKey, version: term.fencingToken },
        { key: jobKey(job.id), version: job.version },
      ],
      [{ put: jobKey(job.id), value: jobRecord({ spec: job.spec, taskRanges }) }],
    );
    if (outcome.kind === 'applied')
      this.lastAppliedRevision = Math.max(this.lastAppliedRevision, outcome.revision);
    log.debug(
      { event: 'job-dispatched', job: job.id, taskRanges, outcome: outcome.kind },
      'commit of dispatched task ranges finished; if not applied, the next round dispatches the job again',
    );
  }
}
