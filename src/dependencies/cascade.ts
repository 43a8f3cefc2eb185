/** Carries cancellations on to the jobs that need a cancelled one. */
import { type Clock, sleep } from '../base/clock.js';
import type { Log } from '../base/log.js';
import type { Settings } from '../settings/settings.js';
import type { StoreClient } from '../store/client.js';
import type { CommitQueue } from '../store/commit-queue.js';
import type { Mirror } from '../store/mirror.js';
import { changesPerOutcome, outcomeTransaction } from '../wire/outcome-transaction.js';
import { outcomeKey } from '../wire/keys.js';
import type { DependencyGraph } from './dependency-graph.js';

/** What the cascade reads of the open jobs. */
export interface OpenJobs {
  readonly dependencies: Pick<DependencyGraph, 'unresolved' | 'doomed'>;
  isOpen(id: string): boolean;
  /** The record of an open job, as far as the cascade needs it, with its version. */
  openJob(id: string): { spec: { tasks: number }; version: number } | undefined;
}

export interface CascadePorts {
  clock: Clock;
  wallClock: () => number;
  log: Log;
  settings: Settings;
  store: Pick<StoreClient, 'failing'>;
  mirror: Mirror;
  jobIndex: OpenJobs;
  /** Changes that are no user's request. */
  commits: CommitQueue;
  isLeading: () => boolean;
  /** Reads the end of a job into the copy of the store, where it is not known yet. */
  readEnd: (id: string) => Promise<void>;
}

/** Doomed jobs and unknown ends are looked for so often in a report interval. */
const looksPerReport = 10;
/** The leader cancels at once; the others cancel what it has left for so many report intervals. */
const patienceReports = 2;
/**
 * What has to be cancelled follows from the records and ends alone, so whichever controller comes upon it may do it, at any
 * time and again: each job's end is decided once, whoever asks.
 */
export class Cascade {
  private readonly underWay = new Map<string, Promise<void>>();

  constructor(private readonly ports: CascadePorts) {}

  /** Cancels a doomed job; the copy of the store says whether it came about. Those who ask together share a commit. */
  async cancel(id: string): Promise<void> {
    let commit = this.underWay.get(id);
    if (!commit) {
      commit = this.commitEnd(id).finally(() => this.underWay.delete(id));
      this.underWay.set(id, commit);
    }
    await commit;
  }

  async run(signal: AbortSignal): Promise<void> {
    const { settings, store, mirror } = this.ports;
    while (!signal.aborted) {
      await sleep(settings.heartbeatIntervalMs / looksPerReport, signal);
      if (signal.aborted || store.failing || !mirror.ready) continue;
      await this.look();
    }
  }

  /** Reads the ends that nothing here tells of, and cancels what is doomed, a transaction's worth at a time. */
  private async look(): Promise<void> {
    const { jobIndex, readEnd } = this.ports;
    const unresolved = jobIndex.dependencies.unresolved((id) => jobIndex.isOpen(id));
    await Promise.all([...unresolved].map((id) => readEnd(id)));
    await Promise.all(this.due().map((id) => this.cancel(id)));
  }

  private due(): string[] {
    const { clock, settings, jobIndex, isLeading } = this.ports;
    const patienceMs = isLeading() ? 0 : settings.heartbeatIntervalMs * patienceReports;
    const due: string[] = [];
    for (const [id, since] of jobIndex.dependencies.doomed()) {
      if (clock() - since >= patienceMs) due.push(id);
      if (due.length * changesPerOutcome >= settings.state.txnOps) break;
    }
    return due;
  }

  private async commitEnd(id: string): Promise<void> {
    const { jobIndex, mirror, commits, wallClock, log, readEnd } = this.ports;
    const job = jobIndex.openJob(id);
    if (!job) return;
    const end = { outcome: 'cancelled', tasks: job.spec.tasks, endedAt: wallClock() } as const;
    const { conditions, writes } = outcomeTransaction(id, job.version, end);
    const outcome = await commits.commit(conditions, writes);
    if (outcome.kind === 'applied') {
      log.info({ event: 'dependent-cancelled', job: id }, 'cancelled with a job that it needs');
      mirror.recordOutcome(outcomeKey(id), { value: writes[0].value, version: outcome.revision });
    } else if (outcome.kind === 'conflict' && outcome.failed.includes(outcomeKey(id))) await readEnd(id);
  }
}
