/** Determines from heartbeats and tasks which machines of a block have failed. */
import type { Log } from '../base/log.js';
import type { WorkerTimes } from '../leadership/heartbeat-response-policy.js';
import type { MachineType } from '../model/types.js';
import type { MachineState, ReleaseReason } from '../placement/machine-state.js';
import type { OperatorSettings } from '../settings/operator.js';
import { silentMachines } from './failure-detection.js';
import { markForRelease } from './release-decision.js';
import { findStragglers } from './straggler-detection.js';

/** Dependencies of the assessment on the rest of the controller. */
export interface AssessmentPorts {
  log: Log;
  settings: WorkerTimes;
  operator: Pick<OperatorSettings, 'workers'>;
  machineTypes: () => ReadonlyMap<string, MachineType>;
}

/**
 * Minimum time that a machine is given to send its first heartbeat, in worker leases. Applies even if the
 * boot time of the machine's type is shorter.
 */
const minStartupLeases = 2;

/**
 * Sets the release reason of machines that have failed and have no release reason yet. Marks stragglers,
 * which are tasks that run far longer than others of their job, to be stopped, and marks their machines as
 * faulty. A faulty machine is released after it has no tasks left. `now` is a monotonic time in ms.
 */
export function markFailedMachines(
  machines: Iterable<MachineState>,
  now: number,
  ports: AssessmentPorts,
): void {
  const { log, operator, settings } = ports;
  const unmarkedMachines = [...machines].filter(({ releaseReason }) => releaseReason === undefined);
  const silent = new Set(silentMachines(unmarkedMachines, now, settings, operator.workers.missedHeartbeats));
  for (const machine of unmarkedMachines) {
    stopStragglers(machine, now, log);
    const reason = silent.has(machine) ? 'silent' : failureOf(machine, now, ports);
    if (reason !== undefined) markForRelease(machine, reason, now, log);
  }
}

/** Why the machine counts as failed although it is not silent; undefined if it does not. */
function failureOf(machine: MachineState, now: number, ports: AssessmentPorts): ReleaseReason | undefined {
  if (isFaultyAndEmpty(machine)) return 'faulty';
  if (isOneWayPartitioned(machine, now, ports)) return 'one-way-partition';
  return hasNeverStarted(machine, now, ports) ? 'never-started' : undefined;
}

function stopStragglers(machine: MachineState, now: number, log: Log): void {
  for (const task of findStragglers(machine, now)) {
    task.stopping = true;
    machine.faulty = true;
    log.info(
      { event: 'straggler', machine: machine.id, job: task.job.id, task: task.index },
      'task runs far longer than other tasks of its job; stopping the task and marking its machine as faulty',
    );
  }
}

function hasNeverStarted(
  { hasSentHeartbeat, tasks, leasedAt, info }: MachineState,
  now: number,
  { machineTypes, operator, settings }: AssessmentPorts,
): boolean {
  if (hasSentHeartbeat || tasks.size > 0) return false;
  const bootMs = (machineTypes().get(info.type)?.bootS ?? 0) * 1000;
  const startupLimitMs = Math.max(
    bootMs * operator.workers.bootTimeoutMultiple,
    settings.workerLeaseMs * minStartupLeases,
  );
  return now - leasedAt > startupLimitMs;
}

/**
 * Whether the machine sends heartbeats but has executed no commands for longer than the silence limit. The
 * responses of this controller then most likely do not reach the machine.
 */
function isOneWayPartitioned(
  machine: MachineState,
  now: number,
  { operator, settings }: AssessmentPorts,
): boolean {
  const since = machine.oneWayPartitionSince();
  const limitMs = settings.heartbeatIntervalMs * operator.workers.missedHeartbeats;
  return since !== undefined && now - since > limitMs;
}

function isFaultyAndEmpty({ faulty, tasks, orphanedTasks }: MachineState): boolean {
  return faulty && tasks.size === 0 && orphanedTasks.length === 0;
}
