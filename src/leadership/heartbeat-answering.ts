/** What one peer last said of itself, and when at the earliest it can have said so. */
export interface LastPeerStatus {
  /** Our clock when the message that this one answers left us: the word is no older than that. */
  notBefore: number;
  /** How long the peer had been without the store when it said so. */
  storeContactAgeMs: number;
  /** Every cancel that it confirmed before this moment of our clock is known here: it has listed them without a gap. */
  cancellationsKnownUntil: number;
}

export interface HeartbeatAnswerFacts {
  now: number;
  /** Every change of the store before this moment is known here. */
  changesKnownUntil: number;
  /** When we were last served: whether we hold what we have, not what we know. */
  lastStoreContactAt: number;
  cancelDeadlineMs: number;
  workerLeaseMs: number;
  heartbeatIntervalMs: number;
  /** One entry a peer; undefined where it has never spoken. */
  peers: (LastPeerStatus | undefined)[];
}

/**
 * The steady clocks drift by 0.05%, which over `cancel_s` is far less than half a report interval; a lease counts from
 * when its report was sent, so neither the way of a message nor an answer that is held or late adds anything.
 */
export function answeringMarginMs(heartbeatIntervalMs: number): number {
  return heartbeatIntervalMs / 2;
}

/** How long workers are answered after the moment up to which we know of every cancel that was confirmed. */
export function answeringSpanMs({
  cancelDeadlineMs,
  workerLeaseMs,
  heartbeatIntervalMs,
}: Pick<HeartbeatAnswerFacts, 'cancelDeadlineMs' | 'workerLeaseMs' | 'heartbeatIntervalMs'>): number {
  return cancelDeadlineMs - workerLeaseMs - answeringMarginMs(heartbeatIntervalMs);
}

/**
 * Until when reports may be answered. A cancel that we have not heard of may have been confirmed to a user right after
 * the moment up to which we know of all; its tasks must be gone `cancel_s` later, and a lease that we stop renewing
 * needs `lease_s` from when the last report that we answered was sent. Peers that have listed all that they can have
 * confirmed move that moment on, as far as the one of them that was heard the longest ago.
 */
export function answerHeartbeatsUntil(facts: HeartbeatAnswerFacts): number {
  const { changesKnownUntil, peers } = facts;
  const cancellationsKnownUntil = Math.min(
    ...peers.map((peer) => peer?.cancellationsKnownUntil ?? -Infinity),
  );
  return Math.max(changesKnownUntil, cancellationsKnownUntil) + answeringSpanMs(facts);
}

/** A peer that is served while we are not means that our grant is running out: let the workers go to the others. */
export function peerHasStoreAfterLeaseExpiry(facts: HeartbeatAnswerFacts, leaseTtlMs: number): boolean {
  const { now, lastStoreContactAt, peers } = facts;
  if (now - lastStoreContactAt <= leaseTtlMs) return false;
  return peers.some(
    (peer) => peer !== undefined && peer.notBefore - peer.storeContactAgeMs > lastStoreContactAt + leaseTtlMs,
  );
}
