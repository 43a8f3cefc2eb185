/** Monotonic time, pauses and deadlines. */
import { performance } from 'node:perf_hooks';

import { onAbort } from './aborts.js';

/** Monotonic time in milliseconds. Injected wherever a decision depends on time, so that tests can set it. */
export type Clock = () => number;

/** The monotonic clock of this process; its zero is the start of the process. */
export const steadyClock: Clock = () => performance.now();

/** Resolves after `ms` milliseconds, or as soon as the signal fires; it never rejects, so callers check the signal. */
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

/** A deadline to wait for together with other promises. */
export interface Timer {
  /** Resolves when the time is up; stays pending after `cancel`. */
  expired: Promise<void>;
  cancel: () => void;
}

/** Starts a timer of `ms` milliseconds. It keeps the process alive until it has expired or is cancelled. */
export function timer(ms: number): Timer {
  let handle: NodeJS.Timeout | undefined;
  const expired = new Promise<void>((resolve) => {
    handle = setTimeout(resolve, ms);
  });
  return { expired, cancel: () => clearTimeout(handle) };
}
