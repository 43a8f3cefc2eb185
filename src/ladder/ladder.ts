/**
 * The ladder of thresholds by which a pool scales: machine number m is rented once the counted slots reach
 * threshold m, and scaled in once they fall below it.
 */
import { slotsPerMachine } from './slots.js';

/** The slot size and the initial thresholds of a ladder. */
export interface LadderSettings {
  /** The share of a machine's dominant resource that one slot represents. */
  slotShare: number;
  /** The initial value of each threshold, as a share of the capacity of the machines before it. */
  startShare: number;
}

/**
 * A threshold that has been moved from its initial value: the number of its machine, and its value in slots.
 */
export type MovedThreshold = [machineNumber: number, slots: number];

/** Threshold of the first machine: it is rented for any demand above zero. */
const firstThresholdSlots = Number.MIN_VALUE;

/**
 * The thresholds of one pool, in slots. They never decrease with the machine number. Each lies between zero
 * and the capacity of the machines before it. The threshold of the first machine is fixed.
 */
export class Ladder {
  /**
   * Moved thresholds by machine number, the most recently moved last. All others have their initial value.
   */
  private readonly movedByMachineNumber = new Map<number, number>();

  /**
   * `moved`: thresholds that an earlier leader has moved. They are clamped to the capacity of the machines
   * before them.
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

  /** The number of counted slots at which the machine with this number is rented. */
  threshold(machineNumber: number): number {
    if (machineNumber <= 1) return firstThresholdSlots;
    const moved = this.movedByMachineNumber.get(machineNumber);
    return moved ?? Math.max(1, Math.round(this.settings.startShare * this.capacityBelow(machineNumber)));
  }

  /**
   * Moves one threshold by one slot. Returns false and moves nothing for the first machine, or if the new
   * threshold would be below zero, above the capacity of the machines before it, or beyond a neighbouring
   * threshold.
   */
  move(machineNumber: number, bySlots: 1 | -1): boolean {
    if (machineNumber <= 1) return false;
    const newThreshold = this.threshold(machineNumber) + bySlots;
    const lowerBound = machineNumber === 2 ? 0 : this.threshold(machineNumber - 1);
    const upperBound = Math.min(this.capacityBelow(machineNumber), this.threshold(machineNumber + 1));
    if (newThreshold < lowerBound || newThreshold > upperBound) return false;
    // Deleted first: a map keeps the position of an existing key, but the most recently moved threshold must
    // be last.
    this.movedByMachineNumber.delete(machineNumber);
    this.movedByMachineNumber.set(machineNumber, newThreshold);
    return true;
  }

  /** The number of machines that the counted slots require; never less than the present number `machines`. */
  scaleOutTarget(machines: number, countedSlots: number): number {
    let target = machines;
    while (countedSlots > 0 && countedSlots >= this.threshold(target + 1)) target++;
    return target;
  }

  /** Whether the counted slots are below the threshold of the last machine. */
  allowsScaleIn(machines: number, countedSlots: number): boolean {
    return machines > 0 && countedSlots < this.threshold(machines);
  }

  /** The capacity, in slots, of the machines before this one. */
  private capacityBelow(machineNumber: number): number {
    return slotsPerMachine(this.settings.slotShare) * (machineNumber - 1);
  }
}
