/**
 * Slots: the unit in which the demand and the capacity of a pool are counted. A slot is a fixed share of a
 * machine's dominant resource, so that tasks with different resource needs can be added up. The dispatch of
 * jobs uses the word for another quantity, the space for one task (see `blocks/capacity-estimate.ts`).
 */
import type { MachineType, Resources } from '../model/types.js';

/**
 * Returns the number of slots of a whole machine. `slotShare` is the share of a machine that one slot
 * represents, e.g. 1/8.
 */
export function slotsPerMachine(slotShare: number): number {
  return 1 / slotShare;
}

/**
 * Returns the number of slots that `need` occupies on a machine of this type, by its dominant resource. The
 * number is not rounded.
 */
export function slotsOf(need: Resources, type: MachineType, slotShare: number): number {
  const machineShare = Math.max(
    need.cpus / type.cpus,
    need.memoryGb / type.memoryGb,
    type.accelerators > 0 ? need.accelerators / type.accelerators : 0,
  );
  return machineShare / slotShare;
}
