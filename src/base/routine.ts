import { sleep } from './clock.js';
import type { Log } from './log.js';

/**
 * Runs one long-lived duty until the signal fires. A duty that throws is logged and started again after a
 * pause: one bad answer from outside must not end a controller.
 */
export async function runRoutine(
  name: string,
  signal: AbortSignal,
  log: Log,
  duty: (signal: AbortSignal) => Promise<void>,
  pauseMs = 500,
): Promise<void> {
  while (!signal.aborted) {
    try {
      await duty(signal);
    } catch (error) {
      if (!signal.aborted) log.error({ event: 'duty-failed', duty: name, err: error }, 'duty failed');
    }
    await sleep(pauseMs, signal);
  }
}
