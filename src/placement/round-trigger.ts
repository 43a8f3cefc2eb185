/** Signals requests for placement rounds, in which waiting tasks of a block are assigned to machines. */
import { onAbort } from '../base/abort-callbacks.js';
import { timer } from '../base/clock.js';

/**
 * Collects requests for the placement rounds of one block. A round handles all requests that were made before
 * it begins. The first round is requested when the trigger is created.
 */
export class RoundTrigger {
  private requested = true;
  /** Ends the wait in progress; undefined if no wait is in progress. */
  private wake: (() => void) | undefined;

  /** Whether a placement round has been requested since the previous round began. */
  get isRequested(): boolean {
    return this.requested;
  }

  /** Requests a placement round. Called after a change that may allow a task to start. */
  request(): void {
    this.requested = true;
    this.wake?.();
  }

  /** Marks all previous requests as handled. Called when a placement round begins. */
  clear(): void {
    this.requested = false;
  }

  /**
   * Settles after `ms` milliseconds, or earlier if a placement round is requested or the signal is aborted.
   */
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
