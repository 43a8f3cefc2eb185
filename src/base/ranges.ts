/** Sets of numbers as ranges: first, last, first, last… */

export function toRanges(sorted: Iterable<number>): number[] {
  const ranges: number[] = [];
  for (const n of sorted) {
    const last = ranges.length - 1;
    if (ranges.length > 0 && ranges[last] === n - 1) ranges[last] = n;
    else ranges.push(n, n);
  }
  return ranges;
}

export function* fromRanges(ranges: number[]): Iterable<number> {
  for (let i = 0; i + 1 < ranges.length; i += 2) {
    for (let n = ranges[i] ?? 0; n <= (ranges[i + 1] ?? -1); n++) yield n;
  }
}

export function rangesSize(ranges: number[]): number {
  let size = 0;
  for (let i = 0; i + 1 < ranges.length; i += 2) size += (ranges[i + 1] ?? 0) - (ranges[i] ?? 0) + 1;
  return size;
}
