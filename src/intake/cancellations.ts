/** The cancellations that this controller can have confirmed to users, as its peers are told of them. */
import type { ListedCancellations } from '../wire/peer-status.js';

/** Cancellations that are remembered: no outage brings more. */
const maxKept = 4000;
/** Cancellations that one status lists; those beyond make its list incomplete. */
const maxPerMessage = 500;

/**
 * All cancellations that this incarnation of the controller has learned of, whichever way. Only what it has learned can it have
 * confirmed to a user, so a peer that is without the store may go on with whatever job is not listed. What an earlier incarnation
 * confirmed was in the store before this one first read it, so a list is complete only for peers that have read as much.
 */
export class Cancellations {
  private readonly versions = new Map<string, number>();
  /** The highest version that was dropped for want of room. */
  private droppedVersion = 0;
  private newestVersion = 0;

  /** `firstRevision`: what the replica held when this incarnation had first read the store; undefined before that. */
  constructor(private readonly firstRevision: () => number | undefined) {}

  /** Adds a job that has ended as cancelled, with the store's revision of that. */
  learn(id: string, version: number): void {
    this.versions.set(id, version);
    this.newestVersion = Math.max(this.newestVersion, version);
    if (this.versions.size <= maxKept) return;
    for (const [oldest, droppedVersion] of this.versions) {
      this.versions.delete(oldest);
      this.droppedVersion = Math.max(this.droppedVersion, droppedVersion);
      return;
    }
  }

  /** For a peer whose replica has reached `revision`; what the list leaves out raises `cancelledSince` above it. */
  since(revision: number): ListedCancellations {
    const cancelledSince = Math.max(this.firstRevision() ?? Infinity, this.droppedVersion, revision);
    // Called for every status to every peer, and mostly the peer knows all of them.
    if (this.newestVersion <= cancelledSince) return { cancelledSince, cancelled: [] };
    const cancelled = [...this.versions].filter(([, version]) => version > cancelledSince);
    if (cancelled.length <= maxPerMessage) return { cancelledSince, cancelled };
    cancelled.sort(([, a], [, b]) => b - a);
    return {
      cancelledSince: cancelled[maxPerMessage]?.[1] ?? Infinity,
      cancelled: cancelled.slice(0, maxPerMessage),
    };
  }
}
