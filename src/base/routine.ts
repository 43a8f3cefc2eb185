/** Runs the long-lived background duties of a controller. */
import { sleep } from './clock.js';
import type { Log } from './log.js';

/**
 * Runs a background duty until the signal fires. If the duty throws, logs `duty-failed`. After the duty has
 * returned or thrown, starts it again after `pauseMs` milliseconds, because one bad response from another
 * service must not end a controller. Never rejects.
 */
export async function runRoutine(
  name: string,
  signal: AbortSignal,
  log: Log,
  duty: (signal: AbortSignal) => Promise<void>,
  pauseMs = 500,
): Promise<void> {
  const logFailure = (error: unknown): void => {
    if (!signal.aborted)
      log.error(
        { event: 'duty-failed', duty: name, err: error },
        'background duty failed; starting it again',
      );
  };
  while (!signal.aborted) {
    try {
      await duty(signal);
    } catch (error) {
      logFailure(error);
    }
    await sleep(pauseMs, signal);
  }
}
