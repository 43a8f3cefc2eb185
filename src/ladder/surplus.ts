import type { Pool } from './demand.js';
import type { Ladder } from './ladder.js';

/**
 * How many machines a pool has had too many, all along, for a boot time. The paper's servers go off at no cost; here a
 * machine that is given back too soon is paid for once more while its successor boots, and work waits meanwhile. After
 * a boot time keeping it has cost what renting anew would.
 */
export class Surplus {
  private readonly samples = new Map<string, { at: number; count: number }[]>();

  lasting(pool: Pick<Pool, 'key' | 'type' | 'machines' | 'counted'>, ladder: Ladder, now: number): number {
    const { machines, counted } = pool;
    let kept = machines.length;
    while (ladder.givesBack(kept, counted)) kept--;
    const since = now - pool.type.bootS * 1000;
    const samples = [...(this.samples.get(pool.key) ?? []), { at: now, count: machines.length - kept }];
    // The newest of those before the window stands for what held when it began.
    const first = samples.findLastIndex((sample) => sample.at <= since);
    const recent = samples.slice(Math.max(0, first));
    this.samples.set(pool.key, recent);
    return first < 0 ? 0 : Math.min(...recent.map((sample) => sample.count));
  }
}
