/**
 * Slots: the unit in which the ladder counts work and machines. A slot is a fixed share of a machine's dominant resource,
 * so that tasks of different shapes can be added up.
 */
import type { MachineType, Resources } from '../model/types.js';

/** The slots of a whole machine. `slotShare` is the share of a machine that one slot stands for, e.g. 1/8. */
export function slotsPerMachine(slotShare: number): number {
  return 1 / slotShare;
}

/** The slots that these resources take of a machine of this type, by its dominant resource; not rounded. */
export function slotsOf(need: Resources, type: MachineType, slotShare: number): number {
  const machineShare = Math.max(
    need.cpus / type.cpus,
    need.memoryGb / type.memoryGb,
    type.accelerators > 0 ? need.accelerators / type.accelerators : 0,
  );
  return machineShare / slotShare;
}
