import pino from 'pino';

export type Log = pino.Logger;

const levels = ['error', 'info', 'debug'] as const;

/** Logging goes to standard error; an unknown LOG_LEVEL counts as `info`. */
export function createLog(label: string, level: string | undefined): Log {
  const chosen = levels.find((name) => name === level) ?? 'info';
  return pino(
    { level: chosen, base: { node: label }, timestamp: pino.stdTimeFunctions.isoTime },
    pino.destination({ fd: 2, sync: true }),
  );
}

export const silentLog: Log = pino({ level: 'silent' });
