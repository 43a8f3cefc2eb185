/** The transaction that decides a job's end, whoever finds it out. */
import { type OutcomeRecord, outcomeRecord } from './job-records.js';
import { outcomeKey, jobKey } from './keys.js';
import type { Condition, Write } from './state.js';

export interface OutcomeTransaction {
  conditions: Condition[];
  /** The end, and the job's record, which goes with it. */
  writes: [{ put: string; value: unknown }, Write];
}

/** Changes that one such transaction takes. */
export const changesPerOutcome = 2;

/** Conditioned on the job alone: it has no end yet, and its record is the one that the end was found out from. */
export function outcomeTransaction(
  id: string,
  jobVersion: number,
  record: OutcomeRecord,
): OutcomeTransaction {
  return {
    conditions: [
      { key: outcomeKey(id), version: 0 },
      { key: jobKey(id), version: jobVersion },
    ],
    writes: [{ put: outcomeKey(id), value: outcomeRecord(record) }, { drop: jobKey(id) }],
  };
}
