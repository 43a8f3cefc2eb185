import type { Pool } from './demand.js';
import { type Ladder, type LadderShape, slotsPerMachine } from './ladder.js';
import { Lasting } from './lasting.js';

type Counted = Pick<Pool, 'key' | 'type' | 'machines' | 'counted'>;

/**
 * How many machines a pool has had too many, all along, for a boot time. The paper's servers go off at no cost; here a
 * machine that is given back too soon is paid for once more while its successor boots, and work waits meanwhile. After
 * a boot time keeping it has cost what renting anew would.
 */
export class Surplus {
  private readonly lasting = new Lasting();

  count(pool: Counted, ladder: Ladder, now: number): number {
    const { key, type, machines, counted } = pool;
    let kept = machines.length;
    while (ladder.givesBack(kept, counted)) kept--;
    return this.lasting.least(key, machines.length - kept, now, type.bootS * 1000);
  }
}

/** The part of a boot time for which the room to spare must have been lacking before it is rented. */
const patience = 1 / 4;

/**
 * How many machines a pool lacks. What no machine has room for is rented at once. The room to spare that the ladder
 * keeps beyond that is rented once it has been lacking for a while: a burst that the machines there are can swallow is
 * over before a machine rented for it has booted.
 */
export class Lack {
  private readonly lasting = new Lasting();

  constructor(private readonly shape: LadderShape) {}

  count(pool: Counted, ladder: Ladder, now: number): number {
    const { key, type, machines, counted } = pool;
    const climb = ladder.rentTo(machines.length, counted) - machines.length;
    const lasting = this.lasting.least(key, climb, now, type.bootS * 1000 * patience);
    const without = Math.ceil(counted / slotsPerMachine(this.shape)) - machines.length;
    return Math.max(lasting, Math.min(climb, without));
  }
}
