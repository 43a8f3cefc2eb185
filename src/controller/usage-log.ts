/** Periodic log lines for the people on call: what the store's limits are spent on, memory, and queues. */
import type { Clock } from '../base/clock.js';
import type { Log } from '../base/log.js';
import type { StoreClient } from '../store/client.js';

/** What the log lines tell of. */
export interface UsageLogPorts {
  clock: Clock;
  log: Log;
  store: Pick<StoreClient, 'takeChangeCounts'>;
  /** Commits that wait in each queue. */
  queueLengths: () => Record<string, number>;
  /** Jobs that have not ended and wait for no other. */
  openJobs: () => number;
  /** Between two lines of a kind. */
  periodMs: number;
}

const bytesPerMb = 2 ** 20;

/** Logs the usage once a period. */
export class UsageLog {
  private loggedAt = -Infinity;

  constructor(private readonly ports: UsageLogPorts) {}

  /** Logs unless a period has not passed since the last time. */
  logIfDue(): void {
    const { clock, log, store, queueLengths, openJobs, periodMs } = this.ports;
    const now = clock();
    if (now - this.loggedAt < periodMs) return;
    this.loggedAt = now;
    log.info({ event: 'store', ...store.takeChangeCounts() }, 'changes of the state service');
    const heapMb = Math.round(process.memoryUsage().heapUsed / bytesPerMb);
    log.info({ event: 'load', heapMb, queued: queueLengths(), open: openJobs() }, 'memory and queues');
  }
}
