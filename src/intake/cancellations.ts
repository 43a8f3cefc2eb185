/**
 * Tracks the cancellations that this controller may have confirmed to users, and lists them for its peers.
 */
import type { CancellationList } from '../wire/peer-status.js';

/** Maximum number of tracked cancellations. Users request fewer cancellations than this during an outage. */
const maxTrackedCancellations = 4000;
/** Maximum number of cancellations in one status message to a peer. A longer list is truncated. */
const maxListedCancellations = 500;

/**
 * The cancellations that this incarnation of the controller has recorded. Each status that the controller
 * sends to a peer contains a list of these cancellations and a revision of the store, `cancelledSince`. The
 * list is complete for the revisions after `cancelledSince`: it contains every cancellation with a later
 * revision that this controller may have confirmed to a user, because the controller confirms a cancellation
 * only if the cancellation is recorded here. A peer without access to the store whose replica has reached
 * `cancelledSince` therefore has every cancellation that this controller may have confirmed, either in the
 * replica or on the list. As far as this controller is concerned, the peer may continue all other jobs.
 *
 * `cancelledSince` is never lower than the revision at which this incarnation first read the store.
 * Cancellations that an earlier incarnation confirmed were committed before this revision, and may be missing
 * from the list.
 */
export class Cancellations {
  /** Store revision of each cancelled job's outcome, by job id, in the order of recording. */
  private readonly versionsByJob = new Map<string, number>();
  /** The highest store revision among the cancellations that were dropped because of the limit. */
  private highestDroppedVersion = 0;
  /** The highest store revision among all recorded cancellations. */
  private highestVersion = 0;

  /**
   * @param firstRevision returns the store revision at which this incarnation first read the store; undefined
   *   before that
   */
  constructor(private readonly firstRevision: () => number | undefined) {}

  /** Records a cancelled job. `version` is the store revision at which the job's outcome was committed. */
  record(id: string, version: number): void {
    this.versionsByJob.set(id, version);
    this.highestVersion = Math.max(this.highestVersion, version);
    if (this.versionsByJob.size <= maxTrackedCancellations) return;
    for (const [oldestJob, droppedVersion] of this.versionsByJob) {
      this.versionsByJob.delete(oldestJob);
      this.highestDroppedVersion = Math.max(this.highestDroppedVersion, droppedVersion);
      return;
    }
  }

  /**
   * Returns the list for a peer whose replica of the store has reached `revision`. The list contains every
   * cancellation after the revision `cancelledSince`. If older cancellations are missing from the list,
   * `cancelledSince` is higher than `revision`.
   */
  listSince(revision: number): CancellationList {
    const cancelledSince = Math.max(this.firstRevision() ?? Infinity, this.highestDroppedVersion, revision);
    // Fast path: this method runs for every status message to every peer, and the replicas of most peers
    // already contain all cancellations.
    if (this.highestVersion <= cancelledSince) return { cancelledSince, cancelled: [] };
    const cancelled = [...this.versionsByJob].filter(([, version]) => version > cancelledSince);
    if (cancelled.length <= maxListedCancellations) return { cancelledSince, cancelled };
    cancelled.sort(([, a], [, b]) => b - a);
    return {
      cancelledSince: cancelled[maxListedCancellations]?.[1] ?? Infinity,
      cancelled: cancelled.slice(0, maxListedCancellations),
    };
  }
}
