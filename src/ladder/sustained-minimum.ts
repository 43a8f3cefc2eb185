/** Computes the minimum of a count over a sliding time window. */

interface CountSample {
  at: number;
  count: number;
}

/** Stores the recorded counts of each key for the length of the time window, and computes their minimum. */
export class SustainedMinimum {
  private readonly samplesByKey = new Map<string, CountSample[]>();

  /**
   * Records a count at `now`, in ms. Returns the minimum count of the key during the previous `windowMs`, or
   * 0 if the samples do not cover a whole window yet.
   */
  record(key: string, count: number, now: number, windowMs: number): number {
    const windowStart = now - windowMs;
    const samples = [...(this.samplesByKey.get(key) ?? []), { at: now, count }];
    // The latest sample at or before the start of the window is included, because its count was valid when
    // the window began.
    const baselineIndex = samples.findLastIndex((sample) => sample.at <= windowStart);
    const recent = samples.slice(Math.max(0, baselineIndex));
    this.samplesByKey.set(key, recent);
    return baselineIndex < 0 ? 0 : Math.min(...recent.map((sample) => sample.count));
  }
}
