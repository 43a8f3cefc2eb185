/**
 * Decides whether heartbeats of workers may be answered. A response renews the lease of the worker. A
 * controller that may have missed a cancellation must therefore stop answering early enough that the worker
 * leases expire before the deadline of that cancellation.
 */
import type { Clock } from '../base/clock.js';
import type { LastPeerStatus } from '../peers/peer-links.js';
import type { Settings } from '../settings/settings.js';

/** Times that the worker protocol sets, in ms. */
export type WorkerTimes = Pick<Settings, 'cancelDeadlineMs' | 'workerLeaseMs' | 'heartbeatIntervalMs'>;

/**
 * The facts on which the decision depends. Durations are in ms, points in time are in ms of this controller's
 * steady clock.
 */
export interface ResponseFacts extends WorkerTimes {
  now: number;
  /** The replica contains every change of the store before this time. */
  changesKnownUntil: number;
  /**
   * When the last request that the store served was sent: shows whether this controller can still hold its
   * lease, not how recent the replica is.
   */
  lastStoreContactAt: number;
  /** The last status of each peer; undefined if none was received yet. */
  peers: (LastPeerStatus | undefined)[];
}

/** Dependencies of the policy on the rest of the controller. */
export interface HeartbeatResponsePolicyPorts {
  clock: Clock;
  times: WorkerTimes;
  /** Labels of the other controllers. */
  peers: readonly string[];
  /** Time to live of a controller's lease in the store. */
  leaseTtlMs: number;
  /** The replica contains every change of the store before this time, in ms of the steady clock. */
  changesKnownUntil: () => number;
  /** When the last request that the store served was sent, in ms of the steady clock. */
  lastStoreContactAt: () => number;
  /** The last status of the peer with this label; undefined if none was received. */
  lastPeerStatus: (label: string) => LastPeerStatus | undefined;
}

/**
 * Safety margin for the drift between steady clocks, in heartbeat intervals. Steady clocks drift apart by
 * 0.05%, which over the cancellation deadline is far less than half a heartbeat interval. A worker lease
 * counts from when the worker sent its heartbeat, so the margin need not include network delays or responses
 * that are held back or late.
 */
const safetyMarginHeartbeats = 1 / 2;

/**
 * For how long, in ms, heartbeats may be answered after the time up to which all confirmed cancellations are
 * known.
 */
export function responseWindowMs({
  cancelDeadlineMs,
  workerLeaseMs,
  heartbeatIntervalMs,
}: WorkerTimes): number {
  return cancelDeadlineMs - workerLeaseMs - heartbeatIntervalMs * safetyMarginHeartbeats;
}

/**
 * The time until which heartbeats may be answered, in ms of the steady clock. A cancellation that this
 * controller does not know may have been confirmed to a user right after the time up to which all
 * cancellations are known. The tasks of the cancelled job must have ended by the cancellation deadline. A
 * worker lease that is no longer renewed expires one full lease time after the worker sent the last heartbeat
 * that was answered. If every peer has listed all cancellations that it can have confirmed, the known time
 * extends to that of the peer with the oldest complete list.
 */
export function respondUntil(facts: ResponseFacts): number {
  const { changesKnownUntil, peers } = facts;
  const cancellationsKnownUntil = Math.min(
    ...peers.map((peer) => peer?.cancellationsKnownUntil ?? -Infinity),
  );
  return Math.max(changesKnownUntil, cancellationsKnownUntil) + responseWindowMs(facts);
}

/**
 * Whether the store is known to have served a peer after this controller's own lease must have expired for
 * lack of contact. The blocks of this controller are then leased to other controllers, so workers must send
 * their heartbeats to those.
 */
export function peerHasStoreAfterLeaseExpiry(facts: ResponseFacts, leaseTtlMs: number): boolean {
  const { now, lastStoreContactAt, peers } = facts;
  const expiresAt = lastStoreContactAt + leaseTtlMs;
  if (now <= expiresAt) return false;
  return peers.some(
    (peer) => peer !== undefined && peer.createdNotBefore - peer.storeContactAgeMs > expiresAt,
  );
}

/** Decides for each heartbeat whether it may be answered. */
export class HeartbeatResponsePolicy {
  private readonly windowMs: number;

  constructor(private readonly ports: HeartbeatResponsePolicyPorts) {
    this.windowMs = responseWindowMs(ports.times);
  }

  /** Whether a response may be sent now. Called with every heartbeat. */
  mayRespond(): boolean {
    const { clock, leaseTtlMs } = this.ports;
    const now = clock();
    const changesKnownUntil = this.ports.changesKnownUntil();
    const lastStoreContactAt = this.ports.lastStoreContactAt();
    // The usual case does not need the peer statuses: no peer status could shorten the time.
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
