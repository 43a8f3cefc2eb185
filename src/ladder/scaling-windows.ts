/** How long demand has to last before a pool is scaled out or in. */
import type { Ladder } from './ladder.js';
import type { Pool } from './pools.js';
import { slotsPerMachine } from './slots.js';
import { SustainedMinimum } from './sustained-minimum.js';

type PoolDemand = Pick<Pool, 'key' | 'type' | 'machines' | 'countedSlots'>;

/** The share of a type's boot time for which the ladder's reserve must be lacking before it is rented. */
const scaleOutWindowBootTimeShare = 1 / 4;

/**
 * Decides how many machines a pool can do without. Only those count that have not been needed throughout a boot time: a
 * machine that is released too soon is paid for again while its successor boots, and work waits meanwhile. After a boot
 * time, keeping it has cost as much as renting anew would.
 */
export class ScaleInWindow {
  private readonly sustainedSurplus = new SustainedMinimum();

  /** Records the pool's demand at this time, and returns the number of machines to scale in. */
  machinesToRemove(pool: PoolDemand, ladder: Ladder, now: number): number {
    const { key, type, machines, countedSlots } = pool;
    let needed = machines.length;
    while (ladder.allowsScaleIn(needed, countedSlots)) needed--;
    return this.sustainedSurplus.record(key, machines.length - needed, now, type.bootS * 1000);
  }
}

/**
 * Decides how many machines a pool lacks. For work beyond the capacity of the machines there are it scales out at once.
 * The reserve that the ladder keeps beyond that is rented only after it has been lacking for a while: a burst that the
 * present machines can take is over before a machine rented for it has booted.
 */
export class ScaleOutWindow {
  private readonly sustainedLack = new SustainedMinimum();

  constructor(private readonly slotShare: number) {}

  /** Records the pool's demand at this time, and returns the number of machines to scale out by. */
  machinesToAdd(pool: PoolDemand, ladder: Ladder, now: number): number {
    const { key, type, machines, countedSlots } = pool;
    const lack = ladder.scaleOutTarget(machines.length, countedSlots) - machines.length;
    const windowMs = type.bootS * 1000 * scaleOutWindowBootTimeShare;
    const sustainedLack = this.sustainedLack.record(key, lack, now, windowMs);
    const beyondCapacity = Math.ceil(countedSlots / slotsPerMachine(this.slotShare)) - machines.length;
    return Math.max(sustainedLack, Math.min(lack, beyondCapacity));
  }
}
