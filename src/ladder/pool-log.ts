/** Logs the state of the pools periodically, for operators. */
import type { Log } from '../base/log.js';
import type { JobIndex } from '../placement/job-index.js';
import { lateClasses } from '../placement/lateness.js';
import type { OperatorSettings } from '../settings/operator.js';
import type { Settings } from '../settings/settings.js';
import type { Pool } from './pools.js';

/** The parts of the controller that the log uses. */
export interface PoolLogPorts {
  log: Log;
  wallClock: () => number;
  settings: Pick<Settings, 'objectives'>;
  operator: Pick<OperatorSettings, 'ladder'>;
  jobIndex: Pick<JobIndex, 'jobs' | 'asQueuedJob'>;
}

/**
 * Logs the machines and the demand of each pool: at level `info` once per period (setting `ladder/periodS`),
 * and at level `debug` on all other evaluations.
 */
export class PoolLog {
  private lastLoggedAt = -Infinity;

  constructor(private readonly ports: PoolLogPorts) {}

  /**
   * Logs the pools. If job classes miss their objectives, the line at level `info` is followed by a second
   * line that lists these classes.
   */
  write(pools: Iterable<Pool>, now: number): void {
    const { log, operator } = this.ports;
    const isDue = now - this.lastLoggedAt >= operator.ladder.adjustmentPeriodS * 1000;
    if (!isDue && !log.isLevelEnabled('debug')) return;
    const fields = { event: 'pools', pools: [...pools].map((pool) => poolFields(pool)) };
    if (!isDue) {
      log.debug(fields, 'machines and demand of each pool');
      return;
    }
    log.info(fields, 'machines and demand of each pool');
    this.lastLoggedAt = now;
    this.logLateClasses();
  }

  private logLateClasses(): void {
    const { log, jobIndex, settings, wallClock } = this.ports;
    const jobs = [...jobIndex.jobs.values()].map((job) => jobIndex.asQueuedJob(job));
    const classes = lateClasses(settings.objectives, jobs, wallClock());
    if (classes.length > 0) log.info({ event: 'late', classes }, 'some job classes miss their objectives');
  }
}

function poolFields(pool: Pool): object {
  return {
    pool: pool.key,
    machines: pool.machines.length,
    draining: pool.draining.length,
    counted: Math.round(pool.countedSlots),
    waiting: [...pool.waitingSlotsByBlock].map(([block, slots]) => [block, Math.round(slots)]),
    undispatched: Math.round(pool.undispatchedSlots),
    exhausted: pool.exhausted,
  };
}
