/**
 * Stored form of the scale-out thresholds of a pool that the leader has moved from their initial values. A
 * pool consists of the machines of one type, spot or not. Machine number m of a pool is rented when the
 * demand in slots reaches threshold m.
 *
 * `ladder/<pool>` is written by the leader's `ThresholdStore` after the leader has moved thresholds of the
 * pool. The `ThresholdStore` of a new leader reads it at the start of the term.
 *
 * | stored | in the code | unit or meaning |
 * | --- | --- | --- |
 * | `moved` | list of pairs | [machine number in the pool from 2, threshold in slots], latest move last |
 */
import { asList, asNumber, isFieldMap } from './codec.js';

/** Maximum size of one threshold in bytes, as JSON, because size limits refer to the size as JSON. */
const bytesPerThreshold = 20;

/** Maximum size in bytes, as JSON, of a record without thresholds. */
const emptyRecordBytes = 20;

/**
 * The stored form of the thresholds that have been moved from their initial values. If a value of
 * `valueBytes` bytes cannot hold all of them, only the most recently moved thresholds are stored.
 */
export function ladderRecord(moved: [number, number][], valueBytes = Infinity): unknown {
  const maxThresholds = Math.floor((valueBytes - emptyRecordBytes) / bytesPerThreshold);
  return { moved: moved.slice(-maxThresholds) };
}

/**
 * Parses the moved thresholds of a pool as pairs of machine number and threshold in slots. Returns an empty
 * list if the pool has no record.
 */
export function parseLadder(value: unknown): [number, number][] {
  return asList(isFieldMap(value) ? value['moved'] : undefined).map((entry) => {
    const [machineNumber, slots] = asList(entry);
    return [asNumber(machineNumber), asNumber(slots)];
  });
}
