/**
 * Tracks the cancellations that this controller may have confirmed to users, and lists them for its peers.
 */
import type { CancellationList } from '../wire/peer-status.js';

/** Maximum number of cancellations to track; more than users request during an outage. */
const maxTrackedCancellations = 4000;
/** Maximum number of cancellations listed in one peer status; the list is truncated beyond it. */
const maxListedCancellations = 500;

/**
 * All cancellations that this incarnation of the controller knows of. The controller confirms a cancellation
 * to a user only if it is recorded here, so a peer without access to the store may continue every job that is
 * not listed. Cancellations confirmed by an earlier incarnation were in the store before this incarnation
 * first read it, so a list is complete only for peers whose replica has reached that revision.
 */
export class Cancellations {
  /** Store revision of each cancelled job's outcome, by job id, in the order of recording. */
  private readonly versionsByJob = new Map<string, number>();
  /** The highest version among the entries that were dropped because the limit was reached. */
  private highestDroppedVersion = 0;
  private highestVersion = 0;

  /**
   * `firstRevision`: the store's revision when this incarnation first read the store; undefined before that.
   */
  constructor(private readonly firstRevision: () => number | undefined) {}

  /** Records a cancelled job with the store revision at which its outcome was committed. */
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
   * Returns the list for a peer whose replica has reached `revision`. The list is complete for cancellations
   * after the revision `cancelledSince`, which is above `revision` if older entries are missing from the
   * list.
   */
  listSince(revision: number): CancellationList {
    const cancelledSince = Math.max(this.firstRevision() ?? Infinity, this.highestDroppedVersion, revision);
    // Fast path: this runs for every status sent to every peer, and most peers already have all
    // cancellations.
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
