/** What one peer last said of itself, and when at the earliest it can have said so. */
export interface PeerWord {
  /** Our clock when the message that this one answers left us: the word is no older than that. */
  notBefore: number;
  /** How long the peer had been without the store when it said so. */
  contactAge: number;
}

export interface AnsweringFacts {
  now: number;
  lastContact: number;
  cancelMs: number;
  leaseMs: number;
  reportMs: number;
  /** One entry a peer; undefined where it has never spoken. */
  peers: (PeerWord | undefined)[];
}

/** The steady clocks drift by 0.05%; this and the way of a message are far less than half a report interval. */
export function answeringMargin(reportMs: number): number {
  return reportMs / 2;
}

/**
 * Until when a leader that has lost the store may answer reports. A cancel that it has not heard of may have been
 * confirmed to a user right after our last contact; the tasks must be gone `cancel_s` after it, and a lease that
 * we stop renewing needs `lease_s` to run out. A peer that has had no contact since ours was lost has confirmed
 * no cancel either, so the clock starts only when the last such word was given.
 */
export function answerUntil(facts: AnsweringFacts): number {
  const { lastContact, cancelMs, leaseMs, reportMs, peers } = facts;
  let blindSince = lastContact;
  const confirmed = peers.every(
    (peer) =>
      peer !== undefined && peer.notBefore - peer.contactAge <= lastContact + answeringMargin(reportMs) / 2,
  );
  if (confirmed) {
    blindSince = Math.max(lastContact, Math.min(...peers.map((peer) => peer?.notBefore ?? lastContact)));
  }
  return blindSince + cancelMs - leaseMs - answeringMargin(reportMs);
}

/** A peer that is served while we are not means that our grant is running out: let the workers go to the others. */
export function peerIsServed(facts: AnsweringFacts, ttlMs: number): boolean {
  const { now, lastContact, peers } = facts;
  if (now - lastContact <= ttlMs) return false;
  return peers.some((peer) => peer !== undefined && peer.notBefore - peer.contactAge > lastContact + ttlMs);
}
