/** What one peer last said of itself, and when at the earliest it can have said so. */
export interface PeerWord {
  /** Our clock when the message that this one answers left us: the word is no older than that. */
  notBefore: number;
  /** How long the peer had been without the store when it said so. */
  contactAge: number;
  /** Every cancel that it confirmed before this moment of our clock is known here: it has listed them without a gap. */
  vouchedUntil: number;
}

export interface AnsweringFacts {
  now: number;
  /** Every change of the store before this moment is known here. */
  knownUntil: number;
  /** When we were last served: whether we hold what we have, not what we know. */
  lastContact: number;
  cancelMs: number;
  leaseMs: number;
  reportMs: number;
  /** One entry a peer; undefined where it has never spoken. */
  peers: (PeerWord | undefined)[];
}

/**
 * The steady clocks drift by 0.05%, which over `cancel_s` is far less than half a report interval; a lease counts from
 * when its report was sent, so neither the way of a message nor an answer that is held or late adds anything.
 */
export function answeringMargin(reportMs: number): number {
  return reportMs / 2;
}

/** How long workers are answered after the moment up to which we know of every cancel that was confirmed. */
export function answeringSpan({
  cancelMs,
  leaseMs,
  reportMs,
}: Pick<AnsweringFacts, 'cancelMs' | 'leaseMs' | 'reportMs'>): number {
  return cancelMs - leaseMs - answeringMargin(reportMs);
}

/**
 * Until when reports may be answered. A cancel that we have not heard of may have been confirmed to a user right after
 * the moment up to which we know of all; its tasks must be gone `cancel_s` later, and a lease that we stop renewing
 * needs `lease_s` from when the last report that we answered was sent. Peers that have listed all that they can have
 * confirmed move that moment on, as far as the one of them that was heard the longest ago.
 */
export function answerUntil(facts: AnsweringFacts): number {
  const { knownUntil, peers } = facts;
  const vouchedUntil = Math.min(...peers.map((peer) => peer?.vouchedUntil ?? -Infinity));
  return Math.max(knownUntil, vouchedUntil) + answeringSpan(facts);
}

/** A peer that is served while we are not means that our grant is running out: let the workers go to the others. */
export function peerIsServed(facts: AnsweringFacts, ttlMs: number): boolean {
  const { now, lastContact, peers } = facts;
  if (now - lastContact <= ttlMs) return false;
  return peers.some((peer) => peer !== undefined && peer.notBefore - peer.contactAge > lastContact + ttlMs);
}
