/**
 * The transaction that records a job's outcome: it writes `end/<id>` and deletes `job/<id>`. `job-records.ts`
 * defines the forms of both records. `JobCanceller`, `CancellationCascade` and `JobCompletion` commit it. If
 * two outcomes of a job are committed concurrently, one commit fails, since each is conditioned on the
 * absence of an outcome.
 */
import { type OutcomeRecord, outcomeRecord } from './job-records.js';
import { jobKey, outcomeKey } from './keys.js';
import type { Condition, Write } from './state.js';

/** The conditions and writes of one outcome; one commit may combine those of several outcomes. */
export interface OutcomeTransaction {
  conditions: Condition[];
  /** The first write stores the outcome, the second deletes the job's record. */
  writes: [{ put: string; value: unknown }, Write];
}

/** The number of writes for one outcome, which counts towards the state service's limit of writes. */
export const writesPerOutcome = 2;

/**
 * Builds the transaction for the outcome of one job. Its only conditions are that the job has no outcome yet
 * and that the job's record still has the version `jobVersion`, from which the outcome was determined.
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
