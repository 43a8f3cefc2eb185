/** Computes how recent the replica of the store is. */

/**
 * Limit of stored observations of revisions that the replica has not reached yet. Observations beyond the
 * limit are dropped. As a result, the replica can appear less recent than it is, but never more recent.
 */
const maxPendingObservations = 64;

/** An answer of the store that contained a revision, with the time at which the request was sent. */
interface RevisionObservation {
  sentAt: number;
  revision: number;
}

/**
 * Computes the time up to which the replica contains all changes. If the answer to a request contains a
 * revision, every change that was committed before the request was *sent* is at or below this revision. When
 * the replica has reached the revision, it contains all these changes. Answers without a revision, refusals
 * and open watch requests prove nothing, even if they are recent. Times are monotonic times in ms.
 */
export class FreshnessBound {
  private pendingObservations: RevisionObservation[] = [];
  private provenUntil = -Infinity;
  private newestSentAt = -Infinity;

  /**
   * The time at which the latest request was sent whose answer contained a revision; `-Infinity` before the
   * first such answer.
   */
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
   * Returns the time before which every committed change is contained in a replica that has reached this
   * revision. The time is `-Infinity` until the replica has reached the revision of a recorded answer.
   */
  knownUntil(revision: number): number {
    // Fast path: this method is called for every heartbeat, and usually the replica has reached the revision
    // of no pending observation since the previous call.
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
