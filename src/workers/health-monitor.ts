/**
 * Periodically checks the machines of one block and releases the machines that have failed. A block is a set
 * of machines, with the tasks placed on them, that is leased to one controller.
 */
import { type Clock, sleep } from '../base/clock.js';
import type { MachineState } from '../placement/machine-state.js';
import { CancelledTaskMonitor, type CancelledTaskMonitorPorts } from './cancelled-task-monitor.js';
import type { CancellationTimes } from './cancelled-tasks.js';
import { ControllerDelays } from './controller-delays.js';
import { noHeartbeatsReceived } from './failure-detection.js';
import { type AssessmentPorts, markFailedMachines } from './machine-assessment.js';
import { type MachineReleaserPorts, releaseMarkedMachines } from './machine-releaser.js';

/** Dependencies of the health monitor on the rest of the controller. */
export interface HealthMonitorPorts extends AssessmentPorts, MachineReleaserPorts, CancelledTaskMonitorPorts {
  settings: CancellationTimes;
  clock: Clock;
  /** Aborted when the lease of the block ends. */
  signal: AbortSignal;
  /** Whether the store has recently answered this controller. */
  isStoreReachable: () => boolean;
  /**
   * Whether the store serves no controller. Then this controller still owns its blocks although the store is
   * unreachable.
   */
  isStoreDownForAll: () => boolean;
  /**
   * Called at each check that finds this controller most likely partitioned from the workers: no machine has
   * sent a recent heartbeat, although the store has been reachable for some time.
   */
  onNoHeartbeats: () => void;
}

/** Number of checks of the machines per heartbeat interval. */
const checksPerHeartbeatInterval = 3;
/**
 * If all heartbeats are missing, this controller is assumed to be partitioned from the workers only after the
 * store has been reachable for this number of heartbeat intervals. Right after the store was unreachable, the
 * replica of the store may be outdated: the block may already be leased to another controller, which then
 * receives the heartbeats.
 */
const minReachableHeartbeatIntervals = 2;

/**
 * Releases machines of its block that are silent, do not execute commands, never started, or are faulty, and
 * machines on which tasks of cancelled jobs may outlast their deadline. The cloud's response to the release
 * proves that the tasks of these machines no longer run. Delays of this controller itself do not count as
 * silence of the machines. If all workers are unreachable, or if the store is down for all controllers, only
 * tasks of cancelled jobs are a reason for a release. If the store is unreachable otherwise, no machine is
 * released.
 */
export class HealthMonitor {
  private storeReachableSince = 0;
  private readonly cancelledTasks: CancelledTaskMonitor;

  constructor(private readonly ports: HealthMonitorPorts) {
    this.cancelledTasks = new CancelledTaskMonitor(ports);
  }

  /** Checks the machines until the lease of the block ends. */
  async run(): Promise<void> {
    const { clock, signal, settings } = this.ports;
    const checkIntervalMs = settings.heartbeatIntervalMs / checksPerHeartbeatInterval;
    const ownDelays = new ControllerDelays(clock, checkIntervalMs);
    this.storeReachableSince = clock();
    while (!signal.aborted) {
      await this.check(ownDelays);
      await sleep(checkIntervalMs, signal);
    }
  }

  private async check(ownDelays: ControllerDelays): Promise<void> {
    const { clock, isStoreReachable, isStoreDownForAll, onNoHeartbeats } = this.ports;
    this.addGrace(ownDelays.graceMs());
    if (!isStoreReachable()) {
      this.storeReachableSince = clock();
      // Another controller may have leased the block, unless the store serves no controller. The tasks that a
      // release requeues cannot be started before the store is reachable.
      if (!isStoreDownForAll()) return;
    } else if (this.isPartitionedFromWorkers()) onNoHeartbeats();
    else markFailedMachines(this.machines(), clock(), this.ports);
    this.cancelledTasks.markOverdue(this.machines(), clock());
    await this.releaseMarked(ownDelays);
  }

  private async releaseMarked(ownDelays: ControllerDelays): Promise<void> {
    const marked = this.machines().filter(({ releaseReason }) => releaseReason !== undefined);
    if (marked.length === 0) return;
    await releaseMarkedMachines(marked, this.ports);
    // The wait for the response of the cloud is not a delay of this controller.
    ownDelays.discardMeasuredDelay();
  }

  private addGrace(graceMs: number): void {
    if (graceMs === 0) return;
    for (const machine of this.machines()) machine.excludeControllerDelay(graceMs);
  }

  /**
   * Whether this controller has most likely lost contact with all workers. False if the store has become
   * reachable only recently, because the replica of the store may then be outdated and the block may be
   * leased to another controller.
   */
  private isPartitionedFromWorkers(): boolean {
    const { blockState, clock, settings } = this.ports;
    const { heartbeatIntervalMs } = settings;
    const isStoreStable =
      clock() - this.storeReachableSince > heartbeatIntervalMs * minReachableHeartbeatIntervals;
    return isStoreStable && noHeartbeatsReceived(blockState.machines.values(), clock(), heartbeatIntervalMs);
  }

  private machines(): MachineState[] {
    return [...this.ports.blockState.machines.values()];
  }
}
