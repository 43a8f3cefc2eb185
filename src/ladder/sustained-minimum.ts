/** The minimum of a count over a sliding window. */

interface CountSample {
  at: number;
  count: number;
}

/** Keeps the samples of each key for as long as its window, and answers what a count has been at least throughout it. */
export class SustainedMinimum {
  private readonly samplesByKey = new Map<string, CountSample[]>();

  /** Records a count. Returns the minimum over the window, 0 until the samples span one. */
  record(key: string, count: number, now: number, windowMs: number): number {
    const windowStart = now - windowMs;
    const samples = [...(this.samplesByKey.get(key) ?? []), { at: now, count }];
    // The last sample before the window tells what held when it began.
    const first = samples.findLastIndex((sample) => sample.at <= windowStart);
    const recent = samples.slice(Math.max(0, first));
    this.samplesByKey.set(key, recent);
    return first < 0 ? 0 : Math.min(...recent.map((sample) => sample.count));
  }
}
