/**
 * Maintains this controller's membership of the cluster: a lease in the store, and the alive key of this
 * controller, which is bound to the lease. The key shows the other controllers that this controller is alive.
 */
import { onAbort } from '../base/abort-callbacks.js';
import { type Clock, sleep } from '../base/clock.js';
import type { Log } from '../base/log.js';
import type { OperatorSettings } from '../settings/operator.js';
import type { Settings } from '../settings/settings.js';
import type { StoreClient } from '../store/client.js';
import type { CommitQueue } from '../store/commit-queue.js';
import type { StoreReplica } from '../store/store-replica.js';
import {
  aliveRecord,
  currentFormat,
  formatRecord,
  parseAlive,
  parseFormat,
} from '../wire/controller-records.js';
import { aliveKey, formatKey } from '../wire/keys.js';

/** Dependencies of the membership on the rest of the controller. */
export interface MembershipPorts {
  clock: Clock;
  log: Log;
  store: Pick<StoreClient, 'createLease' | 'renewLease' | 'revokeLease'>;
  commits: Pick<CommitQueue, 'commit'>;
  replica: Pick<StoreReplica, 'ready' | 'get' | 'version'>;
  /** Label of this controller in the settings. */
  label: string;
  zone: string;
  /** Identifies this run of the controller process. A restarted process has a different incarnation. */
  incarnation: string;
  /** Time to live of the lease after its creation or its latest renewal, in ms. */
  leaseTtlMs: number;
}

/** Number of renewals within the time to live of a lease. */
const renewalsPerLeaseTtl = 4;

/**
 * Returns the time to live of a controller's lease in the store, in ms. A controller that is partitioned from
 * the store counts as alive until its lease expires.
 */
export function controllerLeaseTtlMs(
  { heartbeatIntervalMs }: Pick<Settings, 'heartbeatIntervalMs'>,
  { leadership }: Pick<OperatorSettings, 'leadership'>,
): number {
  return heartbeatIntervalMs * leadership.leaseHeartbeats;
}

/**
 * Holds this controller's lease in the store and the alive key that is bound to the lease.
 *
 * If the controller process restarts before the lease of the previous incarnation expires, the new
 * incarnation overwrites the alive key and binds the key to a new lease. The alive key then exists without
 * interruption, so the leader does not lease the blocks of this controller to other controllers. The new
 * incarnation renews the leases of these blocks (see `LeaseRenewals`).
 */
export class Membership {
  private currentLeaseId: number | undefined;
  private resignedUntil = -Infinity;
  private isAnnouncing = false;

  constructor(private readonly ports: MembershipPorts) {}

  /** Id of the lease that this controller holds in the store; undefined while it holds none. */
  get leaseId(): number | undefined {
    return this.currentLeaseId;
  }

  /**
   * Revokes the lease and requests no new lease for at least `durationMs`. The controller thereby gives up
   * its blocks and its leadership, and other controllers take them over. Used if the workers cannot reach
   * this controller.
   */
  resign(durationMs: number): void {
    const { store, log, clock } = this.ports;
    const { currentLeaseId: leaseId } = this;
    if (leaseId === undefined) return;
    this.resignedUntil = clock() + durationMs;
    this.currentLeaseId = undefined;
    log.info(
      { event: 'resigned', leaseId, durationMs },
      'received no heartbeats from workers; revoking the lease in the store so that other controllers take over the blocks',
    );
    store.revokeLease(leaseId).catch((error: unknown) => {
      log.debug(
        { event: 'lease-revocation-failed', leaseId, err: error },
        'revocation of the lease in the store failed; the lease is no longer renewed and will expire',
      );
    });
  }

