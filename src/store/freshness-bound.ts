/** How recent a copy of the state service's keys is. */

/** Revisions that the copy has not reached yet are remembered up to so many; leaving one out only understates freshness. */
const maxPending = 64;

/** An answer to a request sent at this time named this revision. */
interface RevisionObservation {
  sentAt: number;
  revision: number;
}

/**
 * Computes up to when the copy holds all changes. An answer that names a revision proves that everything committed before
 * its request was *sent* is at or below that revision; once the copy has reached it, the copy holds all of that. Other
 * answers, refusals and open watches prove nothing, however recent. Times are readings of one clock, in milliseconds.
 */
export class FreshnessBound {
  private pending: RevisionObservation[] = [];
  private provenUntil = -Infinity;
  private newestSentAt = -Infinity;

  /** When the last request was sent whose answer named a revision; `-Infinity` before the first. */
  get lastRevisionSeenAt(): number {
    return this.newestSentAt;
  }

  /** Records that the answer to a request sent at this time named this revision. */
  recordRevision(sentAt: number, revision: number): void {
    this.newestSentAt = Math.max(this.newestSentAt, sentAt);
    const last = this.pending.at(-1);
    if (last?.revision === revision) last.sentAt = Math.max(last.sentAt, sentAt);
    else if (this.pending.length < maxPending) this.pending.push({ sentAt, revision });
  }

  /**
   * A copy that has reached this revision holds every change committed before the returned time; `-Infinity` where
   * nothing is proven.
   */
  knownUntil(revision: number): number {
    // Asked for with every heartbeat, and mostly there is nothing new.
    if (this.pending.every((observation) => observation.revision > revision)) return this.provenUntil;
    this.pending = this.pending.filter((observation) => {
      if (observation.revision > revision) return true;
      this.provenUntil = Math.max(this.provenUntil, observation.sentAt);
      return false;
    });
    return this.provenUntil;
  }
}
