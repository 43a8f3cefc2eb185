/**
 * The transaction that records a job's outcome: it writes `end/<id>` and deletes `job/<id>`. `job-records.ts`
 * defines the forms of both records. `JobCanceller`, `CancellationCascade` and `JobCompletion` commit the
 * transaction. If two outcomes of a job are committed concurrently, one of the commits fails, because each
 * commit is conditioned on the absence of an outcome.
 */
import { type OutcomeRecord, outcomeRecord } from './job-records.js';
import { jobKey, outcomeKey } from './keys.js';
import type { Condition, Write } from './state.js';

/**
 * The conditions and writes of one outcome. One commit may combine the conditions and writes of several
 * outcomes.
 */
export interface OutcomeTransaction {
  conditions: Condition[];
  /** The first write stores the outcome. The second write deletes the record of the job. */
  writes: [{ put: string; value: unknown }, Write];
}

/**
 * Number of writes for one outcome. These writes count towards the state service's limit of writes per
 * transaction.
 */
export const writesPerOutcome = 2;

/**
 * Builds the transaction for the outcome of one job. It has two conditions: the job has no outcome yet, and
 * the record of the job still has the version `jobVersion`, from which the outcome was determined.
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
