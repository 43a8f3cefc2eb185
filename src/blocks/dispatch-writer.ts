/**
 * Commits to the job records, on behalf of the leader, which tasks of a job are dispatched to which blocks.
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
 * How many job records are written in one round, as a ratio of the changes that the store accepts per second
 * or per transaction, whichever is lower.
 */
const maxWritesRatio = 0.35;
const minWritesPerRound = 2;

/**
 * Writes the task ranges of jobs. A write is applied only if this controller still leads and the job's record
 * still has the version from which the ranges were computed.
 */
export class DispatchWriter {
  private lastAppliedRevision = 0;

  constructor(private readonly ports: DispatchWriterPorts) {}

  /**
   * Highest store revision of the commits of this writer; 0 before the first. The replica must reach this
   * revision before the next decision.
   */
  get committedRevision(): number {
    return this.lastAppliedRevision;
  }

  /** How many job records one round of dispatching, or one round of recalls, may write. */
  get maxWritesPerRound(): number {
    const { state } = this.ports.settings;
    return Math.max(minWritesPerRound, Math.min(state.txnOps, state.writeRps) * maxWritesRatio);
  }

  /** How many task ranges fit into the job's record within the size limit of a store value. */
  maxTaskRanges(spec: JobSpec): number {
    return maxTaskRanges(spec, this.ports.settings.state.valueBytes);
  }

  /**
   * Settles when the outcome of the commit is known. A commit that was not applied is not retried here: the
   * next round decides.
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
