/** Periodic checks of the machines of one block, and release of those that have failed. */
import { type Clock, sleep } from '../base/clock.js';
import type { MachineState } from '../placement/machine-state.js';
import { noHeartbeatsReceived } from './failure-detection.js';
import { type AssessmentPorts, markFailedMachines } from './machine-assessment.js';
import { type MachineReleaserPorts, releaseMarkedMachines } from './machine-releaser.js';
import { OwnDelays } from './own-delays.js';

/** What the monitor of a block needs. */
export interface HealthMonitorPorts extends AssessmentPorts, MachineReleaserPorts {
  clock: Clock;
  /** Fires when the lease of the block ends. */
  signal: AbortSignal;
  /** The store has lately answered us. */
  isStoreReachable: () => boolean;
  /** Called at each check at which no heartbeat of any machine has arrived lately, though the store is reachable. */
  onNoHeartbeats: () => void;
}

/** Machines are checked so often in a heartbeat interval. */
const checksPerHeartbeatInterval = 3;
/** The store must have been reachable for so many heartbeat intervals before missing heartbeats are laid to us. */
const settlingHeartbeatIntervals = 2;

/**
 * Releases machines of its block that are silent, do not execute commands, never started, or are faulty. The cloud's answer
 * to the release is what proves that their tasks no longer run. Time in which this controller was held up itself is not held
 * against the machines, and while the store or all workers are out of its reach none is released.
 */
export class HealthMonitor {
  private storeReachableSince = 0;

  constructor(private readonly ports: HealthMonitorPorts) {}

  /** Checks the machines until the lease of the block ends. */
  async run(): Promise<void> {
    const { clock, signal, settings } = this.ports;
    const checkIntervalMs = settings.heartbeatIntervalMs / checksPerHeartbeatInterval;
    const ownDelays = new OwnDelays(clock, checkIntervalMs);
    this.storeReachableSince = clock();
    while (!signal.aborted) {
      await this.check(ownDelays);
      await sleep(checkIntervalMs, signal);
    }
  }

  private async check(ownDelays: OwnDelays): Promise<void> {
    const { blockState, clock, isStoreReachable, onNoHeartbeats } = this.ports;
    this.addGrace(ownDelays.graceMs());
    // Without the store the block may be another's by now, and nothing that a release frees could start again.
    if (!isStoreReachable()) {
      this.storeReachableSince = clock();
      return;
    }
    if (this.isCutOffFromWorkers()) {
      onNoHeartbeats();
      return;
    }
    markFailedMachines(blockState.machines.values(), clock(), this.ports);
    const marked = this.markedMachines();
    if (marked.length === 0) return;
    await releaseMarkedMachines(marked, this.ports);
    // A release takes its time without anybody being held up.
    ownDelays.ignoreWait();
  }

  private addGrace(graceMs: number): void {
    if (graceMs === 0) return;
    for (const machine of this.ports.blockState.machines.values()) machine.addGrace(graceMs);
  }

  /** A controller that has just reached the store again may own a block only in its copy of it. */
  private isCutOffFromWorkers(): boolean {
    const { blockState, clock, settings } = this.ports;
    const { heartbeatIntervalMs } = settings;
    const isSettled = clock() - this.storeReachableSince > heartbeatIntervalMs * settlingHeartbeatIntervals;
    return isSettled && noHeartbeatsReceived(blockState.machines.values(), clock(), heartbeatIntervalMs);
  }

  private markedMachines(): MachineState[] {
    return [...this.ports.blockState.machines.values()].filter(
      ({ releaseReason }) => releaseReason !== undefined,
    );
  }
}
