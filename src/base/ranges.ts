/** Sets of integers as flat lists of ranges with inclusive bounds: first, last, first, last, … */

/** Converts integers to ranges. `sorted` has to be in ascending order without duplicates. */
export function toRanges(sorted: Iterable<number>): number[] {
  const ranges: number[] = [];
  for (const value of sorted) {
    const last = ranges.length - 1;
    if (ranges.length > 0 && ranges[last] === value - 1) ranges[last] = value;
    else ranges.push(value, value);
  }
  return ranges;
}

/**
 * Yields the integers in the ranges one by one. A lower bound without an upper bound at the end of the list
 * is ignored.
 */
export function* expandRanges(ranges: number[]): Iterable<number> {
  for (let i = 0; i + 1 < ranges.length; i += 2) {
    for (let value = ranges[i] ?? 0; value <= (ranges[i + 1] ?? -1); value++) yield value;
  }
}

/** Counts the integers in the ranges. */
export function rangesSize(ranges: number[]): number {
  let size = 0;
  for (let i = 0; i + 1 < ranges.length; i += 2) size += (ranges[i + 1] ?? 0) - (ranges[i] ?? 0) + 1;
  return size;
}
