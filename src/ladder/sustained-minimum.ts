/** Minimum of a count over a sliding time window. */

interface CountSample {
  at: number;
  count: number;
}

/**
 * Stores the counts of each key for the length of the key's time window, and computes their minimum over it.
 */
export class SustainedMinimum {
  private readonly samplesByKey = new Map<string, CountSample[]>();

  /**
   * Records a count at `now`, in ms. Returns the minimum over the last `windowMs`, or 0 until the samples
   * span a whole window.
   */
  record(key: string, count: number, now: number, windowMs: number): number {
    const windowStart = now - windowMs;
    const samples = [...(this.samplesByKey.get(key) ?? []), { at: now, count }];
    // The last sample at or before the start of the window is included: its count was valid when the window
    // began.
    const baselineIndex = samples.findLastIndex((sample) => sample.at <= windowStart);
    const recent = samples.slice(Math.max(0, baselineIndex));
    this.samplesByKey.set(key, recent);
    return baselineIndex < 0 ? 0 : Math.min(...recent.map((sample) => sample.count));
  }
}
