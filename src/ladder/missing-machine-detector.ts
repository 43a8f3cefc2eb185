/** Detection of machines that the cloud's list no longer names. */

/** A list shows a state of the cloud that is at most this many times the list's lag old. */
const maxListAgeLags = 2;

/**
 * Notices which machines have been missing from the cloud's list for longer than the list may lag behind. Lists may
 * overtake each other, and a machine that was just rented is on none yet, so one list without it proves nothing.
 * Times are monotonic, in ms.
 */
export class MissingMachineDetector {
  private readonly lastSeenAt = new Map<string, number>();
  private listedAt = -Infinity;

  constructor(private readonly listLagMs: number) {}

  /** When the last list came; -Infinity before the first. */
  get lastListAt(): number {
    return this.listedAt;
  }

  /**
   * Takes the next list and returns the machines that are missing by now; each is returned once, unless it is expected
   * or listed again. `expected` are machines that should be listed: one that never was counts from when it was first
   * expected. After a gap between lists, by a pause of this process or an outage of the cloud, all count anew.
   */
  recordList(now: number, listed: Iterable<string>, expected: Iterable<string>): string[] {
    const maxListAgeMs = this.listLagMs * maxListAgeLags;
    if (now - this.listedAt > maxListAgeMs) {
      for (const id of this.lastSeenAt.keys()) this.lastSeenAt.set(id, now);
    }
    this.listedAt = now;
    for (const id of listed) this.lastSeenAt.set(id, now);
    for (const id of expected) if (!this.lastSeenAt.has(id)) this.lastSeenAt.set(id, now);
    const missing = [...this.lastSeenAt]
      .filter(([, seenAt]) => now - seenAt > maxListAgeMs)
      .map(([id]) => id);
    for (const id of missing) this.lastSeenAt.delete(id);
    return missing;
  }
}
