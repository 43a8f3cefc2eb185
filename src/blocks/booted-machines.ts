/** Tracks which machines have booted and can therefore start tasks. */
import type { MachineType } from '../model/types.js';
import type { LeasedMachine } from '../wire/block-records.js';

/** The dependencies of `BootedMachines`. */
export interface BootedMachinesPorts {
  /** Wall-clock time in ms since the epoch. */
  wallClock: () => number;
  machineTypes: () => ReadonlyMap<string, MachineType>;
  /** The machines of all blocks, by machine id. */
  leasedMachines: () => ReadonlyMap<string, LeasedMachine>;
}

/** A machine is assumed to have booted after the boot time of its machine type multiplied by this factor. */
const bootTimeFactor = 1.5;
/**
 * Limit for the number of machine ids in memory, as a multiple of the number of leased machines. When the
 * limit is exceeded, the ids of machines that are no longer leased are dropped.
 */
const reportedIdsPerMachine = 2;
const minReportedIdsLimit = 1000;

/**
 * Considers a machine booted if it has sent a heartbeat to the owner of any block, or if it has been rented
 * for longer than a machine of its type usually takes to boot.
 */
export class BootedMachines {
  private readonly reportedIds = new Set<string>();
  private reportedIdsLimit = minReportedIdsLimit;

  constructor(private readonly ports: BootedMachinesPorts) {}

  /**
   * Records that the machines have sent a heartbeat to any controller. If too many ids are in memory, drops
   * the ids of machines that are no longer leased.
   */
  markBooted(ids: Iterable<string>): void {
    for (const id of ids) this.reportedIds.add(id);
    if (this.reportedIds.size <= this.reportedIdsLimit) return;
    const leased = this.ports.leasedMachines();
    this.reportedIdsLimit = Math.max(minReportedIdsLimit, leased.size * reportedIdsPerMachine);
    for (const id of this.reportedIds) if (!leased.has(id)) this.reportedIds.delete(id);
  }

  /**
   * Whether the machine is assumed to have booted. A task that is placed on a booted machine is expected to
   * start immediately.
   */
  isBooted(machine: LeasedMachine): boolean {
    if (this.reportedIds.has(machine.id)) return true;
    const bootMs = (this.ports.machineTypes().get(machine.type)?.bootS ?? 0) * 1000;
    return this.ports.wallClock() - machine.rentedAt > bootMs * bootTimeFactor;
  }
}
