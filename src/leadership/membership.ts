/**
 * This controller's membership of the cluster: a lease of the store, and the key bound to it by which the other controllers
 * know that this one is alive.
 */
import { onAbort } from '../base/aborts.js';
import { type Clock, sleep } from '../base/clock.js';
import type { Log } from '../base/log.js';
import type { OperatorSettings } from '../settings/operator.js';
import type { Settings } from '../settings/settings.js';
import type { StoreClient } from '../store/client.js';
import type { CommitQueue } from '../store/commit-queue.js';
import type { Mirror } from '../store/mirror.js';
import {
  aliveRecord,
  currentFormat,
  formatRecord,
  parseAlive,
  parseFormat,
} from '../wire/controller-records.js';
import { aliveKey, formatKey } from '../wire/keys.js';

/** What the membership needs of the rest of the controller. */
export interface MembershipPorts {
  clock: Clock;
  log: Log;
  store: Pick<StoreClient, 'createLease' | 'renewLease' | 'revokeLease'>;
  commits: Pick<CommitQueue, 'commit'>;
  mirror: Pick<Mirror, 'ready' | 'get' | 'version'>;
  /** The name of this controller in the settings. */
  label: string;
  zone: string;
  /** Tells one life of this process from the next. */
  incarnation: string;
  /** How long the lease lives without a renewal. */
  leaseTtlMs: number;
}

/** How often a lease is renewed in its time to live. */
const renewalsPerLeaseTtl = 4;

/** Time to live of a controller's lease, in ms. Until it has passed, a controller that is cut off counts as alive. */
export function controllerLeaseTtlMs(
  { heartbeatIntervalMs }: Pick<Settings, 'heartbeatIntervalMs'>,
  { leadership }: Pick<OperatorSettings, 'leadership'>,
): number {
  return heartbeatIntervalMs * leadership.leaseHeartbeats;
}

/**
 * Keeps this controller's lease, and the key that is bound to it. The lease outlives a quick restart: the next incarnation
 * finds its blocks still leased to this controller.
 */
export class Membership {
  private currentLeaseId: number | undefined;
  private resignedUntil = -Infinity;
  private isAnnouncing = false;

  constructor(private readonly ports: MembershipPorts) {}

  /** The lease of the store that this controller holds; undefined while it has none. */
  get leaseId(): number | undefined {
    return this.currentLeaseId;
  }

  /**
   * Gives the lease up for at least this long, and with it the blocks and the leadership, so that other controllers take
   * them over. For a controller that its workers cannot reach.
   */
  resign(durationMs: number): void {
    const { store, log, clock } = this.ports;
    const { currentLeaseId: leaseId } = this;
    if (leaseId === undefined) return;
    this.resignedUntil = clock() + durationMs;
    this.currentLeaseId = undefined;
    log.info({ event: 'resigned', leaseId, durationMs }, 'no heartbeats received: others take over');
    store.revokeLease(leaseId).catch((error: unknown) => {
      log.debug({ event: 'lease-revocation-failed', leaseId, err: error }, 'lease left to expire');
    });
  }

  /**
   * Obtains a lease and keeps it until it has ended, was given up, or the signal fires; to be called again after that.
   * Throws `StoreUnavailable`, or the error of the request, where the store grants no lease.
   */
  async run(signal: AbortSignal): Promise<void> {
    const { store, log, clock, leaseTtlMs } = this.ports;
    const isStopping = (): boolean => signal.aborted;
    await sleep(Math.max(0, this.resignedUntil - clock()), signal);
    if (isStopping()) return;
    try {
      const leaseId = await store.createLease(leaseTtlMs);
      this.currentLeaseId = leaseId;
      log.info({ event: 'joined', leaseId }, 'joined the cluster');
      await this.maintainLease(leaseId, signal);
      if (!isStopping()) log.info({ event: 'membership-lost', leaseId }, 'lease ended');
    } finally {
      this.currentLeaseId = undefined;
    }
  }

  /**
   * Returns once the lease has ended or was given up. Renewals go out on time whether or not earlier ones have been
   * answered: where responses take most of the time to live, waiting for them would lose every lease.
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

  /** Does not wait for the response; a renewal without one says nothing about the lease. */
  private renewLease(leaseId: number, onEnded: () => void): void {
    const { store, log } = this.ports;
    store.renewLease(leaseId).then(
      (isRenewed) => {
        if (!isRenewed) onEnded();
      },
      (error: unknown) => {
        log.debug({ event: 'lease-renewal-failed', leaseId, err: error }, 'lease not renewed');
      },
    );
  }

  /** A delayed commit of an earlier incarnation may have bound this controller's key to the lease of that one. */
  private repairAnnouncements(leaseId: number): void {
    const { mirror, label, incarnation } = this.ports;
    if (!mirror.ready || this.isAnnouncing) return;
    const alive = parseAlive(mirror.get(aliveKey(label))?.value);
    if (alive?.incarnation !== incarnation) this.announceAlive(leaseId);
    this.announceFormat();
  }

  /** Does not wait for the commit; `isAnnouncing` tells whether it is still on its way. */
  private announceAlive(leaseId: number): void {
    const { commits, label, zone, incarnation, log } = this.ports;
    const value = aliveRecord({ incarnation, zone });
    this.isAnnouncing = true;
    commits
      .commit([], [{ put: aliveKey(label), value, lease: leaseId }])
      .catch((error: unknown) => {
        log.error({ event: 'announcement-failed', err: error }, 'could not announce this controller');
      })
      .finally(() => {
        this.isAnnouncing = false;
      });
  }

  /** Stored for good: a controller that has run with this format does not come back with an earlier one. */
  private announceFormat(): void {
    const { commits, label, mirror, log } = this.ports;
    const key = formatKey(label);
    if (parseFormat(mirror.get(key)?.value) >= currentFormat) return;
    commits
      .commit([{ key, version: mirror.version(key) }], [{ put: key, value: formatRecord() }])
      .catch((error: unknown) => {
        log.error({ event: 'announcement-failed', err: error }, 'could not announce the format');
      });
  }
}
