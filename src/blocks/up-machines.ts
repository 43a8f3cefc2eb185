/** Which machines can start tasks. */
import type { MachineType } from '../model/types.js';
import type { LeasedMachine } from '../wire/block-records.js';

/** The protocol's usual boot takes up to so many times the type's figure. */
const usualBootTimes = 1.5;
/** Machines that have come up are remembered for so many times those that there are, and this many at least. */
const keptTimes = 2;
const leastKept = 1000;

export interface UpMachinesPorts {
  /** Time of day in ms. */
  wallClock: () => number;
  types: () => ReadonlyMap<string, MachineType>;
  leased: () => ReadonlyMap<string, LeasedMachine>;
}

/** Up is what any owner has heard of, and what has had the longest time that booting usually takes. */
export class UpMachines {
  private readonly heard = new Set<string>();
  private most = leastKept;

  constructor(private readonly ports: UpMachinesPorts) {}

  note(machines: Iterable<string>): void {
    for (const id of machines) this.heard.add(id);
    if (this.heard.size <= this.most) return;
    const leased = this.ports.leased();
    this.most = Math.max(leastKept, leased.size * keptTimes);
    for (const id of this.heard) if (!leased.has(id)) this.heard.delete(id);
  }

  has(machine: LeasedMachine): boolean {
    if (this.heard.has(machine.id)) return true;
    const bootS = this.ports.types().get(machine.type)?.bootS ?? 0;
    return this.ports.wallClock() - machine.since > bootS * 1000 * usualBootTimes;
  }
}
