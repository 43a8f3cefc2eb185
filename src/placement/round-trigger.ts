/** Says when the next placement round of a block is wanted. */
import { onAbort } from '../base/aborts.js';
import { timer } from '../base/clock.js';

/** Requests that come before a round begins are served by that round together. The first round is always wanted. */
export class RoundTrigger {
  private requested = true;
  /** Set while somebody waits. */
  private wake: (() => void) | undefined;

  /** Whether a round has been requested since the last one began. */
  get isRequested(): boolean {
    return this.requested;
  }

  /** Something changed that may let a task start: a round is wanted soon. */
  request(): void {
    this.requested = true;
    this.wake?.();
  }

  /** A round begins: it serves all requests so far. */
  clear(): void {
    this.requested = false;
  }

  /** Settles after so many ms, or as soon as a round is requested or the signal fires. */
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
