import type { Pool } from './pools.js';
import { type Ladder, type LadderShape, slotsPerMachine } from './ladder.js';
import { SustainedMinimum } from './sustained-minimum.js';

type PoolDemand = Pick<Pool, 'key' | 'type' | 'machines' | 'counted'>;

/**
 * How many machines a pool has had too many, all along, for a boot time. The paper's servers go off at no cost; here a
 * machine that is given back too soon is paid for once more while its successor boots, and work waits meanwhile. After
 * a boot time keeping it has cost what renting anew would.
 */
export class ScaleInWindow {
  private readonly sustained = new SustainedMinimum();

  machinesToRemove(pool: PoolDemand, ladder: Ladder, now: number): number {
    const { key, type, machines, counted } = pool;
    let kept = machines.length;
    while (ladder.allowsScaleIn(kept, counted)) kept--;
    return this.sustained.record(key, machines.length - kept, now, type.bootS * 1000);
  }
}

/** The part of a boot time for which the room to spare must have been lacking before it is rented. */
const scaleOutWindowBootTimeShare = 1 / 4;

/**
 * How many machines a pool lacks. What no machine has room for is rented at once. The room to spare that the ladder
 * keeps beyond that is rented once it has been lacking for a while: a burst that the machines there are can swallow is
 * over before a machine rented for it has booted.
 */
export class ScaleOutWindow {
  private readonly sustained = new SustainedMinimum();

  constructor(private readonly shape: LadderShape) {}

  machinesToAdd(pool: PoolDemand, ladder: Ladder, now: number): number {
    const { key, type, machines, counted } = pool;
    const climb = ladder.scaleOutTarget(machines.length, counted) - machines.length;
    const lasting = this.sustained.record(key, climb, now, type.bootS * 1000 * scaleOutWindowBootTimeShare);
    const without = Math.ceil(counted / slotsPerMachine(this.shape)) - machines.length;
    return Math.max(lasting, Math.min(climb, without));
  }
}
