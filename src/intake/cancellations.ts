import type { Cancelled } from '../wire/peer-status.js';

/** Cancelled jobs that are remembered, and those that are told in one message: no outage brings more. */
const mostKept = 4000;
const mostTold = 500;

export interface Vouched {
  /** No cancelled end with a version above this has been told to any user without being on the list. */
  since: number;
  cancelled: Cancelled[];
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
    if (this.versions.size <= mostKept) return;
    for (const [oldest, cut] of this.versions) {
      this.versions.delete(oldest);
      this.cutAt = Math.max(this.cutAt, cut);
      return;
    }
  }

  /** For a peer whose copy has reached `revision`; what is left out raises `since` above it. */
  since(revision: number): Vouched {
    const since = Math.max(this.firstRevision() ?? Infinity, this.cutAt, revision);
    // Asked for with every status to every peer, and mostly the peer knows all of them.
    if (this.newest <= since) return { since, cancelled: [] };
    const cancelled = [...this.versions].filter(([, version]) => version > since);
    if (cancelled.length <= mostTold) return { since, cancelled };
    cancelled.sort(([, a], [, b]) => b - a);
    return { since: cancelled[mostTold]?.[1] ?? Infinity, cancelled: cancelled.slice(0, mostTold) };
  }
}
