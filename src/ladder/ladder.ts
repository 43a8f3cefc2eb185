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

/** The thresholds of one pool. The m-th machine is rented once the counted slots reach threshold m. */
export class Ladder {
  /** Thresholds that were moved, by m; all others are where they start. */
  private readonly movedByMachineNumber = new Map<number, number>();

  constructor(
    private readonly shape: LadderShape,
    moved: Iterable<[number, number]> = [],
  ) {
    for (const [m, slots] of moved)
      if (m > 1) this.movedByMachineNumber.set(m, Math.min(Math.max(0, slots), this.slotsBelow(m)));
  }

  /** The last ones to be moved come last. */
  get movedThresholds(): [number, number][] {
    return [...this.movedByMachineNumber];
  }

  threshold(m: number): number {
    // The first is rented for any work at all.
    if (m <= 1) return Number.MIN_VALUE;
    return this.movedByMachineNumber.get(m) ?? Math.max(1, Math.round(this.shape.start * this.slotsBelow(m)));
  }

  /** Moves one threshold by one slot, within zero and the room of the machines before it, and within its neighbours. */
  move(m: number, by: 1 | -1): boolean {
    if (m <= 1) return false;
    const next = this.threshold(m) + by;
    const lowest = m === 2 ? 0 : this.threshold(m - 1);
    const highest = Math.min(this.slotsBelow(m), this.threshold(m + 1));
    if (next < lowest || next > highest) return false;
    this.movedByMachineNumber.delete(m);
    this.movedByMachineNumber.set(m, next);
    return true;
  }

  /** How many machines there should be at the least, given how many there are. */
  scaleOutTarget(machines: number, counted: number): number {
    let m = machines;
    while (counted > 0 && counted >= this.threshold(m + 1)) m++;
    return m;
  }

  /** True once the counted slots are below what the last machine was rented for. */
  allowsScaleIn(machines: number, counted: number): boolean {
    return machines > 0 && counted < this.threshold(machines);
  }

  private slotsBelow(m: number): number {
    return slotsPerMachine(this.shape) * (m - 1);
  }
}
