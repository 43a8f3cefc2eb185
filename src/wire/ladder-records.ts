/**
 * The thresholds of a pool of machines of one type, spot or not.
 *
 * `ladder/<pool>`, written by the leader's `ThresholdStore` after it moved thresholds; read by the same when a leader begins.
 *
 * | stored | ours | unit |
 * | --- | --- | --- |
 * | `moved` | list of pairs | [number of the machine in the pool from 2, threshold in slots], the last moved one last |
 */
import { isFields, list, number } from './codec.js';

/** Worst case of a threshold, and of a ladder without any, in the JSON form that limits are measured in. */
const bytesPerThreshold = 20;

const bytesPerLadder = 20;

/**
 * The stored form of the thresholds that were moved from where they start. Of too many for a value of `valueBytes` bytes the
 * last moved ones stay.
 */
export function ladderRecord(moved: [number, number][], valueBytes = Infinity): unknown {
  const most = Math.floor((valueBytes - bytesPerLadder) / bytesPerThreshold);
  return { moved: moved.slice(-most) };
}

/** The moved thresholds; empty where the pool has no record. */
export function parseLadder(value: unknown): [number, number][] {
  return list(isFields(value) ? value['moved'] : undefined).map((entry) => {
    const [m, slots] = list(entry);
    return [number(m), number(slots)];
  });
}
