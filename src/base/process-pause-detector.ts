/** Detects pauses of this process, during which the process reads no messages. */
import type { Clock } from './clock.js';

/**
 * A check counts as delayed if more than this multiple of its interval has passed since the previous check.
 * The cause is a pause of the process or a lack of processor time.
 */
const delayedRatio = 2;

/**
 * Measures the delay of a check that runs at a fixed interval. During such a delay the clock advances, but
 * the process reads no messages. A failure detector that measures the time since the latest message of a
 * machine therefore has to subtract the delay from this time.
 */
export class ProcessPauseDetector {
  private previousCheckAt: number;

  /** `intervalMs`: the usual time between two calls of `measureDelayMs`, in milliseconds. */
  constructor(
    private readonly clock: Clock,
    private readonly intervalMs: number,
  ) {
    this.previousCheckAt = clock();
  }

  /**
   * Returns by how many milliseconds the time since the previous call exceeds the interval. Returns 0 if this
   * time is at most `delayedRatio` intervals.
   */
  measureDelayMs(): number {
    const now = this.clock();
    const elapsedMs = now - this.previousCheckAt;
    this.previousCheckAt = now;
    return elapsedMs > this.intervalMs * delayedRatio ? elapsedMs - this.intervalMs : 0;
  }
}
