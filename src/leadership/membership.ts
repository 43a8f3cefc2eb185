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

export interface MembershipPorts {
  clock: Clock;
  log: Log;
  store: StoreClient;
  commits: CommitQueue;
  mirror: Mirror;
  settings: Settings;
  operator: OperatorSettings;
  /** Tells one life of this process from the next. */
  incarnation: string;
}

/** How often a grant is renewed in its life. */
const renewalsPerLeaseTtl = 4;

/**
 * Keeps this controller's grant and the key that hangs on it, by which the others know it to be alive. The grant
 * outlives a quick restart: the new life finds its blocks still leased to it.
 */
export class Membership {
  readonly leaseTtlMs: number;
  private currentLeaseId: number | undefined;
  private resignedUntil = -Infinity;
  /** Whether a commit of our key is on its way. */
  private announcementInFlight = false;

  constructor(private readonly ports: MembershipPorts) {
    this.leaseTtlMs = ports.settings.heartbeatIntervalMs * ports.operator.leadership.leaseHeartbeats;
  }

  get leaseId(): number | undefined {
    return this.currentLeaseId;
  }

  /** Gives the grant up, and with it the blocks and the lead, for so long: we are of no use to our workers. */
  resign(durationMs: number): void {
    const { store, log, clock } = this.ports;
    const { currentLeaseId } = this;
    if (currentLeaseId === undefined) return;
    this.resignedUntil = clock() + durationMs;
    this.currentLeaseId = undefined;
    log.info(
      { event: 'stepped-aside', grant: currentLeaseId, ms: durationMs },
      'no worker is heard: others take over',
    );
    void store.revokeLease(currentLeaseId).catch(() => undefined);
  }

  async run(signal: AbortSignal): Promise<void> {
    const { store, log, clock } = this.ports;
    await sleep(Math.max(0, this.resignedUntil - clock()), signal);
    if (signal.aborted) return;
    try {
      const grant = await store.createLease(this.leaseTtlMs);
      this.currentLeaseId = grant;
      log.info({ event: 'joined', grant }, 'joined');
      await this.maintainLease(grant, signal);
      if (!signal.aborted) log.info({ event: 'grant-lost', grant }, 'grant ended');
    } finally {
      this.currentLeaseId = undefined;
    }
  }

  /**
   * Until the grant has ended, or was given up. Renewals go out on time whether or not what was sent before has been
   * answered: where answers take most of a grant's life, waiting for them would cost each grant in turn.
   */
  private async maintainLease(leaseId: number, signal: AbortSignal): Promise<void> {
    const leaseEnded = new AbortController();
    const stopListening = onAbort(signal, () => leaseEnded.abort());
    void this.announceAlive(leaseId);
    while (!leaseEnded.signal.aborted && this.currentLeaseId === leaseId) {
      void this.renewLease(leaseId).then((renewed) => {
        if (!renewed) leaseEnded.abort();
      });
      await sleep(this.leaseTtlMs / renewalsPerLeaseTtl, leaseEnded.signal);
      if (!leaseEnded.signal.aborted && this.currentLeaseId === leaseId) this.repairAnnouncements(leaseId);
    }
    stopListening();
  }

  /** False once the grant has ended; an attempt without an answer says nothing. */
  private async renewLease(leaseId: number): Promise<boolean> {
    const { store, log } = this.ports;
    try {
      return await store.renewLease(leaseId);
    } catch (error) {
      log.debug({ event: 'touch-failed', err: error }, 'grant not renewed');
      return true;
    }
  }

  /** A late message of an earlier life may have hung our key on its own grant. */
  private repairAnnouncements(leaseId: number): void {
    const { mirror, settings, incarnation } = this.ports;
    if (!mirror.ready || this.announcementInFlight) return;
    const alive = parseAlive(mirror.get(aliveKey(settings.label))?.value);
    if (alive?.incarnation !== incarnation) void this.announceAlive(leaseId);
    void this.announceFormat();
  }

  private async announceAlive(leaseId: number): Promise<void> {
    const { commits, settings, incarnation } = this.ports;
    const value = aliveRecord({ incarnation, zone: settings.zone });
    this.announcementInFlight = true;
    await commits.commit([], [{ put: aliveKey(settings.label), value, lease: leaseId }]);
    this.announcementInFlight = false;
  }

  /** Kept for good: a controller that has run with this format does not come back with an earlier one. */
  private async announceFormat(): Promise<void> {
    const { commits, settings, mirror } = this.ports;
    const key = formatKey(settings.label);
    if (parseFormat(mirror.get(key)?.value) >= currentFormat) return;
    await commits.commit([{ key, version: mirror.version(key) }], [{ put: key, value: formatRecord() }]);
  }
}
