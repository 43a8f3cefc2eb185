/** Finds the machines of one block that must be released because of tasks of cancelled jobs. */
import type { Log } from '../base/log.js';
import type { MachineState } from '../placement/machine-state.js';
import type { OperatorSettings } from '../settings/operator.js';
import {
  type CancellationTimes,
  type CancelledTaskLimits,
  cancelledTaskLimits,
  hasOverdueTask,
} from './cancelled-tasks.js';
import { MissingOutcomes, type MissingOutcomesPorts } from './missing-outcomes.js';
import { markForRelease } from './release-decision.js';

/** Dependencies of the monitor on the rest of the controller. */
export interface CancelledTaskMonitorPorts extends MissingOutcomesPorts {
  log: Log;
  /** Wall-clock time in ms since the epoch, by which the times of cancellations are recorded. */
  wallClock: () => number;
  settings: CancellationTimes;
  operator: Pick<OperatorSettings, 'workers'>;
}

/** Marks machines on which tasks of cancelled jobs may outlast the deadline of their cancellation. */
export class CancelledTaskMonitor {
  private readonly limits: CancelledTaskLimits;
  private readonly missingOutcomes: MissingOutcomes;

  constructor(private readonly ports: CancelledTaskMonitorPorts) {
    const { settings, operator } = ports;
    const silenceLimitMs = settings.heartbeatIntervalMs * operator.workers.missedHeartbeats;
    this.limits = cancelledTaskLimits(settings, silenceLimitMs);
    this.missingOutcomes = new MissingOutcomes(ports);
  }

  /**
   * Sets the release reason of the machines that must be released now and have no release reason yet. Called
   * at each check of the machines. `now` is a monotonic time in ms.
   */
  markOverdue(machines: readonly MachineState[], now: number): void {
    const { log, outcomeOf, wallClock } = this.ports;
    this.missingOutcomes.read(machines, now);
    const unreadForMs = (job: string): number => this.missingOutcomes.unreadForMs(job, now);
    const inputs = { now, wallNow: wallClock(), limits: this.limits, outcomeOf, unreadForMs };
    for (const machine of machines) {
      if (machine.releaseReason === undefined && hasOverdueTask(machine, inputs))
        markForRelease(machine, 'cancelled-task', now, log);
    }
  }
}
