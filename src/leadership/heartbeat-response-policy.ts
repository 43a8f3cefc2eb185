/**
 * Determines whether heartbeats of workers may be answered. A response renews the lease of the worker, and a
 * worker ends its tasks when its lease expires. A controller that may have missed a cancellation must
 * therefore stop answering early enough that the worker leases expire before the deadline of the
 * cancellation.
 */
import type { Clock } from '../base/clock.js';
import type { LastPeerStatus } from '../peers/peer-links.js';
import type { Settings } from '../settings/settings.js';

/** Durations that the worker protocol prescribes, in ms. */
export type WorkerTimes = Pick<Settings, 'cancelDeadlineMs' | 'workerLeaseMs' | 'heartbeatIntervalMs'>;

/**
 * The values that determine whether a heartbeat may be answered. Durations are in ms. Points in time are
 * readings of the monotonic clock of this controller, in ms.
 */
export interface ResponseFacts extends WorkerTimes {
  now: number;
  /** The replica of the store contains every change that was made before this time. */
  changesKnownUntil: number;
  /**
   * Time at which this controller sent the latest request that the store served. Shows whether this
   * controller may still hold its lease in the store, but not how recent the replica is.
   */
  lastStoreContactAt: number;
  /** The latest status of each peer; undefined if no status of the peer has been received. */
  peers: (LastPeerStatus | undefined)[];
}

/** Dependencies of the policy on the rest of the controller. */
export interface HeartbeatResponsePolicyPorts {
  clock: Clock;
  times: WorkerTimes;
  /** Labels of the other controllers. */
  peers: readonly string[];
  /** Time to live of a controller's lease in the store, in ms. */
  leaseTtlMs: number;
  /** The replica of the store contains every change that was made before this monotonic time in ms. */
  changesKnownUntil: () => number;
  /** Monotonic time in ms at which this controller sent the latest request that the store served. */
  lastStoreContactAt: () => number;
  /** The latest status of the peer with this label; undefined if no status of the peer has been received. */
  lastPeerStatus: (label: string) => LastPeerStatus | undefined;
}

/**
 * Safety margin for the drift between monotonic clocks, in heartbeat intervals. Monotonic clocks drift apart
 * by 0.05%. Over the cancellation deadline, this drift is far less than half a heartbeat interval. The margin
 * does not have to cover network delays or delayed responses, because a worker lease is counted from the time
 * at which the worker sent its heartbeat.
 */
const safetyMarginHeartbeats = 1 / 2;

/**
 * Returns for how long, in ms, heartbeats may still be answered. The duration starts at the time up to which
 * this controller knows all confirmed cancellations.
 */
export function responseWindowMs({
  cancelDeadlineMs,
  workerLeaseMs,
  heartbeatIntervalMs,
}: WorkerTimes): number {
  return cancelDeadlineMs - workerLeaseMs - heartbeatIntervalMs * safetyMarginHeartbeats;
}

/**
 * Returns the time until which heartbeats may be answered, as monotonic time in ms. This controller knows all
 * confirmed cancellations up to a certain time, and another cancellation may have been confirmed to a user
 * right after that time. The tasks of the cancelled job must have ended by the cancellation deadline. A
 * worker lease that is no longer renewed expires one full lease time after the worker sent the last heartbeat
 * that was answered.
 *
 * The cancellations are known up to the time that the replica of the store covers. If every peer has sent a
 * complete list of the cancellations that it may have confirmed, all cancellations are known at least up to
 * the time of the oldest of these lists.
 */
export function respondUntil(facts: ResponseFacts): number {
  const { changesKnownUntil, peers } = facts;
  const cancellationsKnownUntil = Math.min(
    ...peers.map((peer) => peer?.cancellationsKnownUntil ?? -Infinity),
  );
  return Math.max(changesKnownUntil, cancellationsKnownUntil) + responseWindowMs(facts);
}

/**
 * Whether a peer's status proves that the store served the peer after this controller's own lease in the
 * store must have expired for lack of contact. The blocks of this controller are then leased to other
 * controllers, and the workers must send their heartbeats to these controllers.
 */
export function peerHasStoreAfterLeaseExpiry(facts: ResponseFacts, leaseTtlMs: number): boolean {
  const { now, lastStoreContactAt, peers } = facts;
  const expiresAt = lastStoreContactAt + leaseTtlMs;
  if (now <= expiresAt) return false;
  return peers.some(
    (peer) => peer !== undefined && peer.createdNotBefore - peer.storeContactAgeMs > expiresAt,
  );
}

/** Determines for each heartbeat whether it may be answered. */
export class HeartbeatResponsePolicy {
  private readonly windowMs: number;

  constructor(private readonly ports: HeartbeatResponsePolicyPorts) {
    this.windowMs = responseWindowMs(ports.times);
  }

  /** Whether a response may be sent now. Called for every heartbeat. */
  mayRespond(): boolean {
    const { clock, leaseTtlMs } = this.ports;
    const now = clock();
    const changesKnownUntil = this.ports.changesKnownUntil();
    const lastStoreContactAt = this.ports.lastStoreContactAt();
    // In the usual case the peer statuses are not read, because no peer status could forbid the response.
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
