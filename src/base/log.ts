/** The log of a controller: one JSON object a line on standard error. */
import pino from 'pino';

/** A logger whose lines carry the label of the controller as `node`. */
export type Log = pino.Logger;

const levels = ['error', 'info', 'debug'] as const;

const standardError = (): pino.DestinationStream => pino.destination({ fd: 2, sync: true });

/** Creates the log of a controller. `level` is `error`, `info` or `debug`; anything else counts as `info`. */
export function createLog(
  label: string,
  level: string | undefined,
  destination: pino.DestinationStream = standardError(),
): Log {
  const chosen = levels.find((name) => name === level) ?? 'info';
  return pino(
    { level: chosen, base: { node: label }, timestamp: pino.stdTimeFunctions.isoTime },
    destination,
  );
}

/** Drops all lines; for tests. */
export const silentLog: Log = pino({ level: 'silent' });
