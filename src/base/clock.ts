/** Monotonic time, sleeps and timers. */
import { performance } from 'node:perf_hooks';

import { onAbort } from './abort-callbacks.js';

/**
 * Returns the monotonic time in milliseconds. Code that depends on time receives its clock as a parameter, so
 * that tests can set the time.
 */
export type Clock = () => number;

/** The monotonic clock of this process. Its time counts from the start of the process. */
export const monotonicClock: Clock = () => performance.now();

/**
 * Resolves after `ms` milliseconds, or as soon as the signal fires. Never rejects. A caller that has to
 * distinguish the two cases checks `signal.aborted`.
 */
export function sleep(ms: number, signal: AbortSignal): Promise<void> {
  if (signal.aborted) return Promise.resolve();
  return new Promise((resolve) => {
    const stopListening = onAbort(signal, () => {
      clearTimeout(handle);
      resolve();
    });
    const handle = setTimeout(() => {
      stopListening();
      resolve();
    }, ms);
  });
}

/** A cancellable time-out in the form of a promise, for example for use in `Promise.race`. */
export interface Timer {
  /** Resolves when the timer expires. After `cancel` it stays pending for ever. */
  expired: Promise<void>;
  cancel: () => void;
}

/**
 * Starts a timer that expires after `ms` milliseconds. The timer keeps the process alive until it has expired
 * or is cancelled.
 */
export function timer(ms: number): Timer {
  let handle: NodeJS.Timeout | undefined;
  const expired = new Promise<void>((resolve) => {
    handle = setTimeout(resolve, ms);
  });
  return { expired, cancel: () => clearTimeout(handle) };
}
