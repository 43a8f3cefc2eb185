/** Computes how recent a replica of the state service's keys is. */

/**
 * Largest number of stored observations of revisions that the replica has not reached yet. Further ones are
 * dropped, which can only make the replica appear less recent than it is.
 */
const maxPendingObservations = 64;

/** The answer to a request sent at `sentAt` contained this revision. */
interface RevisionObservation {
  sentAt: number;
  revision: number;
}

/**
 * Computes the time up to which the replica contains all changes. An answer that contains a revision proves
 * that every change committed before its request was *sent* is at or below that revision. When the replica
 * has reached the revision, it contains all these changes. Other answers, refusals and open watches prove
 * nothing, however recent they are. Times are readings of one clock, in milliseconds.
 */
export class FreshnessBound {
  private pendingObservations: RevisionObservation[] = [];
  private provenUntil = -Infinity;
  private newestSentAt = -Infinity;

  /** The send time of the latest request whose answer contained a revision; `-Infinity` before the first. */
  get lastRevisionSeenAt(): number {
    return this.newestSentAt;
  }

  /** Records that the answer to a request sent at `sentAt` contained this revision. */
  recordRevision(sentAt: number, revision: number): void {
    this.newestSentAt = Math.max(this.newestSentAt, sentAt);
    const last = this.pendingObservations.at(-1);
    if (last?.revision === revision) last.sentAt = Math.max(last.sentAt, sentAt);
    else if (this.pendingObservations.length < maxPendingObservations)
      this.pendingObservations.push({ sentAt, revision });
  }

  /**
   * A replica that has reached this revision contains every change committed before the returned time;
   * `-Infinity` if no answer has proven a time yet.
   */
  knownUntil(revision: number): number {
    // Fast path: this method is called with every heartbeat, and usually no pending observation has been
    // reached.
    if (this.pendingObservations.every((observation) => observation.revision > revision))
      return this.provenUntil;
    this.pendingObservations = this.pendingObservations.filter((observation) => {
      if (observation.revision > revision) return true;
      this.provenUntil = Math.max(this.provenUntil, observation.sentAt);
      return false;
    });
    return this.provenUntil;
  }
}
