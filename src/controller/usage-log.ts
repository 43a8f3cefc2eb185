/**
 * Periodically logs, for operators, this controller's writes to the store, its heap memory in use, the
 * lengths of its commit queues, the number of open jobs, and how it answered heartbeats.
 */
import type { Clock } from '../base/clock.js';
import type { Log } from '../base/log.js';
import type { StoreClient } from '../store/client.js';
import type { HeartbeatCounts } from '../workers/heartbeat-log.js';

/** The sources of the logged values. */
export interface UsageLogPorts {
  clock: Clock;
  log: Log;
  store: Pick<StoreClient, 'takeChangeCounts'>;
  /** Number of operations that wait in each commit queue. */
  queueLengths: () => Record<string, number>;
  /** Number of jobs that have not ended and do not wait for the end of other jobs. */
  openJobs: () => number;
  /** Returns how heartbeats were answered since the previous call. */
  takeHeartbeatCounts: () => HeartbeatCounts;
  /** Time in ms between two log lines with the same event. */
  periodMs: number;
}

const bytesPerMb = 2 ** 20;

/** Logs the store changes, the memory and the queue lengths, and the answered heartbeats once per period. */
export class UsageLog {
  private loggedAt = -Infinity;

  constructor(private readonly ports: UsageLogPorts) {}

  /** Logs the usage if at least one period has passed since the previous log. */
  logIfDue(): void {
    const { clock, log, store, queueLengths, openJobs, takeHeartbeatCounts, periodMs } = this.ports;
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
    log.info(
      { event: 'heartbeats', ...takeHeartbeatCounts() },
      'answered heartbeats since the previous log line with this event',
    );
  }
}