  /**
   * Obtains a lease and holds it until the lease has ended, the controller resigns, or the signal fires. The
   * caller is expected to call this method again after it returns. Throws a `StoreError` if it is not known
   * whether the lease was created.
   */
  async run(signal: AbortSignal): Promise<void> {
    const { store, log, clock, leaseTtlMs } = this.ports;
    const isStopping = (): boolean => signal.aborted;
    await sleep(Math.max(0, this.resignedUntil - clock()), signal);
    if (isStopping()) return;
    try {
      const leaseId = await store.createLease(leaseTtlMs);
      this.currentLeaseId = leaseId;
      log.info({ event: 'joined', leaseId }, 'obtained a lease in the store and joined the cluster');
      await this.maintainLease(leaseId, signal);
      if (!isStopping())
        log.info(
          { event: 'membership-lost', leaseId },
          'the lease in the store has ended or was revoked; a new one will be requested',
        );
    } finally {
      this.currentLeaseId = undefined;
    }
  }

  /**
   * Renews the lease until the lease has ended, the controller has resigned, or the signal fires. Renewals
   * are sent on schedule even if previous renewals have not been answered. If each renewal waited for the
   * response to the previous one, and responses took most of the time to live, every lease would expire.
   */
  private async maintainLease(leaseId: number, signal: AbortSignal): Promise<void> {
    const leaseEnded = new AbortController();
    const isHeld = (): boolean => !leaseEnded.signal.aborted && this.currentLeaseId === leaseId;
    const stopListening = onAbort(signal, () => leaseEnded.abort());
    try {
      this.announceAlive(leaseId);
      while (isHeld()) {
        this.renewLease(leaseId, () => leaseEnded.abort());
        await sleep(this.ports.leaseTtlMs / renewalsPerLeaseTtl, leaseEnded.signal);
        if (isHeld()) this.repairAnnouncements(leaseId);
      }
    } finally {
      stopListening();
    }
  }

  /**
   * Sends a renewal without waiting for the response. Calls `onEnded` if the store reports that the lease has
   * ended. A renewal that got no response does not show whether the lease still exists.
   */
  private renewLease(leaseId: number, onEnded: () => void): void {
    const { store, log } = this.ports;
    store.renewLease(leaseId).then(
      (isRenewed) => {
        if (!isRenewed) onEnded();
      },
      (error: unknown) => {
        log.debug(
          { event: 'lease-renewal-failed', leaseId, err: error },
          'renewal of the lease in the store failed; the next renewal is sent on schedule',
        );
      },
    );
  }

  /**
   * Writes the alive key again if the replica does not contain the key of this incarnation, and writes the
   * format key if needed. A delayed commit of a previous incarnation may have bound the alive key to the
   * lease of that incarnation. The store would then delete the alive key when that lease expires.
   */
  private repairAnnouncements(leaseId: number): void {
    const { replica, label, incarnation } = this.ports;
    if (!replica.ready || this.isAnnouncing) return;
    const alive = parseAlive(replica.get(aliveKey(label))?.value);
    if (alive?.incarnation !== incarnation) this.announceAlive(leaseId);
    this.announceFormat();
  }

  /**
   * Writes the alive key without waiting for the commit. `isAnnouncing` is true while the commit is in
   * flight.
   */
  private announceAlive(leaseId: number): void {
    const { commits, label, zone, incarnation, log } = this.ports;
    const value = aliveRecord({ incarnation, zone });
    this.isAnnouncing = true;
    commits
      .commit([], [{ put: aliveKey(label), value, lease: leaseId }])
      .catch((error: unknown) => {
        log.error(
          { event: 'announcement-failed', err: error },
          'commit of the alive key failed; retrying after a later renewal of the lease if the replica does not contain the key of this incarnation',
        );
      })
      .finally(() => {
        this.isAnnouncing = false;
      });
  }

  /**
   * Stores the number of the record format that this version of the program reads, unless the stored number
   * is at least as high. The format key is not bound to the lease and remains stored, because a controller
   * that has run with this format does not restart with a lower format.
   */
  private announceFormat(): void {
    const { commits, label, replica, log } = this.ports;
    const key = formatKey(label);
    if (parseFormat(replica.get(key)?.value) >= currentFormat) return;
    commits
      .commit([{ key, version: replica.version(key) }], [{ put: key, value: formatRecord() }])
      .catch((error: unknown) => {
        log.error(
          { event: 'announcement-failed', err: error },
          'commit of the format key failed; retrying after a later renewal of the lease',
        );
      });
  }
}
