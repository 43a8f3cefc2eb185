/** Signals that a placement round of a block is requested. */
import { onAbort } from '../base/abort-callbacks.js';
import { timer } from '../base/clock.js';

/**
 * Collects requests for placement rounds. All requests before the start of a round are handled by that round.
 * The first round is requested from the start.
 */
export class RoundTrigger {
  private requested = true;
  /** Ends the wait in progress; undefined while nothing waits. */
  private wake: (() => void) | undefined;

  /** Whether a round has been requested since the last round began. */
  get isRequested(): boolean {
    return this.requested;
  }

  /** Requests a round, because a change may let a task start. */
  request(): void {
    this.requested = true;
    this.wake?.();
  }

  /** Marks all requests so far as handled, because a round begins. */
  clear(): void {
    this.requested = false;
  }

  /** Settles after `ms`, or as soon as a round is requested or the signal fires. */
  async wait(ms: number, signal: AbortSignal): Promise<void> {
    const timeUp = timer(ms);
    const stopListening = onAbort(signal, () => this.wake?.());
    const woken = new Promise<void>((resolve) => {
      this.wake = resolve;
    });
    await Promise.race([timeUp.expired, woken]);
    timeUp.cancel();
    stopListening();
    this.wake = undefined;
  }
}
