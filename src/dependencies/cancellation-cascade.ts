/** Cancels open jobs that depend, directly or through others, on a cancelled job. */
import { type Clock, sleep } from '../base/clock.js';
import type { Log } from '../base/log.js';
import type { Settings } from '../settings/settings.js';
import type { StoreClient } from '../store/client.js';
import type { CommitQueue } from '../store/commit-queue.js';
import type { Mirror } from '../store/mirror.js';
import { outcomeKey } from '../wire/keys.js';
import { changesPerOutcome, outcomeTransaction } from '../wire/outcome-transaction.js';
import type { DependencyGraph } from './dependency-graph.js';

/** The open jobs, as far as the cascade reads them. */
export interface OpenJobs {
  readonly dependencies: Pick<DependencyGraph, 'unresolved' | 'upstreamCancelled'>;
  /** Whether the replica holds a record of the job. */
  isOpen(id: string): boolean;
  /** The record of an open job with its version in the store; undefined where the job is not open. */
  openJob(id: string): { spec: { tasks: number }; version: number } | undefined;
}

/** What the cascade uses of the controller. */
export interface CancellationCascadePorts {
  clock: Clock;
  /** Time of day in ms. */
  wallClock: () => number;
  log: Log;
  settings: Settings;
  store: Pick<StoreClient, 'failing'>;
  mirror: Mirror;
  jobIndex: OpenJobs;
  /** Queue of commits that no user waits for. */
  commits: CommitQueue;
  isLeading: () => boolean;
  /** Reads the outcome of a job into the replica; leaves the replica as it is where none can be read. */
  readOutcome: (id: string) => Promise<void>;
}

/** Scans for unknown outcomes and for jobs to cancel, per heartbeat interval. */
const scansPerHeartbeatInterval = 10;
/** The leader cancels at once; the other controllers cancel what is left after this many heartbeat intervals. */
const followerDelayHeartbeatIntervals = 2;

/**
 * Cancels jobs with a cancelled dependency. Which jobs these are follows from stored records and outcomes alone, so every
 * controller may run it at any time: a job's outcome is written once, and a second attempt is refused by the store.
 */
export class CancellationCascade {
  /** Cancellations that are being committed, by job. */
  private readonly commitsInFlight = new Map<string, Promise<void>>();

  constructor(private readonly ports: CancellationCascadePorts) {}

  /**
   * Cancels a job with a cancelled dependency. Concurrent calls for one job share a commit. Settles whether or not the
   * commit was applied; the replica then tells the outcome.
   */
  async cancel(id: string): Promise<void> {
    let commit = this.commitsInFlight.get(id);
    if (!commit) {
      commit = this.commitCancellation(id).finally(() => this.commitsInFlight.delete(id));
      this.commitsInFlight.set(id, commit);
    }
    await commit;
  }

  /** Scans periodically until the signal fires. */
  async run(signal: AbortSignal): Promise<void> {
    const { settings, store, mirror } = this.ports;
    const isStopping = (): boolean => signal.aborted;
    while (!isStopping()) {
      await sleep(settings.heartbeatIntervalMs / scansPerHeartbeatInterval, signal);
      if (isStopping() || store.failing || !mirror.ready) continue;
      await this.resolveAndCancel();
    }
  }

  /** Reads outcomes of dependencies that are unknown here, then cancels what is due, a transaction's worth at a time. */
  private async resolveAndCancel(): Promise<void> {
    const { jobIndex, readOutcome } = this.ports;
    const unresolved = jobIndex.dependencies.unresolved((id) => jobIndex.isOpen(id));
    await Promise.all([...unresolved].map((id) => readOutcome(id)));
    await Promise.all(this.dueCancellations().map((id) => this.cancel(id)));
  }

  private dueCancellations(): string[] {
    const { clock, settings, jobIndex, isLeading } = this.ports;
    const delayMs = isLeading() ? 0 : settings.heartbeatIntervalMs * followerDelayHeartbeatIntervals;
    const due: string[] = [];
    for (const [id, since] of jobIndex.dependencies.upstreamCancelled()) {
      if (clock() - since >= delayMs) due.push(id);
      if (due.length * changesPerOutcome >= settings.state.txnOps) break;
    }
    return due;
  }

  private async commitCancellation(id: string): Promise<void> {
    const { jobIndex, mirror, commits, wallClock, log, readOutcome } = this.ports;
    const job = jobIndex.openJob(id);
    if (!job) return;
    const cancelled = { outcome: 'cancelled', tasks: job.spec.tasks, endedAt: wallClock() } as const;
    const { conditions, writes } = outcomeTransaction(id, job.version, cancelled);
    const outcome = await commits.commit(conditions, writes);
    if (outcome.kind === 'applied') {
      log.info({ event: 'dependent-cancelled', job: id }, 'cancelled with a job that it needs');
      mirror.recordOutcome(outcomeKey(id), { value: writes[0].value, version: outcome.revision });
    } else if (outcome.kind === 'conflict' && outcome.failed.includes(outcomeKey(id))) {
      await readOutcome(id);
    }
  }
}
