/** A queue with a time budget a turn, so that the event loop can serve other sockets in between. */
import type { Clock } from './clock.js';

/** A unit of work. */
export interface QueuedWork {
  /** Whether somebody still waits for the work; asked right before a work that has waited is run. */
  isWanted: () => boolean;
  run: () => void;
}

/**
 * Runs work in the order of its arrival, in each turn of the event loop for `turnBudgetMs` at most. Under overload a turn
 * finds hundreds of heartbeats. If it served all of them, a health check or a response of the key-value store that came
 * meanwhile would wait for seconds.
 */
export class TurnQueue {
  private readonly waiting = new Set<QueuedWork>();
  private isTurnScheduled = false;
  private budgetEndsAt = -Infinity;

  /** `nextTurn` calls back after the event loop has polled its sockets. */
  constructor(
    private readonly clock: Clock,
    private readonly turnBudgetMs: number,
    private readonly nextTurn: (callback: () => void) => void = setImmediate,
  ) {}

  /** Runs the work at once where the turn has time left and nothing else waits, else in a later turn. */
  add(work: QueuedWork): void {
    if (!this.isTurnScheduled) {
      this.isTurnScheduled = true;
      this.budgetEndsAt = this.clock() + this.turnBudgetMs;
      this.nextTurn(() => this.runTurn());
    }
    if (this.waiting.size === 0 && this.clock() < this.budgetEndsAt) work.run();
    else this.waiting.add(work);
  }

  private runTurn(): void {
    this.budgetEndsAt = this.clock() + this.turnBudgetMs;
    for (const work of this.waiting) {
      this.waiting.delete(work);
      if (work.isWanted()) work.run();
      if (this.clock() >= this.budgetEndsAt) break;
    }
    this.isTurnScheduled = this.waiting.size > 0;
    if (this.isTurnScheduled) this.nextTurn(() => this.runTurn());
  }
}
