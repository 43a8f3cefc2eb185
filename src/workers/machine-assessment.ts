/** Which machines of a block have failed, as far as their heartbeats and tasks tell. */
import type { Log } from '../base/log.js';
import type { MachineType } from '../model/types.js';
import type { MachineState } from '../placement/machine-state.js';
import type { OperatorSettings } from '../settings/operator.js';
import { type FailureDetectionTimes, silentMachines } from './failure-detection.js';
import { findStragglers } from './straggler-detection.js';

/** What an assessment of machines follows from, beside their own states. */
export interface AssessmentPorts {
  log: Log;
  settings: FailureDetectionTimes;
  operator: Pick<OperatorSettings, 'workers'>;
  machineTypes: () => ReadonlyMap<string, MachineType>;
}

/** A machine may take so many leases to send its first heartbeat, however short the boot time of its type is. */
const minStartupLeases = 2;

/**
 * Sets the release reason of machines that have failed and did not have one, and has stragglers stop on the others, which
 * are released once they are empty. `now` is steady time in ms.
 */
export function markFailedMachines(
  machines: Iterable<MachineState>,
  now: number,
  ports: AssessmentPorts,
): void {
  const unmarked = [...machines].filter(({ releaseReason }) => releaseReason === undefined);
  for (const machine of unmarked) {
    stopStragglers(machine, now, ports.log);
    if (hasNeverStarted(machine, now, ports)) machine.releaseReason = 'never-started';
    if (isOneWayPartitioned(machine, now, ports)) machine.releaseReason = 'one-way-partition';
    if (isFaultyAndEmpty(machine)) machine.releaseReason = 'faulty';
  }
  const { missedHeartbeats } = ports.operator.workers;
  for (const machine of silentMachines(unmarked, now, ports.settings, missedHeartbeats)) {
    machine.releaseReason = 'silent';
  }
}

function stopStragglers(machine: MachineState, now: number, log: Log): void {
  for (const task of findStragglers(machine, now)) {
    task.stopping = true;
    machine.faulty = true;
    log.info(
      { event: 'straggler', machine: machine.id, job: task.job.id, task: task.index },
      'task runs far longer than others of its job',
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
    bootMs * operator.workers.bootTimes,
    settings.workerLeaseMs * minStartupLeases,
  );
  return now - leasedAt > startupLimitMs;
}

/** Its heartbeats arrive and it executes no commands: our responses do not reach it. */
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
