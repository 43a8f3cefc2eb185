/**
 * Counts how heartbeats were answered, and logs the heartbeats that report tasks of ended jobs and were not
 * answered in the usual way.
 */
import type { Clock } from '../base/clock.js';
import type { Log } from '../base/log.js';
import type { Heartbeat, ReportedTask } from '../model/types.js';
import type { Settings } from '../settings/settings.js';

/**
 * How a heartbeat was handled. Only the first three are answered with status 200, which renews the worker's
 * lease.
 *
 * - `reconciled`, `unreconciled`, `stale`: see `ReconciliationStatus`
 * - `outcome-unknown`: the replica is too old to tell whether the job of a reported task has ended
 * - `cancellations-unknown`: `HeartbeatResponsePolicy` forbids the response
 * - `outranked`: the worker has received a higher fencing token
 * - `not-owned`: this controller does not own the machine
 * - `failed`: the handling failed with an error
 */
export type HeartbeatResult =
  | 'reconciled'
  | 'unreconciled'
  | 'stale'
  | 'outcome-unknown'
  | 'cancellations-unknown'
  | 'outranked'
  | 'not-owned'
  | 'failed';

/** A heartbeat with its response. */
export interface HeartbeatExchange {
  heartbeat: Heartbeat;
  result: HeartbeatResult;
  /** HTTP status of the response. */
  status: number;
  /** The machine's fencing token at this controller; undefined if this controller does not own the machine. */
  fencingToken: number | undefined;
  /** The reported tasks that have not ended and whose job has ended. A response with status 200 stops them. */
  endedJobTasks: readonly ReportedTask[];
}

/** The counts of a period. */
export interface HeartbeatCounts {
  results: Partial<Record<HeartbeatResult, number>>;
  /** Reported tasks of ended jobs that were answered with a stop. */
  stopped: number;
  /** Reported tasks of ended jobs whose heartbeat was refused, so that the worker's lease was not renewed. */
  refused: number;
  /** Heartbeats that would have been logged if the limit of lines had not been reached. */
  unlogged: number;
}

/** Dependencies of the log of heartbeats. */
export interface HeartbeatLogPorts {
  clock: Clock;
  log: Log;
  settings: Pick<Settings, 'cancelDeadlineMs' | 'workerLeaseMs'>;
  /** Revision of the replica of the store. */
  replicaRevision: () => number;
  /** Time in ms since the replica was last known to contain all changes of the store. */
  replicaAgeMs: () => number;
}

/** After a failover, the workers of all machines report their tasks of ended jobs at the same time. */
const maxLinesPerPeriod = 100;
const maxTasksPerLine = 5;
const maxTrackedJobs = 2000;

/** Counts and logs the heartbeats of one controller. */
export class HeartbeatLog {
  private results: HeartbeatCounts['results'] = {};
  private stopped = 0;
  private refused = 0;
  private lines = 0;
  /** Monotonic time in ms at which a task of the ended job was first reported, by job id. */
  private readonly firstReportedAt = new Map<string, number>();

  constructor(private readonly ports: HeartbeatLogPorts) {}

  /** Counts the heartbeat, and logs it if it reports tasks of ended jobs and was not answered as usual. */
  record(exchange: HeartbeatExchange): void {
    const { result, status, endedJobTasks } = exchange;
    this.results[result] = (this.results[result] ?? 0) + 1;
    if (endedJobTasks.length === 0) return;
    if (status === 200) this.stopped += endedJobTasks.length;
    else this.refused += endedJobTasks.length;
    const reportedForMs = this.reportedForMs(endedJobTasks);
    // A stop that a worker has received ends the task before the next heartbeat.
    const isUsual = result === 'reconciled' && reportedForMs < this.ports.settings.workerLeaseMs;
    if (!isUsual) this.writeLine(exchange, reportedForMs);
  }

  /** Returns the counts since the previous call, and resets them. */
  takeCounts(): HeartbeatCounts {
    const { results, stopped, refused, lines } = this;
    this.results = {};
    this.stopped = 0;
    this.refused = 0;
    this.lines = 0;
    return { results, stopped, refused, unlogged: Math.max(0, lines - maxLinesPerPeriod) };
  }

  private reportedForMs(tasks: readonly ReportedTask[]): number {
    const now = this.ports.clock();
    let earliest = now;
    for (const { job } of tasks) {
      const firstReportedAt = this.firstReportedAt.get(job);
      if (firstReportedAt === undefined) this.track(job, now);
      else earliest = Math.min(earliest, firstReportedAt);
    }
    return now - earliest;
  }

  private track(job: string, now: number): void {
    this.firstReportedAt.set(job, now);
    if (this.firstReportedAt.size <= maxTrackedJobs) return;
    const oldest = this.firstReportedAt.keys().next();
    if (!oldest.done) this.firstReportedAt.delete(oldest.value);
  }

  private writeLine(exchange: HeartbeatExchange, reportedForMs: number): void {
    this.lines++;
    if (this.lines > maxLinesPerPeriod) return;
    const { heartbeat, result, status, fencingToken, endedJobTasks } = exchange;
    const { log, settings, replicaRevision, replicaAgeMs } = this.ports;
    log.info(
      {
        event: 'ended-task-reported',
        machine: heartbeat.machine,
        result,
        status,
        fencingToken,
        workerToken: heartbeat.fencingToken,
        agentEpoch: heartbeat.agentEpoch,
        sequence: heartbeat.sequence,
        tasks: endedJobTasks.slice(0, maxTasksPerLine).map(nameOf),
        taskCount: endedJobTasks.length,
        stopped: status === 200,
        reportedForMs: Math.round(reportedForMs),
        deadlineWithinMs: Math.round(settings.cancelDeadlineMs - reportedForMs),
        revision: replicaRevision(),
        replicaAgeMs: Math.round(replicaAgeMs()),
      },
      'a worker executes tasks of jobs that have ended',
    );
  }
}

function nameOf({ job, index, attempt }: ReportedTask): string {
  return `${job}/${index}@${attempt}`;
}
