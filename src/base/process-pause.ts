/** Detection of pauses of this process. */
import type { Clock } from './clock.js';

/** Beyond so many times its usual pause, a duty was held up, by a pause of the process or for want of processor time. */
const heldUpTimes = 2;

/**
 * How long a duty that looks at the clock at regular times was held up. Its clock ran on meanwhile while nothing was heard of
 * anybody, so whoever judges others by the time since their last word has to leave that time out.
 */
export class ProcessPause {
  private lookedAt: number;

  constructor(
    private readonly clock: Clock,
    private readonly pauseMs: number,
  ) {
    this.lookedAt = clock();
  }

  /** What was lost since the last look, beyond the pause that there always is. */
  look(): number {
    const now = this.clock();
    const passed = now - this.lookedAt;
    this.lookedAt = now;
    return passed > this.pauseMs * heldUpTimes ? passed - this.pauseMs : 0;
  }
}
