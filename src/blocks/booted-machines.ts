/** Which machines can start tasks. */
import type { MachineType } from '../model/types.js';
import type { LeasedMachine } from '../wire/block-records.js';

/** The protocol's usual boot takes up to so many times the type's figure. */
const usualBootRatio = 1.5;
/** Machines that have come up are remembered for so many times those that there are, and this many at least. */
const rememberedMachinesRatio = 2;
const minRememberedMachines = 1000;

export interface BootedMachinesPorts {
  /** Time of day in ms. */
  wallClock: () => number;
  machineTypes: () => ReadonlyMap<string, MachineType>;
  leasedMachines: () => ReadonlyMap<string, LeasedMachine>;
}

/** Up is what any owner has heard of, and what has had the longest time that booting usually takes. */
export class BootedMachines {
  private readonly reportedIds = new Set<string>();
  private maxRemembered = minRememberedMachines;

  constructor(private readonly ports: BootedMachinesPorts) {}

  markBooted(machines: Iterable<string>): void {
    for (const id of machines) this.reportedIds.add(id);
    if (this.reportedIds.size <= this.maxRemembered) return;
    const leased = this.ports.leasedMachines();
    this.maxRemembered = Math.max(minRememberedMachines, leased.size * rememberedMachinesRatio);
    for (const id of this.reportedIds) if (!leased.has(id)) this.reportedIds.delete(id);
  }

  isBooted(machine: LeasedMachine): boolean {
    if (this.reportedIds.has(machine.id)) return true;
    const bootS = this.ports.machineTypes().get(machine.type)?.bootS ?? 0;
    return this.ports.wallClock() - machine.rentedAt > bootS * 1000 * usualBootRatio;
  }
}
