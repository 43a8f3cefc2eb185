import pino from 'pino';

export type Log = pino.Logger;

const levels = ['error', 'info', 'debug'] as const;

const standardError = (): pino.DestinationStream => pino.destination({ fd: 2, sync: true });

/** An unknown LOG_LEVEL counts as `info`. */
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

export const silentLog: Log = pino({ level: 'silent' });
