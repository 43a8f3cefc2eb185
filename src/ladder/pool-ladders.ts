/**
 * The ladders of all pools, and their periodic tuning. A ladder contains the thresholds of demand at which
 * the machines of one pool are rented.
 */
import type { Clock } from '../base/clock.js';
import type { Log } from '../base/log.js';
import type { OperatorSettings } from '../settings/operator.js';
import type { PoolSample } from './failure-observer.js';
import { Ladder } from './ladder.js';
import type { Pool } from './pools.js';
import { ThresholdStore, type ThresholdStorePorts } from './threshold-store.js';
import { ThresholdTuner } from './threshold-tuner.js';

/** The parts of the controller that the ladders use. */
export interface PoolLaddersPorts extends ThresholdStorePorts {
  clock: Clock;
  log: Log;
  operator: Pick<OperatorSettings, 'ladder'>;
}

interface TunedLadder {
  ladder: Ladder;
  tuner: ThresholdTuner;
}

/**
 * Contains the ladder and the threshold tuner of each pool. The thresholds that the tuners of earlier leaders
 * have moved are loaded from the store when the ladder is first needed.
 */
export class PoolLadders {
  private readonly ladders = new Map<string, TunedLadder>();
  private readonly store: ThresholdStore;
  private lastTunedAt: number;

  constructor(private readonly ports: PoolLaddersPorts) {
    this.store = new ThresholdStore(ports);
    this.lastTunedAt = ports.clock();
  }

  /** Returns the ladder of the pool. Its moved thresholds are loaded from the store on the first call. */
  ladderOf(pool: Pool): Ladder {
    return this.tunedLadderOf(pool).ladder;
  }

  /** Passes a sample of task failures to the tuner of the sampled pool. */
  addSample({ pool, sample }: PoolSample): void {
    this.tunedLadderOf(pool).tuner.addSample(sample);
  }

  /**
   * Moves at most one threshold of each pool by one slot and saves the moved thresholds. Has no effect if
   * less than one period (setting `ladder/periodS`) has passed since the previous tuning.
   */
  async tune(pools: Iterable<Pool>, now: number): Promise<void> {
    if (now - this.lastTunedAt < this.ports.operator.ladder.adjustmentPeriodS * 1000) return;
    this.lastTunedAt = now;
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
      'moved a scale-out threshold of the pool by one slot; saving it in the store',
    );
    await this.store.save(pool.key, ladder);
  }

  private tunedLadderOf(pool: Pool): TunedLadder {
    let tunedLadder = this.ladders.get(pool.key);
    if (!tunedLadder) this.ladders.set(pool.key, (tunedLadder = this.createLadder(pool)));
    return tunedLadder;
  }

  private createLadder(pool: Pool): TunedLadder {
    const {
      targetFailureRatio,
      failureWindowS,
      slotShare,
      initialThresholdShare,
      spotInitialThresholdShare,
    } = this.ports.operator.ladder;
    const settings = { slotShare, startShare: pool.spot ? spotInitialThresholdShare : initialThresholdShare };
    return {
      ladder: new Ladder(settings, this.store.load(pool.key)),
      tuner: new ThresholdTuner({ targetFailureRatio, windowMs: failureWindowS * 1000 }),
    };
  }
}
