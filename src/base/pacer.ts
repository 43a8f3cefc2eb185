/** Rate limiting by a token bucket. */
import type { Clock } from './clock.js';

/** A token bucket that fills with `unitsPerSecond` up to `maxBurstUnits`. It starts full and may go into debt. */
export class Pacer {
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

  /** Applies a new rate from now on; units beyond the new burst are dropped, a debt stays. */
  setRate(unitsPerSecond: number, maxBurstUnits: number): void {
    this.refill();
    this.unitsPerSecond = unitsPerSecond;
    this.maxBurstUnits = maxBurstUnits;
    this.availableUnits = Math.min(this.availableUnits, maxBurstUnits);
  }

  /** Takes the units at once, in debt if need be, and returns for how many milliseconds to wait before using them. */
  reserve(units: number): number {
    this.refill();
    this.availableUnits -= units;
    return this.availableUnits >= 0 ? 0 : (-this.availableUnits / this.unitsPerSecond) * 1000;
  }

  /** In how many milliseconds the debt is paid and `units` are available; takes nothing. */
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
