/** The ladders of all pools and their periodic tuning. */
import type { Clock } from '../base/clock.js';
import type { Log } from '../base/log.js';
import type { OperatorSettings } from '../settings/operator.js';
import type { PoolSample } from './failure-observer.js';
import { Ladder } from './ladder.js';
import type { Pool } from './pools.js';
import { ThresholdStore, type ThresholdStorePorts } from './threshold-store.js';
import { ThresholdTuner } from './threshold-tuner.js';

/** What the ladders use of the controller. */
export interface PoolLaddersPorts extends ThresholdStorePorts {
  clock: Clock;
  log: Log;
  operator: Pick<OperatorSettings, 'ladder'>;
}

interface TunedLadder {
  ladder: Ladder;
  tuner: ThresholdTuner;
}

/** Holds a ladder with its tuner for each pool; a pool's ladder is loaded from the store when it is first asked for. */
export class PoolLadders {
  private readonly ladders = new Map<string, TunedLadder>();
  private readonly store: ThresholdStore;
  private tunedAt: number;

  constructor(private readonly ports: PoolLaddersPorts) {
    this.store = new ThresholdStore(ports);
    this.tunedAt = ports.clock();
  }

  /** The ladder of the pool. */
  ladderOf(pool: Pool): Ladder {
    return this.tunedLadderOf(pool).ladder;
  }

  /** Takes a sample for the pool's tuner. */
  addSample({ pool, sample }: PoolSample): void {
    this.tunedLadderOf(pool).tuner.add(sample);
  }

  /** Once a period (`ladder/periodS`): moves at most one threshold of each pool by one slot, and saves what was moved. */
  async tune(pools: Iterable<Pool>, now: number): Promise<void> {
    if (now - this.tunedAt < this.ports.operator.ladder.periodS * 1000) return;
    this.tunedAt = now;
    for (const pool of pools) await this.tunePool(pool, now);
  }

  private async tunePool(pool: Pool, now: number): Promise<void> {
    const { ladder, tuner } = this.tunedLadderOf(pool);
    const failureRatio = tuner.failureRatio(now);
    const move = tuner.tune(ladder, pool.machines.length + 1, now);
    if (!move) return;
    const threshold = ladder.threshold(move.machineNumber);
    this.ports.log.info(
      { event: 'threshold-moved', pool: pool.key, ...move, threshold, failureRatio },
      'threshold moved',
    );
    await this.store.save(pool.key, ladder);
  }

  private tunedLadderOf(pool: Pool): TunedLadder {
    let entry = this.ladders.get(pool.key);
    if (!entry) this.ladders.set(pool.key, (entry = this.createLadder(pool)));
    return entry;
  }

  private createLadder(pool: Pool): TunedLadder {
    const { targetFailureRatio, windowS, slotShare, start, spotStart } = this.ports.operator.ladder;
    const shape = { slotShare, startShare: pool.spot ? spotStart : start };
    return {
      ladder: new Ladder(shape, this.store.load(pool.key)),
      tuner: new ThresholdTuner({ targetFailureRatio, windowMs: windowS * 1000 }),
    };
  }
}
