/** Freshness bound of the replica of the state service. */

/** Answers whose changes the copy lacks are remembered up to so many; leaving one out only makes us more careful. */
const maxPending = 64;

interface RevisionObservation {
  sentAt: number;
  revision: number;
}

/**
 * How recent our knowledge of the store is. An answer that names a revision proves that all which was committed before
 * its request was *sent* is at or below that revision; once the copy has reached it, all of that is known here. Other
 * answers, refusals and open watches move nothing, however recently they came.
 */
export class FreshnessBound {
  private pending: RevisionObservation[] = [];
  private knownAt = -Infinity;
  private newestSentAt = -Infinity;

  /** When the last request was sent whose answer named a revision. */
  get lastRevisionSeenAt(): number {
    return this.newestSentAt;
  }

  recordRevision(sentAt: number, revision: number): void {
    this.newestSentAt = Math.max(this.newestSentAt, sentAt);
    const last = this.pending.at(-1);
    if (last?.revision === revision) last.sentAt = Math.max(last.sentAt, sentAt);
    else if (this.pending.length < maxPending) this.pending.push({ sentAt, revision });
  }

  /** Every change committed before this moment of our clock is in a copy that has reached `revision`. */
  knownUntil(revision: number): number {
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
