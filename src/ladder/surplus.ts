import type { Pool } from './demand.js';
import type { Ladder } from './ladder.js';

/**
 * Since when a pool has had a machine too many. The paper's servers go off at no cost; here a machine that is given
 * back too soon is paid for once more while its successor boots, and work waits meanwhile. So one is given back only
 * after the surplus has lasted for a boot time: then keeping it has cost what renting anew would.
 */
export class Surplus {
  private readonly since = new Map<string, number>();

  lasts(pool: Pick<Pool, 'key' | 'type' | 'machines' | 'counted'>, ladder: Ladder, now: number): boolean {
    if (!ladder.givesBack(pool.machines.length, pool.counted)) {
      this.since.delete(pool.key);
      return false;
    }
    const began = this.since.get(pool.key) ?? now;
    this.since.set(pool.key, began);
    return now - began >= pool.type.bootS * 1000;
  }
}
