/**
 * A work queue that limits the time spent on work in each event-loop iteration, so that the event loop can
 * serve other sockets before it continues with the queue.
 */
import type { Clock } from './clock.js';

/** A unit of work, for example the handling of one request. */
export interface QueuedWork {
  /**
   * Whether the result of the work is still needed. Called only for work that had to wait, immediately before
   * the work would run.
   */
  isStillNeeded: () => boolean;
  run: () => void;
}

/**
 * Runs work in the order of its arrival, for at most `turnBudgetMs` milliseconds in each iteration of the
 * event loop. Under overload, hundreds of heartbeats are ready in one iteration. If the queue ran all of
 * them, a health check or a response of the key-value store that arrived in the meantime would wait for
 * seconds.
 */
export class TimeSlicedQueue {
  private readonly waiting = new Set<QueuedWork>();
  private isTurnScheduled = false;
  private budgetEndsAt = -Infinity;

  /** `nextTurn` schedules its callback to run after the event loop has polled its sockets. */
  constructor(
    private readonly clock: Clock,
    private readonly turnBudgetMs: number,
    private readonly nextTurn: (callback: () => void) => void = setImmediate,
  ) {}

  /**
   * Runs the work immediately if the time budget of this event-loop iteration is not used up and no other
   * work is waiting. Otherwise the work runs in a later iteration.
   */
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
      if (work.isStillNeeded()) work.run();
      if (this.clock() >= this.budgetEndsAt) break;
    }
    this.isTurnScheduled = this.waiting.size > 0;
    if (this.isTurnScheduled) this.nextTurn(() => this.runTurn());
  }
}
