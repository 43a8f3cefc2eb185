/** Detection of pauses of this process. */
import type { Clock } from './clock.js';

/** A check that comes later than so many of its intervals was delayed, by a pause of the process or for want of processor time. */
const delayedRatio = 2;

/**
 * Measures by how much a check that runs at a fixed interval was delayed. The clock went on during the delay while no
 * message was read, so whoever judges others by the time since their last message has to leave that time out.
 */
export class ProcessPause {
  private measuredAt: number;

  /** `intervalMs` is the usual time between two calls of `measureDelayMs`. */
  constructor(
    private readonly clock: Clock,
    private readonly intervalMs: number,
  ) {
    this.measuredAt = clock();
  }

  /** The delay since the last call, in milliseconds beyond the interval; 0 for delays that are usual. */
  measureDelayMs(): number {
    const now = this.clock();
    const passedMs = now - this.measuredAt;
    this.measuredAt = now;
    return passedMs > this.intervalMs * delayedRatio ? passedMs - this.intervalMs : 0;
  }
}
