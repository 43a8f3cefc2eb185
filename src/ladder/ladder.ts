/**
 * The ladder of a pool: the thresholds of demand at which its machines are rented. Demand is counted in
 * slots. A slot is a fixed share of a machine's dominant resource (see `slots.ts`). Machine number m is
 * rented when the counted slots reach threshold m, and may be removed when the counted slots fall below
 * threshold m.
 */
import { slotsPerMachine } from './slots.js';

/** The slot size and the initial thresholds of a ladder. */
export interface LadderSettings {
  /** The share of a machine's dominant resource that one slot represents. */
  slotShare: number;
  /** The initial threshold of each machine, as a share of the capacity of the preceding machines. */
  startShare: number;
}

/**
 * A threshold that the threshold tuner has moved from its initial value: the number of the machine that is
 * rented at this threshold, and the value of the threshold in slots.
 */
export type MovedThreshold = [machineNumber: number, slots: number];

/** Threshold of the first machine. The smallest positive number, so that any demand above zero reaches it. */
const firstThresholdSlots = Number.MIN_VALUE;

/**
 * The thresholds of one pool, in slots. Thresholds never decrease with the machine number. Each threshold
 * lies between zero and the capacity of the preceding machines. The threshold of the first machine is fixed.
 */
export class Ladder {
  /**
   * Moved thresholds by machine number, the most recently moved last. Other thresholds have their initial
   * value.
   */
  private readonly movedByMachineNumber = new Map<number, number>();

  /**
   * `moved` contains the thresholds that an earlier leader has moved. Each value is clamped to the capacity
   * of the preceding machines.
   */
  constructor(
    private readonly settings: LadderSettings,
    moved: Iterable<MovedThreshold> = [],
  ) {
    for (const [machineNumber, slots] of moved) {
      if (machineNumber <= 1) continue;
      const clampedSlots = Math.min(Math.max(0, slots), this.capacityBelow(machineNumber));
      this.movedByMachineNumber.set(machineNumber, clampedSlots);
    }
  }

  /** All moved thresholds, the most recently moved last. */
  get movedThresholds(): MovedThreshold[] {
    return [...this.movedByMachineNumber];
  }

  /** Returns the number of counted slots at which the machine with this number is rented. */
  threshold(machineNumber: number): number {
    if (machineNumber <= 1) return firstThresholdSlots;
    const moved = this.movedByMachineNumber.get(machineNumber);
    return moved ?? Math.max(1, Math.round(this.settings.startShare * this.capacityBelow(machineNumber)));
  }

  /**
   * Moves the threshold of one machine by one slot. Returns false and moves nothing for the first machine, or
   * if the new threshold would be below zero, above the capacity of the preceding machines, or beyond an
   * adjacent threshold.
   */
  move(machineNumber: number, bySlots: 1 | -1): boolean {
    if (machineNumber <= 1) return false;
    const newThreshold = this.threshold(machineNumber) + bySlots;
    const lowerBound = machineNumber === 2 ? 0 : this.threshold(machineNumber - 1);
    const upperBound = Math.min(this.capacityBelow(machineNumber), this.threshold(machineNumber + 1));
    if (newThreshold < lowerBound || newThreshold > upperBound) return false;
    // The entry is deleted first, because a Map keeps the position of an existing key, but the most recently
    // moved threshold must be last.
    this.movedByMachineNumber.delete(machineNumber);
    this.movedByMachineNumber.set(machineNumber, newThreshold);
    return true;
  }

  /**
   * Returns the number of machines whose thresholds the counted slots reach, but at least `machines`, the
   * current number of machines.
   */
  scaleOutTarget(machines: number, countedSlots: number): number {
    let target = machines;
    while (countedSlots > 0 && countedSlots >= this.threshold(target + 1)) target++;
    return target;
  }

  /** Whether the counted slots are below the threshold of the machine with the highest number. */
  allowsScaleIn(machines: number, countedSlots: number): boolean {
    return machines > 0 && countedSlots < this.threshold(machines);
  }

  /** Returns the capacity, in slots, of the machines that precede the machine with this number. */
  private capacityBelow(machineNumber: number): number {
    return slotsPerMachine(this.settings.slotShare) * (machineNumber - 1);
  }
}
