/** Determines whether the store serves no controller at all, so that no lease of a block can have changed. */
import type { LastPeerStatus } from '../peers/peer-links.js';

/** What a controller that the store does not serve knows of its peers. Times are monotonic, in ms. */
export interface StoreOutageFacts {
  now: number;
  /** Time at which this controller sent the latest request that the store served. */
  lastStoreContactAt: number;
  /** Time to live of a controller's lease in the store. */
  leaseTtlMs: number;
  heartbeatIntervalMs: number;
  /** The latest status of each peer; undefined if no status of the peer has been received. */
  peers: readonly (LastPeerStatus | undefined)[];
}

/** Maximum age of a peer's status, in heartbeat intervals. */
const maxStatusAgeHeartbeats = 2;

/**
 * Whether every peer has recently stated that the store has not served it since this controller's own lease
 * in the store may have expired. Until the store serves a controller again, no controller can have leased the
 * blocks of this one. After an outage, every lease has its full time again.
 */
export function isOutageForAllControllers(facts: StoreOutageFacts): boolean {
  const { now, lastStoreContactAt, leaseTtlMs, heartbeatIntervalMs, peers } = facts;
  const leaseExpiresAt = lastStoreContactAt + leaseTtlMs;
  return peers.every(
    (peer) =>
      peer !== undefined &&
      now - peer.createdNotBefore <= heartbeatIntervalMs * maxStatusAgeHeartbeats &&
      now - peer.storeContactAgeMs <= leaseExpiresAt,
  );
}
