/** The log of a controller, written to standard error as one JSON object per line. */
import pino from 'pino';

/** A logger that adds the label of the controller to each line as the field `node`. */
export type Log = pino.Logger;

const levels = ['error', 'info', 'debug'] as const;

const standardError = (): pino.DestinationStream => pino.destination({ fd: 2, sync: true });

/** Creates the log of a controller. `level` is `error`, `info` or `debug`. Any other value means `info`. */
export function createLog(
  label: string,
  level: string | undefined,
  destination: pino.DestinationStream = standardError(),
): Log {
  const validLevel = levels.find((name) => name === level) ?? 'info';
  return pino(
    { level: validLevel, base: { node: label }, timestamp: pino.stdTimeFunctions.isoTime },
    destination,
  );
}

/** A log for tests that discards all lines. */
export const silentLog: Log = pino({ level: 'silent' });
