/** Windows over which a shortage or surplus of machines must last before a pool is scaled out or in. */
import type { Ladder } from './ladder.js';
import type { Pool } from './pools.js';
import { slotsPerMachine } from './slots.js';
import { SustainedMinimum } from './sustained-minimum.js';

type PoolDemand = Pick<Pool, 'key' | 'type' | 'machines' | 'countedSlots'>;

/**
 * Share of a type's boot time for which the ladder's reserve must be missing before machines are rented for
 * it.
 */
const scaleOutWindowBootTimeShare = 1 / 4;

/**
 * Decides how many machines a pool can release. Only machines that were surplus throughout a boot time count.
 * If a machine is released too soon, its replacement is paid for while it boots, and tasks wait meanwhile.
 * After a boot time, keeping the machine has cost as much as renting a new one would.
 */
export class ScaleInWindow {
  private readonly sustainedSurplus = new SustainedMinimum();

  /** Records the pool's demand at `now` and returns the number of machines to remove. */
  machinesToRemove(pool: PoolDemand, ladder: Ladder, now: number): number {
    const { key, type, machines, countedSlots } = pool;
    let needed = machines.length;
    while (ladder.allowsScaleIn(needed, countedSlots)) needed--;
    return this.sustainedSurplus.record(key, machines.length - needed, now, type.bootS * 1000);
  }
}

/**
 * Decides how many machines a pool is short of. Demand beyond the capacity of the present machines is scaled
 * out for at once. The reserve that the ladder adds to that is rented only after it has been missing for a
 * while: a burst that fits the present machines is over before a machine that was rented for it has booted.
 */
export class ScaleOutWindow {
  private readonly sustainedShortage = new SustainedMinimum();

  constructor(private readonly slotShare: number) {}

  /** Records the pool's demand at `now` and returns the number of machines to add. */
  machinesToAdd(pool: PoolDemand, ladder: Ladder, now: number): number {
    const { key, type, machines, countedSlots } = pool;
    const shortage = ladder.scaleOutTarget(machines.length, countedSlots) - machines.length;
    const windowMs = type.bootS * 1000 * scaleOutWindowBootTimeShare;
    const sustainedShortage = this.sustainedShortage.record(key, shortage, now, windowMs);
    const beyondCapacity = Math.ceil(countedSlots / slotsPerMachine(this.slotShare)) - machines.length;
    return Math.max(sustainedShortage, Math.min(shortage, beyondCapacity));
  }
}
