/** The least that a count has been all along over the last while; 0 until there has been such a while. */
export class SustainedMinimum {
  private readonly samples = new Map<string, { at: number; count: number }[]>();

  record(key: string, count: number, now: number, windowMs: number): number {
    const since = now - windowMs;
    const samples = [...(this.samples.get(key) ?? []), { at: now, count }];
    // The newest of those before the window stands for what held when it began.
    const first = samples.findLastIndex((sample) => sample.at <= since);
    const recent = samples.slice(Math.max(0, first));
    this.samples.set(key, recent);
    return first < 0 ? 0 : Math.min(...recent.map((sample) => sample.count));
  }
}
