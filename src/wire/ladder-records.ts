/**
 * Stored form of the thresholds of a pool, which consists of the machines of one type, spot or not.
 *
 * `ladder/<pool>` is written by the leader's `ThresholdStore` after the leader has moved thresholds. The
 * `ThresholdStore` of a new leader reads it at the start of the leader's term.
 *
 * | stored | in the code | unit |
 * | --- | --- | --- |
 * | `moved` | list of pairs | [machine number in the pool from 2, threshold in slots], last moved one last |
 */
import { asList, asNumber, isFieldMap } from './codec.js';

/** Bytes that one threshold takes at most, as JSON: size limits are measured in that form. */
const bytesPerThreshold = 20;

/** Bytes that a record without thresholds takes at most, as JSON. */
const emptyRecordBytes = 20;

/**
 * The stored form of the thresholds that have been moved from their start value. If there are too many for a
 * value of `valueBytes` bytes, only the most recently moved ones are stored.
 */
export function ladderRecord(moved: [number, number][], valueBytes = Infinity): unknown {
  const maxThresholds = Math.floor((valueBytes - emptyRecordBytes) / bytesPerThreshold);
  return { moved: moved.slice(-maxThresholds) };
}

/** Parses the moved thresholds of a pool; empty if the pool has no record. */
export function parseLadder(value: unknown): [number, number][] {
  return asList(isFieldMap(value) ? value['moved'] : undefined).map((entry) => {
    const [machineNumber, slots] = asList(entry);
    return [asNumber(machineNumber), asNumber(slots)];
  });
}
