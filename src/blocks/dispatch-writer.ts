/** The leader's commits of which tasks of a job are dispatched to which blocks. */
import type { Log } from '../base/log.js';
import type { JobSpec } from '../model/types.js';
import type { IndexedJob } from '../placement/job-index.js';
import type { Settings } from '../settings/settings.js';
import type { CommitQueue } from '../store/commit-queue.js';
import { jobRecord, maxTaskRanges, type TaskRange } from '../wire/job-records.js';
import { jobKey, leaderKey } from '../wire/keys.js';

/** What commits of dispatches work with. */
export interface DispatchWriterPorts {
  log: Log;
  settings: Pick<Settings, 'state'>;
  commits: Pick<CommitQueue, 'commit'>;
  /** The leader's term: its fencing token is a condition of every commit. */
  term: { readonly fencingToken: number };
}

/**
 * Jobs whose ranges are written in one round, as a ratio of the changes that the store takes in a second or a
 * transaction.
 */
const maxWritesRatio = 0.35;
const minWritesPerRound = 2;

/**
 * Writes the ranges of jobs, as long as the writer leads and the job's record is the one that the ranges are
 * based on.
 */
export class DispatchWriter {
  private lastAppliedRevision = 0;

  constructor(private readonly ports: DispatchWriterPorts) {}

  /**
   * The highest store revision of its commits, which the replica has to reach before the next decision; 0:
   * none yet.
   */
  get committedRevision(): number {
    return this.lastAppliedRevision;
  }

  /** How many jobs one round of dispatching, or of recalls, may write. */
  get maxWritesPerRound(): number {
    const { state } = this.ports.settings;
    return Math.max(minWritesPerRound, Math.min(state.txnOps, state.writeRps) * maxWritesRatio);
  }

  /** How many ranges the job's record can hold as a value of the store. */
  maxTaskRanges(spec: JobSpec): number {
    return maxTaskRanges(spec, this.ports.settings.state.valueBytes);
  }

  /** Settles when the commit is decided; one that was not applied is left to the next round. */
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
      'job dispatched to blocks',
    );
  }
}
