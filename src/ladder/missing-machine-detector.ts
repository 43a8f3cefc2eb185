/** Detection of machines that are missing from the cloud's machine list. */

/** The state of the cloud that a machine list shows is at most this many times the list lag old. */
const maxListAgeLags = 2;

/**
 * Detects machines that have been missing from the cloud's list for longer than the list may lag behind. A
 * single list without a machine proves nothing: lists may arrive out of order, and a machine that was just
 * rented is on no list yet. Times are monotonic, in ms.
 */
export class MissingMachineDetector {
  private readonly lastSeenAt = new Map<string, number>();
  private listedAt = -Infinity;

  constructor(private readonly listLagMs: number) {}

  /** Time at which the last list was recorded; -Infinity before the first list. */
  get lastListAt(): number {
    return this.listedAt;
  }

  /**
   * Records a list and returns the ids of the machines that have been missing for too long. Each is returned
   * once, unless it is expected or listed again. `expected` contains the machines that should be listed; if a
   * machine was never listed, the time that it has been missing is counted from when it was first expected.
   * After a gap between lists, due to a pause of this process or an outage of the cloud, the time is counted
   * anew for all machines.
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
