/** Failures that nothing in the program accounts for. */
import type { Log } from './log.js';

/**
 * Logs the failure of work that nobody waits for. Such work handles the failures that it expects, so one that comes out
 * of it is a defect. The caller throws it on, and it ends the process like any other unhandled failure.
 */
export function logDefect(log: Log, work: string, error: unknown): void {
  log.error({ event: 'unexpected-failure', work, err: error }, 'work in the background has failed');
}
