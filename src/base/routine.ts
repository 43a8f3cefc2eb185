/** Long-lived background duties of a controller. */
import { sleep } from './clock.js';
import type { Log } from './log.js';

/**
 * Runs a duty until the signal fires. A duty that throws is logged as `duty-failed`, and one that has ended is started
 * again after `pauseMs`: one bad response from outside must not end a controller. Never rejects.
 */
export async function runRoutine(
  name: string,
  signal: AbortSignal,
  log: Log,
  duty: (signal: AbortSignal) => Promise<void>,
  pauseMs = 500,
): Promise<void> {
  const logFailure = (error: unknown): void => {
    if (!signal.aborted) log.error({ event: 'duty-failed', duty: name, err: error }, 'duty failed');
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
