/** Logs failures that the program does not expect. */
import type { Log } from './log.js';

/**
 * Logs the failure of background work, that is, work whose result no caller waits for. Background work
 * handles the failures that it expects, so any other failure is a defect of the program. The caller has to
 * throw the error again after logging, and the error then ends the process like any other unhandled error.
 */
export function logUnexpectedFailure(log: Log, work: string, error: unknown): void {
  log.error(
    { event: 'unexpected-failure', work, err: error },
    'background work failed unexpectedly; the process exits',
  );
}
