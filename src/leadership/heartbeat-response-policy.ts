/**
 * Whether workers may be answered. A response renews a worker's lease, so a controller that may not know of a cancellation
 * has to stop answering in time for the leases to expire before the deadline of that cancellation.
 */
import type { Clock } from '../base/clock.js';
import type { LastPeerStatus } from '../peers/peer-links.js';
import type { Settings } from '../settings/settings.js';

/** The times that the protocol sets, all in ms. */
export type WorkerTimes = Pick<Settings, 'cancelDeadlineMs' | 'workerLeaseMs' | 'heartbeatIntervalMs'>;

/** What the decision rests on. Times are in ms, moments by this controller's steady clock. */
export interface ResponseFacts extends WorkerTimes {
  now: number;
  /** Every change of the store before this moment is known here. */
  changesKnownUntil: number;
  /** When the store last served us: it says whether we still hold our lease, not what we know. */
  lastStoreContactAt: number;
  /** One entry a peer; undefined where it has not been heard yet. */
  peers: (LastPeerStatus | undefined)[];
}

/** What the policy needs of the rest of the controller. */
export interface HeartbeatResponsePolicyPorts {
  clock: Clock;
  times: WorkerTimes;
  /** Labels of the other controllers. */
  peers: readonly string[];
  /** Time to live of a controller's lease in the store. */
  leaseTtlMs: number;
  /** Every change of the store before this moment is known here. */
  changesKnownUntil: () => number;
  /** When the last request that the store served had been sent. */
  lastStoreContactAt: () => number;
  lastPeerStatus: (label: string) => LastPeerStatus | undefined;
}

/**
 * Steady clocks drift apart by 0.05%, which over the deadline of a cancellation is far less than half a heartbeat interval. A
 * worker's lease counts from when its heartbeat was sent, so neither the way of a message nor a response that is held or late
 * adds anything.
 */
const marginHeartbeats = 1 / 2;

/** For how long, in ms, workers may be answered after the moment up to which all confirmed cancellations are known. */
export function responseWindowMs({
  cancelDeadlineMs,
  workerLeaseMs,
  heartbeatIntervalMs,
}: WorkerTimes): number {
  return cancelDeadlineMs - workerLeaseMs - heartbeatIntervalMs * marginHeartbeats;
}

/**
 * Until when heartbeats may be answered. A cancellation that we have not heard of may have been confirmed to a user right
 * after the moment up to which we know of all; its tasks must have ended by its deadline, and a worker's lease that is no
 * longer renewed takes its whole length to expire, from when the last heartbeat that we answered was sent. Peers that have
 * listed every cancellation that they can have confirmed move that moment on, as far as the one of them whose list is the
 * oldest.
 */
export function respondUntil(facts: ResponseFacts): number {
  const { changesKnownUntil, peers } = facts;
  const cancellationsKnownUntil = Math.min(
    ...peers.map((peer) => peer?.cancellationsKnownUntil ?? -Infinity),
  );
  return Math.max(changesKnownUntil, cancellationsKnownUntil) + responseWindowMs(facts);
}

/**
 * Whether a peer is known to have been served by the store after our own lease must have expired for want of contact. The
 * other controllers are leased our blocks then, so workers are to turn to them.
 */
export function peerHasStoreAfterLeaseExpiry(facts: ResponseFacts, leaseTtlMs: number): boolean {
  const { now, lastStoreContactAt, peers } = facts;
  const expiresAt = lastStoreContactAt + leaseTtlMs;
  if (now <= expiresAt) return false;
  return peers.some((peer) => peer !== undefined && peer.notBefore - peer.storeContactAgeMs > expiresAt);
}

/** Decides for each heartbeat whether it may be answered. */
export class HeartbeatResponsePolicy {
  private readonly windowMs: number;

  constructor(private readonly ports: HeartbeatResponsePolicyPorts) {
    this.windowMs = responseWindowMs(ports.times);
  }

  /** Whether a response may go out now. Called with every heartbeat. */
  mayRespond(): boolean {
    const { clock, leaseTtlMs } = this.ports;
    const now = clock();
    const changesKnownUntil = this.ports.changesKnownUntil();
    const lastStoreContactAt = this.ports.lastStoreContactAt();
    // The usual case, which needs no peer: nothing that one could say would shorten the time.
    if (now <= changesKnownUntil + this.windowMs && now - lastStoreContactAt <= leaseTtlMs) return true;
    const facts = this.facts(now, changesKnownUntil, lastStoreContactAt);
    return now <= respondUntil(facts) && !peerHasStoreAfterLeaseExpiry(facts, leaseTtlMs);
  }

  private facts(now: number, changesKnownUntil: number, lastStoreContactAt: number): ResponseFacts {
    const { times, peers, lastPeerStatus } = this.ports;
    return {
      now,
      changesKnownUntil,
      lastStoreContactAt,
      cancelDeadlineMs: times.cancelDeadlineMs,
      workerLeaseMs: times.workerLeaseMs,
      heartbeatIntervalMs: times.heartbeatIntervalMs,
      peers: peers.map((label) => lastPeerStatus(label)),
    };
  }
}
