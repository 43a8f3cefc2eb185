/** Time windows for which a shortage or surplus of machines must last before a pool is scaled out or in. */
import type { Ladder } from './ladder.js';
import type { Pool } from './pools.js';
import { slotsPerMachine } from './slots.js';
import { SustainedMinimum } from './sustained-minimum.js';

type PoolDemand = Pick<Pool, 'key' | 'type' | 'machines' | 'countedSlots'>;

/**
 * Share of a machine type's boot time for which the reserve must be missing before machines are rented for
 * the reserve. The reserve is the number of machines that the ladder requires beyond those that the demand
 * fills.
 */
const scaleOutWindowBootTimeShare = 1 / 4;

/**
 * Computes how many machines of a pool can be released. A machine can be released if it has been surplus for
 * the whole boot time of its type. If a machine is released too soon, its replacement is paid for while it
 * boots, and tasks wait until the boot is complete. After a machine has been surplus for one boot time,
 * keeping it has cost as much as renting a new machine would.
 */
export class ScaleInWindow {
  private readonly sustainedSurplus = new SustainedMinimum();

  /**
   * Records the pool's demand at `now` (monotonic time in ms) and returns the number of machines to remove.
   */
  machinesToRemove(pool: PoolDemand, ladder: Ladder, now: number): number {
    const { key, type, machines, countedSlots } = pool;
    let needed = machines.length;
    while (ladder.allowsScaleIn(needed, countedSlots)) needed--;
    return this.sustainedSurplus.record(key, machines.length - needed, now, type.bootS * 1000);
  }
}

/**
 * Computes how many machines to add to a pool. If the demand exceeds the capacity of the current machines,
 * the machines for the excess are added immediately. The reserve that the ladder requires in addition is
 * rented only after it has been missing for a while, because a short burst that fits on the current machines
 * ends before a new machine has booted.
 */
export class ScaleOutWindow {
  private readonly sustainedShortage = new SustainedMinimum();

  constructor(private readonly slotShare: number) {}

  /** Records the pool's demand at `now` (monotonic time in ms) and returns the number of machines to add. */
  machinesToAdd(pool: PoolDemand, ladder: Ladder, now: number): number {
    const { key, type, machines, countedSlots } = pool;
    const shortage = ladder.scaleOutTarget(machines.length, countedSlots) - machines.length;
    const windowMs = type.bootS * 1000 * scaleOutWindowBootTimeShare;
    const sustainedShortage = this.sustainedShortage.record(key, shortage, now, windowMs);
    const beyondCapacity = Math.ceil(countedSlots / slotsPerMachine(this.slotShare)) - machines.length;
    return Math.max(sustainedShortage, Math.min(shortage, beyondCapacity));
  }
}
