/**
 * The ladder of thresholds by which a pool scales: machine number m is rented once the counted slots reach threshold m,
 * and scaled in once they fall below it.
 */
import { slotsPerMachine } from './slots.js';

/** Where the thresholds of a ladder start. */
export interface LadderShape {
  /** The share of a machine's dominant resource that one slot stands for. */
  slotShare: number;
  /** The first value of each threshold, as a share of the capacity of the machines before it. */
  startShare: number;
}

/** A threshold that differs from its first value: the number of its machine, and its slots. */
export type MovedThreshold = [machineNumber: number, slots: number];

/** The first machine is rented for any work at all. */
const anyWorkSlots = Number.MIN_VALUE;

/**
 * The thresholds of one pool, in slots. They never decrease with the number of the machine, and each lies between zero
 * and the capacity of the machines before it. The first is fixed.
 */
export class Ladder {
  /** Slots by machine number, in the order of their last move; all other thresholds have their first value. */
  private readonly movedByMachineNumber = new Map<number, number>();

  /** `moved`: thresholds that an earlier leader has moved; they are cut to the capacity of the machines before. */
  constructor(
    private readonly shape: LadderShape,
    moved: Iterable<MovedThreshold> = [],
  ) {
    for (const [machineNumber, slots] of moved) {
      if (machineNumber <= 1) continue;
      const valid = Math.min(Math.max(0, slots), this.slotsBelow(machineNumber));
      this.movedByMachineNumber.set(machineNumber, valid);
    }
  }

  /** All thresholds that were moved; those that were moved last come last. */
  get movedThresholds(): MovedThreshold[] {
    return [...this.movedByMachineNumber];
  }

  /** The counted slots at which the machine with this number is rented. */
  threshold(machineNumber: number): number {
    if (machineNumber <= 1) return anyWorkSlots;
    const moved = this.movedByMachineNumber.get(machineNumber);
    return moved ?? Math.max(1, Math.round(this.shape.startShare * this.slotsBelow(machineNumber)));
  }

  /**
   * Moves one threshold by one slot. Returns false and moves nothing where that would take it below zero, above the
   * capacity of the machines before it, or past one of its neighbours.
   */
  move(machineNumber: number, bySlots: 1 | -1): boolean {
    if (machineNumber <= 1) return false;
    const next = this.threshold(machineNumber) + bySlots;
    const lowest = machineNumber === 2 ? 0 : this.threshold(machineNumber - 1);
    const highest = Math.min(this.slotsBelow(machineNumber), this.threshold(machineNumber + 1));
    if (next < lowest || next > highest) return false;
    // Deleted first, so that the map keeps the order of the moves.
    this.movedByMachineNumber.delete(machineNumber);
    this.movedByMachineNumber.set(machineNumber, next);
    return true;
  }

  /** The number of machines that the counted slots call for; never fewer than there are. */
  scaleOutTarget(machines: number, countedSlots: number): number {
    let target = machines;
    while (countedSlots > 0 && countedSlots >= this.threshold(target + 1)) target++;
    return target;
  }

  /** True once the counted slots are below the threshold of the last machine. */
  allowsScaleIn(machines: number, countedSlots: number): boolean {
    return machines > 0 && countedSlots < this.threshold(machines);
  }

  /** The capacity of the machines before this one. */
  private slotsBelow(machineNumber: number): number {
    return slotsPerMachine(this.shape.slotShare) * (machineNumber - 1);
  }
}
