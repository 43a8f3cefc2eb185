import { performance } from 'node:perf_hooks';
import { onAbort } from './aborts.js';

/** Steady time in milliseconds. Injected everywhere a decision depends on time, so that traces replay. */
export type Clock = () => number;

export const steadyClock: Clock = () => performance.now();

/** Waits, and returns early without an error when the signal fires: callers look at the signal themselves. */
export function sleep(ms: number, signal: AbortSignal): Promise<void> {
  if (signal.aborted) return Promise.resolve();
  return new Promise((resolve) => {
    const stop = onAbort(signal, () => {
      clearTimeout(handle);
      resolve();
    });
    const handle = setTimeout(() => {
      stop();
      resolve();
    }, ms);
  });
}

/** A deadline that others may wait for together with something else; `cancel` ends it without anybody's notice. */
export function timer(ms: number): { over: Promise<void>; cancel: () => void } {
  let handle: NodeJS.Timeout | undefined;
  const over = new Promise<void>((resolve) => {
    handle = setTimeout(resolve, ms);
  });
  return { over, cancel: () => clearTimeout(handle) };
}
