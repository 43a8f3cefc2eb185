/** A queue that is worked off in short slices, so that the event loop can look at other sockets in between. */
import type { Clock } from './clock.js';

/** Whether there is still somebody who waits for the work is asked right before it is done. */
export interface QueuedWork {
  isWanted: () => boolean;
  run: () => void;
}

/**
 * Under overload the event loop finds hundreds of reports at a time. Were all of them served in one turn, a health check or
 * an answer of the state service that came meanwhile would wait for seconds. Here each turn serves for one slice.
 */
export class TurnQueue {
  private readonly waiting = new Set<QueuedWork>();
  private scheduled = false;
  private sliceEndsAt = -Infinity;

  /** `nextTurn` calls back after the event loop has looked at its sockets. */
  constructor(
    private readonly clock: Clock,
    private readonly sliceMs: number,
    private readonly nextTurn: (callback: () => void) => void = setImmediate,
  ) {}

  /** Runs the work now where this turn has time left and nothing else waits, else in a later one. */
  add(work: QueuedWork): void {
    if (!this.scheduled) {
      this.scheduled = true;
      this.sliceEndsAt = this.clock() + this.sliceMs;
      this.nextTurn(() => this.startSlice());
    }
    if (this.waiting.size === 0 && this.clock() < this.sliceEndsAt) work.run();
    else this.waiting.add(work);
  }

  private startSlice(): void {
    this.sliceEndsAt = this.clock() + this.sliceMs;
    for (const work of this.waiting) {
      this.waiting.delete(work);
      if (work.isWanted()) work.run();
      if (this.clock() >= this.sliceEndsAt) break;
    }
    this.scheduled = this.waiting.size > 0;
    if (this.scheduled) this.nextTurn(() => this.startSlice());
  }
}
