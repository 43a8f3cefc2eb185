/**
 * The transaction that decides a job's outcome, whoever finds it out: it writes `end/<id>` and drops `job/<id>`. The forms of
 * both records are in `job-records.ts`. `JobCanceller`, `CancellationCascade` and `JobCompletion` commit it; of two outcomes
 * committed at a time one fails, since neither may exist before.
 */
import { type OutcomeRecord, outcomeRecord } from './job-records.js';
import { jobKey, outcomeKey } from './keys.js';
import type { Condition, Write } from './state.js';

/** The conditions and writes of one outcome; several may be joined in one commit. */
export interface OutcomeTransaction {
  conditions: Condition[];
  /** The outcome is put, the job's record dropped. */
  writes: [{ put: string; value: unknown }, Write];
}

/** How many writes one such transaction counts for, where the state service limits them. */
export const changesPerOutcome = 2;

/**
 * Conditioned on the job alone: it has no outcome yet, and its record still has `jobVersion`, the version from which the
 * outcome was found out.
 */
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
