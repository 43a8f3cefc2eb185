/** Which machines have booted, so that tasks can start on them. */
import type { MachineType } from '../model/types.js';
import type { LeasedMachine } from '../wire/block-records.js';

/** What the knowledge of booted machines is based on. */
export interface BootedMachinesPorts {
  /** Time of day in ms. */
  wallClock: () => number;
  machineTypes: () => ReadonlyMap<string, MachineType>;
  /** The machines of all blocks by id. */
  leasedMachines: () => ReadonlyMap<string, LeasedMachine>;
}

/** A machine usually boots within so many times the boot time of its type. */
const bootTimeFactor = 1.5;
/**
 * So many times as many ids as there are machines are remembered before those of former machines are dropped.
 */
const reportedIdsPerMachine = 2;
const minReportedIdsLimit = 1000;

/**
 * Machines that sent a heartbeat to any owner, and those that have been rented for longer than booting
 * usually takes.
 */
export class BootedMachines {
  private readonly reportedIds = new Set<string>();
  private reportedIdsLimit = minReportedIdsLimit;

  constructor(private readonly ports: BootedMachinesPorts) {}

  /** Records machines that have sent a heartbeat to any controller. Their number in memory is bounded. */
  markBooted(ids: Iterable<string>): void {
    for (const id of ids) this.reportedIds.add(id);
    if (this.reportedIds.size <= this.reportedIdsLimit) return;
    const leased = this.ports.leasedMachines();
    this.reportedIdsLimit = Math.max(minReportedIdsLimit, leased.size * reportedIdsPerMachine);
    for (const id of this.reportedIds) if (!leased.has(id)) this.reportedIds.delete(id);
  }

  /** Tasks placed on the machine can be expected to start at once. */
  isBooted(machine: LeasedMachine): boolean {
    if (this.reportedIds.has(machine.id)) return true;
    const bootMs = (this.ports.machineTypes().get(machine.type)?.bootS ?? 0) * 1000;
    return this.ports.wallClock() - machine.rentedAt > bootMs * bootTimeFactor;
  }
}
