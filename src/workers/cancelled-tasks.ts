/**
 * Determines by when a machine must be released because tasks of cancelled jobs may still be on it. The limit
 * counts from the cancellation, so it does not depend on which controller owns the machine, or since when.
 */
import { responseWindowMs, type WorkerTimes } from '../leadership/heartbeat-response-policy.js';
import type { Task } from '../placement/job-state.js';
import type { MachineState } from '../placement/machine-state.js';
import type { Settings } from '../settings/settings.js';
import type { OutcomeRecord } from '../wire/job-records.js';
import { maxHeartbeatGapIntervals } from './failure-detection.js';

/** The settings from which the limits are computed, in ms. */
export type CancellationTimes = WorkerTimes & Pick<Settings, 'clockErrorMs'>;

/** Looks up the recorded outcome of a job; undefined if this controller has not read it. */
export type OutcomeLookup = (jobId: string) => OutcomeRecord | undefined;

/** Limits for machines with tasks of a cancelled job, in ms. */
export interface CancelledTaskLimits {
  /** A silent machine is released when this time has passed since the cancellation. */
  silentMs: number;
  /**
   * Any machine is released when this time has passed since the cancellation, unless it sends this owner
   * heartbeats.
   */
  overdueMs: number;
  /** A machine counts as silent when this time has passed since its latest heartbeat to this owner. */
  silenceLimitMs: number;
  /** Maximum time between two heartbeats of a healthy worker. */
  maxHeartbeatGapMs: number;
}

/** The time of a check, and what the check depends on besides the machine. */
export interface CancelledTaskInputs {
  /** Monotonic time in ms. */
  now: number;
  /** Wall-clock time in ms since the epoch. */
  wallNow: number;
  limits: CancelledTaskLimits;
  outcomeOf: OutcomeLookup;
  /** For how long, in ms, the store was asked in vain for the outcome of the job; 0 if it was not asked. */
  unreadForMs: (jobId: string) => number;
}

/**
 * Part of the time between the expiry of a worker lease and the cancellation deadline that remains after the
 * latest request for a release. A controller that crashes shortly before the request has time to restart.
 */
const releaseMarginRatio = 1 / 4;

/**
 * Returns the limits for machines with tasks of cancelled jobs.
 *
 * A previous owner that does not know the cancellation may answer the machine until `responseWindowMs` after
 * the cancellation. Until then, and for the time that the machine needs to find its new owner, missing
 * heartbeats prove nothing. The release before the deadline takes precedence over this wait.
 */
export function cancelledTaskLimits(times: CancellationTimes, silenceLimitMs: number): CancelledTaskLimits {
  const { cancelDeadlineMs, workerLeaseMs, clockErrorMs, heartbeatIntervalMs } = times;
  const marginMs = (cancelDeadlineMs - workerLeaseMs) * releaseMarginRatio;
  // The cancellation was recorded by the clock of another controller.
  const maxClockDifferenceMs = 2 * clockErrorMs;
  const overdueMs = cancelDeadlineMs - marginMs - maxClockDifferenceMs;
  const silentMs = Math.min(responseWindowMs(times) + silenceLimitMs, overdueMs);
  const maxHeartbeatGapMs = heartbeatIntervalMs * maxHeartbeatGapIntervals;
  return { silentMs, overdueMs, silenceLimitMs, maxHeartbeatGapMs };
}

/**
 * Whether the machine must be released because of a task of a cancelled job. A machine that sends heartbeats
 * does not hang: it executes the stop in the response, or ends its tasks when its lease expires.
 */
export function hasOverdueTask(machine: MachineState, inputs: CancelledTaskInputs): boolean {
  const { now, limits } = inputs;
  const silentForMs = now - machine.lastHeartbeatAt;
  if (machine.hasSentHeartbeat && silentForMs <= limits.maxHeartbeatGapMs) return false;
  const isSilent = silentForMs > limits.silenceLimitMs;
  for (const { job } of endedTasks(machine)) {
    if (isOverdue(job.id, isSilent, inputs)) return true;
  }
  return false;
}

/** Whether a task of the ended job must be off its machine by now. */
function isOverdue(job: string, isSilent: boolean, inputs: CancelledTaskInputs): boolean {
  const { wallNow, limits, outcomeOf, unreadForMs } = inputs;
  const record = outcomeOf(job);
  if (record?.outcome === 'done') return false;
  // The time is unknown if the record could not be read, or if an earlier version wrote it without time. The
  // cancellation may be long past.
  if (record?.endedAt === undefined) return isSilent && unreadForMs(job) > limits.silenceLimitMs;
  return wallNow - record.endedAt > (isSilent ? limits.silentMs : limits.overdueMs);
}

/**
 * Returns the ids of the jobs of ended tasks on the machine whose outcome has to be read from the store: it is
 * unknown, or a peer has listed the cancellation without its time.
 */
export function jobsWithUnreadOutcome(machine: MachineState, outcomeOf: OutcomeLookup): string[] {
  const ids: string[] = [];
  for (const { job } of endedTasks(machine)) {
    const record = outcomeOf(job.id);
    const isListedOnly = record?.outcome === 'cancelled' && record.endedAt === undefined;
    if (record === undefined || isListedOnly) ids.push(job.id);
  }
  return ids;
}

/** The tasks of ended jobs that are, or may be, on the machine. A task in phase `placing` was never started. */
function* endedTasks({ tasks }: MachineState): Generator<Task> {
  for (const task of tasks.values())
    if (task.job.outcome !== undefined && task.phase !== 'placing') yield task;
}
