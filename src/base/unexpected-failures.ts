/** Logging of failures that the program does not expect. */
import type { Log } from './log.js';

/**
 * Logs the failure of background work, that is, work whose result no caller waits for. Background work
 * handles the failures that it expects, so any other failure is a defect of the program. The caller throws
 * the error again after logging it, and the error ends the process like any other unhandled error.
 */
export function logUnexpectedFailure(log: Log, work: string, error: unknown): void {
  log.error(
    { event: 'unexpected-failure', work, err: error },
    'background work failed unexpectedly; the process exits',
  );
}
