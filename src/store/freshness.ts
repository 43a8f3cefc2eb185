/** Freshness bound of the replica of the state service. */

/** Answers whose changes the copy lacks are remembered up to so many; leaving one out only makes us more careful. */
const mostPending = 64;

interface Sighting {
  sentAt: number;
  revision: number;
}

/**
 * How recent our knowledge of the store is. An answer that names a revision proves that all which was committed before
 * its request was *sent* is at or below that revision; once the copy has reached it, all of that is known here. Other
 * answers, refusals and open watches move nothing, however recently they came.
 */
export class FreshnessBound {
  private pending: Sighting[] = [];
  private knownAt = -Infinity;
  private newest = -Infinity;

  /** When the last request was sent whose answer named a revision. */
  get lastSighting(): number {
    return this.newest;
  }

  note(sentAt: number, revision: number): void {
    this.newest = Math.max(this.newest, sentAt);
    const last = this.pending.at(-1);
    if (last?.revision === revision) last.sentAt = Math.max(last.sentAt, sentAt);
    else if (this.pending.length < mostPending) this.pending.push({ sentAt, revision });
  }

  /** Every change committed before this moment of our clock is in a copy that has reached `revision`. */
  until(revision: number): number {
    // Asked for with every report, and mostly there is nothing new.
    if (this.pending.every((sighting) => sighting.revision > revision)) return this.knownAt;
    this.pending = this.pending.filter((sighting) => {
      if (sighting.revision > revision) return true;
      this.knownAt = Math.max(this.knownAt, sighting.sentAt);
      return false;
    });
    return this.knownAt;
  }
}
