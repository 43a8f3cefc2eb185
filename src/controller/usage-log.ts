/**
 * Periodically logs, for operators, this controller's writes to the store, its memory, the lengths of its
 * commit queues, the number of open jobs, and how it answered heartbeats.
 */
import { getHeapStatistics } from 'node:v8';

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
const kilobytesPerMb = 2 ** 10;
/** Time in ms from the first `load` line of a process to the second. Each further interval is twice as long. */
const firstLoadIntervalMs = 1000;

/** Logs the store changes, the memory and the queue lengths, and the answered heartbeats once per period. */
export class UsageLog {
  private loggedAt = -Infinity;
  private loadLoggedAt = -Infinity;
  private loadIntervalMs = firstLoadIntervalMs / 2;
  private heapPeakBytes = 0;

  constructor(private readonly ports: UsageLogPorts) {}

  /**
   * Logs the usage if at least one period has passed since the previous log. Soon after the start, the memory
   * and the queues are logged more often, so that a process that ends early leaves such lines.
   */
  logIfDue(): void {
    const now = this.ports.clock();
    const heapBytes = getHeapStatistics().used_heap_size;
    this.heapPeakBytes = Math.max(this.heapPeakBytes, heapBytes);
    const isPeriodOver = now - this.loggedAt >= this.ports.periodMs;
    if (isPeriodOver || now - this.loadLoggedAt >= this.loadIntervalMs) {
      this.loadLoggedAt = now;
      this.loadIntervalMs = Math.min(this.loadIntervalMs * 2, this.ports.periodMs);
      this.logLoad(heapBytes);
    }
    if (!isPeriodOver) return;
    this.loggedAt = now;
    this.logCounts();
  }

  private logLoad(heapBytes: number): void {
    const { log, queueLengths, openJobs } = this.ports;
    const memory = {
      heapMb: Math.round(heapBytes / bytesPerMb),
      heapPeakMb: Math.round(this.heapPeakBytes / bytesPerMb),
      memoryMb: Math.round(process.memoryUsage.rss() / bytesPerMb),
      memoryPeakMb: Math.round(process.resourceUsage().maxRSS / kilobytesPerMb),
    };
    this.heapPeakBytes = 0;
    log.info(
      { event: 'load', ...memory, queued: queueLengths(), open: openJobs() },
      'memory, lengths of the commit queues, and number of open jobs',
    );
  }

  private logCounts(): void {
    const { log, store, takeHeartbeatCounts } = this.ports;
    log.info(
      { event: 'store', ...store.takeChangeCounts() },
      'writes to the store since the previous log line with this event',
    );
    log.info(
      { event: 'heartbeats', ...takeHeartbeatCounts() },
      'answered heartbeats since the previous log line with this event',
    );
  }
}
