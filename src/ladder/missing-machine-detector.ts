/** A list shows what was so many times its lag ago at the most. */
const maxListAgeLags = 2;

/** Which machines the cloud's list should name and does not. */
export class MissingMachineDetector {
  private readonly lastSeen = new Map<string, number>();
  private listedAt = -Infinity;

  constructor(private readonly lagMs: number) {}

  /** When the last list came. */
  get lastListAt(): number {
    return this.listedAt;
  }

  /**
   * Takes the next list. A list may be older than the one before it, and a machine that has just been rented is not on it
   * yet, so one is missing only once it has been for longer than that. One that was gone before our first list is on none:
   * it is missing from when it was first expected.
   */
  recordList(now: number, listed: Iterable<string>, expected: Iterable<string>): string[] {
    // After a pause of this process, or an outage of the cloud, the last list is too old for a machine to be missed by it.
    if (now - this.listedAt > this.lagMs * maxListAgeLags) {
      for (const id of this.lastSeen.keys()) this.lastSeen.set(id, now);
    }
    this.listedAt = now;
    for (const id of listed) this.lastSeen.set(id, now);
    for (const id of expected) if (!this.lastSeen.has(id)) this.lastSeen.set(id, now);
    const missing = [...this.lastSeen]
      .filter(([, at]) => now - at > this.lagMs * maxListAgeLags)
      .map(([id]) => id);
    for (const id of missing) this.lastSeen.delete(id);
    return missing;
  }
}
