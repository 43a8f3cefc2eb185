/** The thresholds of a pool of machines. */
import { isFields, list, number } from './codec.js';

/** Worst case of a threshold, and of a ladder without any, in the JSON form that limits are measured in. */
const bytesPerThreshold = 20;

const bytesPerLadder = 20;

/** The thresholds of a pool that were moved from where they start: [m, slots]; of too many for a value the last ones. */
export function ladderRecord(moved: [number, number][], valueBytes = Infinity): unknown {
  const most = Math.floor((valueBytes - bytesPerLadder) / bytesPerThreshold);
  return { moved: moved.slice(-most) };
}

export function parseLadder(value: unknown): [number, number][] {
  return list(isFields(value) ? value['moved'] : undefined).map((entry) => {
    const [m, slots] = list(entry);
    return [number(m), number(slots)];
  });
}
