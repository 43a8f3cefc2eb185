/** Detects machines that are missing from the cloud's machine list. */

/** Maximum age of the cloud state that a machine list shows, as a multiple of the list lag. */
const maxListAgeLags = 2;

/**
 * Detects machines that have been missing from the cloud's machine list for longer than the list may lag
 * behind the state of the cloud. A single list without the machine proves nothing, because lists may arrive
 * out of order, and a machine that was just rented is on no list yet. Times are monotonic, in ms.
 */
export class MissingMachineDetector {
  private readonly lastSeenAt = new Map<string, number>();
  private listedAt = -Infinity;

  constructor(private readonly listLagMs: number) {}

  /** Time at which the latest list was recorded; -Infinity before the first list. */
  get lastListAt(): number {
    return this.listedAt;
  }

  /**
   * Records a list and returns the ids of the machines that have been missing for too long. A machine is
   * returned once, unless it is expected or listed again. `expected` contains the machines that should be
   * listed. If a machine was never listed, the time is counted from when the machine was first expected.
   * After a gap between lists (a pause of this process or an outage of the cloud), the time is counted anew
   * for all machines.
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
