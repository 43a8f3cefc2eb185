import type { CancelledJob } from '../wire/peer-status.js';

/** Cancelled jobs that are remembered, and those that are told in one message: no outage brings more. */
const maxKept = 4000;
const maxPerMessage = 500;

export interface AcknowledgedCancellations {
  /** No cancelled end with a version above this has been told to any user without being on the list. */
  cancelledSince: number;
  cancelled: CancelledJob[];
}

/**
 * All ends as cancelled that this life of the controller has learned of, whichever way. Only what was learned can have
 * been told to a user, so a controller that is without the state service may go on with what is not on the list. What an
 * earlier life told was in the store before this one first read it, and is vouched for by nobody.
 */
export class Cancellations {
  private readonly versions = new Map<string, number>();
  private cutAt = 0;
  private newest = 0;

  constructor(private readonly firstRevision: () => number | undefined) {}

  learn(id: string, version: number): void {
    this.versions.set(id, version);
    this.newest = Math.max(this.newest, version);
    if (this.versions.size <= maxKept) return;
    for (const [oldest, cut] of this.versions) {
      this.versions.delete(oldest);
      this.cutAt = Math.max(this.cutAt, cut);
      return;
    }
  }

  /** For a peer whose copy has reached `revision`; what is left out raises `cancelledSince` above it. */
  since(revision: number): AcknowledgedCancellations {
    const cancelledSince = Math.max(this.firstRevision() ?? Infinity, this.cutAt, revision);
    // Asked for with every status to every peer, and mostly the peer knows all of them.
    if (this.newest <= cancelledSince) return { cancelledSince, cancelled: [] };
    const cancelled = [...this.versions].filter(([, version]) => version > cancelledSince);
    if (cancelled.length <= maxPerMessage) return { cancelledSince, cancelled };
    cancelled.sort(([, a], [, b]) => b - a);
    return {
      cancelledSince: cancelled[maxPerMessage]?.[1] ?? Infinity,
      cancelled: cancelled.slice(0, maxPerMessage),
    };
  }
}
