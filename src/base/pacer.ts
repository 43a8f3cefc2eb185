import type { Clock } from './clock.js';

/** A token bucket: `rate` units a second, and bursts of at most `burst`. */
export class Pacer {
  private level: number;
  private at: number;

  constructor(
    private rate: number,
    private burst: number,
    private readonly clock: Clock,
  ) {
    this.level = burst;
    this.at = clock();
  }

  setRate(rate: number, burst: number): void {
    this.refill();
    this.rate = rate;
    this.burst = burst;
    this.level = Math.min(this.level, burst);
  }

  /** Takes the units now, in debt if need be, and tells how many milliseconds to wait before acting on them. */
  reserve(units: number): number {
    this.refill();
    this.level -= units;
    return this.level >= 0 ? 0 : (-this.level / this.rate) * 1000;
  }

  /** How many milliseconds it takes until what has been spent is earned, and so many units more are there. */
  owedMs(left = 0): number {
    this.refill();
    return this.level >= left ? 0 : ((left - this.level) / this.rate) * 1000;
  }

  private refill(): void {
    const now = this.clock();
    this.level = Math.min(this.burst, this.level + ((now - this.at) / 1000) * this.rate);
    this.at = now;
  }
}
