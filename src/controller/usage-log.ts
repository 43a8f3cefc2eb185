/**
 * Periodically logs, for operators, this controller's writes to the store, its heap memory in use, the
 * lengths of its commit queues, and the number of open jobs.
 */
import type { Clock } from '../base/clock.js';
import type { Log } from '../base/log.js';
import type { StoreClient } from '../store/client.js';

/** The sources of the logged values. */
export interface UsageLogPorts {
  clock: Clock;
  log: Log;
  store: Pick<StoreClient, 'takeChangeCounts'>;
  /** Number of operations that wait in each commit queue. */
  queueLengths: () => Record<string, number>;
  /** Number of jobs that have not ended and do not wait for the end of other jobs. */
  openJobs: () => number;
  /** Time in ms between two log lines with the same event. */
  periodMs: number;
}

const bytesPerMb = 2 ** 20;

/** Logs the store changes, the heap memory and the queue lengths once per period. */
export class UsageLog {
  private loggedAt = -Infinity;

  constructor(private readonly ports: UsageLogPorts) {}

  /** Logs the usage if at least one period has passed since the previous log. */
  logIfDue(): void {
    const { clock, log, store, queueLengths, openJobs, periodMs } = this.ports;
    const now = clock();
    if (now - this.loggedAt < periodMs) return;
    this.loggedAt = now;
    log.info(
      { event: 'store', ...store.takeChangeCounts() },
      'writes to the store since the previous log line with this event',
    );
    const heapMb = Math.round(process.memoryUsage().heapUsed / bytesPerMb);
    log.info(
      { event: 'load', heapMb, queued: queueLengths(), open: openJobs() },
      'heap memory in use, lengths of the commit queues, and number of open jobs',
    );
  }
}
