/** The transaction that decides a job's end, whoever finds it out. */
import { type EndRecord, endRecord } from './job-records.js';
import { endKey, jobKey } from './keys.js';
import type { Condition, Write } from './state.js';

export interface EndTransaction {
  conditions: Condition[];
  /** The end, and the job's record, which goes with it. */
  writes: [{ put: string; value: unknown }, Write];
}

/** Changes that one such transaction takes. */
export const changesPerEnd = 2;

/** Conditioned on the job alone: it has no end yet, and its record is the one that the end was found out from. */
export function endTransaction(id: string, jobVersion: number, record: EndRecord): EndTransaction {
  return {
    conditions: [
      { key: endKey(id), version: 0 },
      { key: jobKey(id), version: jobVersion },
    ],
    writes: [{ put: endKey(id), value: endRecord(record) }, { drop: jobKey(id) }],
  };
}
