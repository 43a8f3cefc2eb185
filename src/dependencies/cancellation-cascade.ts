/** Cancels the open jobs that depend, directly or transitively, on a cancelled job. */
import { type Clock, sleep } from '../base/clock.js';
import type { Log } from '../base/log.js';
import type { Settings } from '../settings/settings.js';
import type { StoreClient } from '../store/client.js';
import type { CommitQueue } from '../store/commit-queue.js';
import type { StoreReplica } from '../store/store-replica.js';
import { outcomeKey } from '../wire/keys.js';
import { outcomeTransaction, writesPerOutcome } from '../wire/outcome-transaction.js';
import type { DependencyGraph } from './dependency-graph.js';

/** The part of the job index that the cascade reads. */
export interface OpenJobs {
  readonly dependencies: Pick<DependencyGraph, 'unresolved' | 'upstreamCancelled'>;
  /** Whether the replica of the store contains the record of the job. */
  isOpen(id: string): boolean;
  /**
   * The record of an open job, with the store revision of the record's latest change as its version;
   * undefined if the job is not open.
   */
  openJob(id: string): { spec: { tasks: number }; version: number } | undefined;
}

/** The parts of the controller that the cascade uses. */
export interface CancellationCascadePorts {
  clock: Clock;
  /** Wall-clock time in ms since the epoch. */
  wallClock: () => number;
  log: Log;
  settings: Settings;
  store: Pick<StoreClient, 'failing'>;
  replica: StoreReplica;
  jobIndex: OpenJobs;
  /** Commit queue for background work: no user request waits for its commits. */
  commits: CommitQueue;
  isLeading: () => boolean;
  /**
   * Reads the outcome of a job from the store and records it in the replica. If the outcome cannot be read,
   * the replica stays unchanged.
   */
  readOutcome: (id: string) => Promise<void>;
}

/** Number of scans per heartbeat interval. A scan looks for unknown outcomes and for jobs to cancel. */
const scansPerHeartbeatInterval = 10;
/**
 * The leader cancels a job with a cancelled dependency without delay. If the job is still open after this
 * many heartbeat intervals, the other controllers cancel it too.
 */
const followerDelayHeartbeatIntervals = 2;

/**
 * Cancels jobs with a cancelled dependency. The set of these jobs depends only on the job records and
 * outcomes in the store, so every controller may run the cascade at any time. If two controllers commit an
 * outcome of the same job, the store refuses the second commit.
 */
export class CancellationCascade {
  /** Cancellation commits in flight, by job id. */
  private readonly commitsInFlight = new Map<string, Promise<void>>();

  constructor(private readonly ports: CancellationCascadePorts) {}

  /**
   * Cancels a job with a cancelled dependency. Concurrent calls for the same job share one commit. The
   * returned promise resolves even if the commit fails, so the caller has to look up the job's outcome in the
   * replica.
   */
  async cancel(id: string): Promise<void> {
    let commit = this.commitsInFlight.get(id);
    if (!commit) {
      commit = this.commitCancellation(id).finally(() => this.commitsInFlight.delete(id));
      this.commitsInFlight.set(id, commit);
    }
    await commit;
  }

  /**
   * Scans periodically until the signal is aborted. A scan is skipped if the store is failing or the replica
   * is not ready.
   */
  async run(signal: AbortSignal): Promise<void> {
    const { settings, store, replica } = this.ports;
    const isStopping = (): boolean => signal.aborted;
    while (!isStopping()) {
      await sleep(settings.heartbeatIntervalMs / scansPerHeartbeatInterval, signal);
      if (isStopping() || store.failing || !replica.ready) continue;
      await this.resolveAndCancel();
    }
  }

  /**
   * Reads the missing outcomes of dependencies into the replica, then cancels jobs with a cancelled
   * dependency. A controller that is not the leader cancels only jobs that have been due for cancellation for
   * `followerDelayHeartbeatIntervals`. One scan cancels no more jobs than fit into one transaction.
   */
  private async resolveAndCancel(): Promise<void> {
    const { jobIndex, readOutcome } = this.ports;
    const unresolved = jobIndex.dependencies.unresolved((id) => jobIndex.isOpen(id));
    await Promise.all([...unresolved].map((id) => readOutcome(id)));
    await Promise.all(this.dueCancellations().map((id) => this.cancel(id)));
  }

  private dueCancellations(): string[] {
    const { clock, settings, jobIndex, isLeading } = this.ports;
    const delayMs = isLeading() ? 0 : settings.heartbeatIntervalMs * followerDelayHeartbeatIntervals;
    const dueJobs: string[] = [];
    for (const [id, knownSince] of jobIndex.dependencies.upstreamCancelled()) {
      if (clock() - knownSince >= delayMs) dueJobs.push(id);
      if (dueJobs.length * writesPerOutcome >= settings.state.txnOps) break;
    }
    return dueJobs;
  }

  private async commitCancellation(id: string): Promise<void> {
    const { jobIndex, replica, commits, wallClock, log, readOutcome } = this.ports;
    const job = jobIndex.openJob(id);
    if (!job) return;
    const cancellation = { outcome: 'cancelled', tasks: job.spec.tasks, endedAt: wallClock() } as const;
    const { conditions, writes } = outcomeTransaction(id, job.version, cancellation);
    const outcome = await commits.commit(conditions, writes);
    if (outcome.kind === 'applied') {
      log.info(
        { event: 'dependent-cancelled', job: id },
        'job cancelled because a job that it depends on was cancelled',
      );
      replica.recordOutcome(outcomeKey(id), { value: writes[0].value, version: outcome.revision });
    } else if (outcome.kind === 'conflict' && outcome.failed.includes(outcomeKey(id))) {
      await readOutcome(id);
    }
  }
}
