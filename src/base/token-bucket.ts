/** Rate limiting by a token bucket. */
import type { Clock } from './clock.js';

/**
 * A token bucket that refills at `unitsPerSecond` up to `maxBurstUnits`. It starts full. If a reservation
 * exceeds the available units, their number becomes negative, which is called a debt.
 */
export class TokenBucket {
  private availableUnits: number;
  private refilledAt: number;

  constructor(
    private unitsPerSecond: number,
    private maxBurstUnits: number,
    private readonly clock: Clock,
  ) {
    this.availableUnits = maxBurstUnits;
    this.refilledAt = clock();
  }

  /**
   * Changes the rate and the burst limit from now on. Available units above the new burst limit are
   * discarded. A debt stays.
   */
  setRate(unitsPerSecond: number, maxBurstUnits: number): void {
    this.refill();
    this.unitsPerSecond = unitsPerSecond;
    this.maxBurstUnits = maxBurstUnits;
    this.availableUnits = Math.min(this.availableUnits, maxBurstUnits);
  }

  /**
   * Takes the units immediately, if necessary by going into debt. Returns the time in milliseconds that the
   * caller has to wait before it may use the units.
   */
  reserve(units: number): number {
    this.refill();
    this.availableUnits -= units;
    return this.availableUnits >= 0 ? 0 : (-this.availableUnits / this.unitsPerSecond) * 1000;
  }

  /** Returns the time in milliseconds until any debt is repaid and `units` are available. Takes no units. */
  msUntilAvailable(units = 0): number {
    this.refill();
    const missingUnits = units - this.availableUnits;
    return missingUnits <= 0 ? 0 : (missingUnits / this.unitsPerSecond) * 1000;
  }

  private refill(): void {
    const now = this.clock();
    const earnedUnits = ((now - this.refilledAt) / 1000) * this.unitsPerSecond;
    this.availableUnits = Math.min(this.maxBurstUnits, this.availableUnits + earnedUnits);
    this.refilledAt = now;
  }
}
