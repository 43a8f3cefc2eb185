/** The cancellations that this controller may have confirmed to users, listed for its peers. */
import type { ListedCancellations } from '../wire/peer-status.js';

/** Cancellations that are remembered; more than users send during an outage. */
const maxRemembered = 4000;
/** Cancellations that one peer status lists; any beyond make the list incomplete. */
const maxPerStatus = 500;

/**
 * All cancellations that this incarnation of the controller knows of. It confirms to users only what it knows, so a peer
 * without access to the store may continue every job that is not listed. What an earlier incarnation confirmed was in the
 * store before this one first read it, so a list is complete only for peers whose replica has reached that revision.
 */
export class Cancellations {
  private readonly versions = new Map<string, number>();
  /** The highest version that was dropped when the memory was full. */
  private highestDroppedVersion = 0;
  private highestVersion = 0;

  /** `firstRevision`: the store's revision when this incarnation first read it; undefined before that. */
  constructor(private readonly firstRevision: () => number | undefined) {}

  /** Records a cancelled job with the store's revision of its outcome. */
  record(id: string, version: number): void {
    this.versions.set(id, version);
    this.highestVersion = Math.max(this.highestVersion, version);
    if (this.versions.size <= maxRemembered) return;
    for (const [oldest, droppedVersion] of this.versions) {
      this.versions.delete(oldest);
      this.highestDroppedVersion = Math.max(this.highestDroppedVersion, droppedVersion);
      return;
    }
  }

  /**
   * The list for a peer whose replica has reached `revision`. It is complete for what happened after `cancelledSince`,
   * which lies above `revision` where older entries had to be left out.
   */
  since(revision: number): ListedCancellations {
    const cancelledSince = Math.max(this.firstRevision() ?? Infinity, this.highestDroppedVersion, revision);
    // Called for every status to every peer, most of which know all cancellations already.
    if (this.highestVersion <= cancelledSince) return { cancelledSince, cancelled: [] };
    const cancelled = [...this.versions].filter(([, version]) => version > cancelledSince);
    if (cancelled.length <= maxPerStatus) return { cancelledSince, cancelled };
    cancelled.sort(([, a], [, b]) => b - a);
    return {
      cancelledSince: cancelled[maxPerStatus]?.[1] ?? Infinity,
      cancelled: cancelled.slice(0, maxPerStatus),
    };
  }
}
