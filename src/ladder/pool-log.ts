/** Periodic log of the pools, for the people on call. */
import type { Log } from '../base/log.js';
import type { JobIndex } from '../placement/job-index.js';
import { lateClasses } from '../placement/lateness.js';
import type { OperatorSettings } from '../settings/operator.js';
import type { Settings } from '../settings/settings.js';
import type { Pool } from './pools.js';

/** What the log uses of the controller. */
export interface PoolLogPorts {
  log: Log;
  wallClock: () => number;
  settings: Pick<Settings, 'objectives'>;
  operator: Pick<OperatorSettings, 'ladder'>;
  jobIndex: Pick<JobIndex, 'jobs' | 'asQueuedJob'>;
}

/** Logs what machines there are and what is asked for, at `info` once a period and at `debug` with each evaluation. */
export class PoolLog {
  private loggedAt = -Infinity;

  constructor(private readonly ports: PoolLogPorts) {}

  /** Logs the pools where that is due, and with them the classes of jobs that run late. */
  write(pools: Iterable<Pool>, now: number): void {
    const { log, operator } = this.ports;
    const isDue = now - this.loggedAt >= operator.ladder.periodS * 1000;
    if (!isDue && !log.isLevelEnabled('debug')) return;
    const facts = { event: 'pools', pools: [...pools].map((pool) => poolFacts(pool)) };
    if (!isDue) {
      log.debug(facts, 'pools');
      return;
    }
    log.info(facts, 'pools');
    this.loggedAt = now;
    this.logLateClasses();
  }

  private logLateClasses(): void {
    const { log, jobIndex, settings, wallClock } = this.ports;
    const jobs = [...jobIndex.jobs.values()].map((job) => jobIndex.asQueuedJob(job));
    const classes = lateClasses(settings.objectives, jobs, wallClock());
    if (classes.length > 0) log.info({ event: 'late', classes }, 'classes run late');
  }
}

function poolFacts(pool: Pool): object {
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
