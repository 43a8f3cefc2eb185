import type { MachineType, Resources } from '../model/types.js';

/** The ladder counts in slots: a share of a machine's dominant resource. */
export interface LadderShape {
  /** What a slot is of a machine, e.g. an eighth. */
  slotShare: number;
  /** Where thresholds start, as a share of the room of the machines before. */
  start: number;
}

export function slotsPerMachine(shape: LadderShape): number {
  return 1 / shape.slotShare;
}

/** How many slots of such a machine a task takes: by its dominant resource. */
export function slotsOf(need: Resources, type: MachineType, shape: LadderShape): number {
  const share = Math.max(
    need.cpus / type.cpus,
    need.memoryGb / type.memoryGb,
    type.accelerators > 0 ? need.accelerators / type.accelerators : 0,
  );
  return share / shape.slotShare;
}

/** Counted slots at which the m-th machine is rented, m from 1. The first is rented for any work at all. */
export function startingThreshold(m: number, shape: LadderShape): number {
  if (m <= 1) return Number.MIN_VALUE;
  return Math.max(1, Math.round(shape.start * slotsPerMachine(shape) * (m - 1)));
}

export class Ladder {
  constructor(private readonly shape: LadderShape) {}

  threshold(m: number): number {
    return startingThreshold(m, this.shape);
  }

  /** How many machines there should be at the least, given how many there are. */
  rentTo(machines: number, counted: number): number {
    let m = machines;
    while (counted >= this.threshold(m + 1)) m++;
    return m;
  }

  /** True once the counted slots are below what the last machine was rented for. */
  givesBack(machines: number, counted: number): boolean {
    return machines > 0 && counted < this.threshold(machines);
  }
}
