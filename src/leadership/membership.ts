import { onAbort } from '../base/aborts.js';
import { type Clock, sleep } from '../base/clock.js';
import type { Log } from '../base/log.js';
import type { OperatorSettings } from '../settings/operator.js';
import type { Settings } from '../settings/settings.js';
import type { StoreClient } from '../store/client.js';
import type { CommitQueue } from '../store/commit-stage.js';
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
  boot: string;
}

/** How often a grant is renewed in its life. */
const renewals = 4;

/**
 * Keeps this controller's grant and the key that hangs on it, by which the others know it to be alive. The grant
 * outlives a quick restart: the new life finds its blocks still leased to it.
 */
export class Membership {
  readonly ttlMs: number;
  private id: number | undefined;
  private asideUntil = -Infinity;
  /** Whether a commit of our key is on its way. */
  private announcing = false;

  constructor(private readonly ports: MembershipPorts) {
    this.ttlMs = ports.settings.reportMs * ports.operator.leadership.grantReports;
  }

  get grant(): number | undefined {
    return this.id;
  }

  /** Gives the grant up, and with it the blocks and the lead, for so long: we are of no use to our workers. */
  stepAside(ms: number): void {
    const { store, log, clock } = this.ports;
    const { id } = this;
    if (id === undefined) return;
    this.asideUntil = clock() + ms;
    this.id = undefined;
    log.info({ event: 'stepped-aside', grant: id, ms }, 'no worker is heard: others take over');
    void store.revokeLease(id).catch(() => undefined);
  }

  async run(signal: AbortSignal): Promise<void> {
    const { store, log, clock } = this.ports;
    await sleep(Math.max(0, this.asideUntil - clock()), signal);
    if (signal.aborted) return;
    try {
      const grant = await store.createLease(this.ttlMs);
      this.id = grant;
      log.info({ event: 'joined', grant }, 'joined');
      await this.keep(grant, signal);
      if (!signal.aborted) log.info({ event: 'grant-lost', grant }, 'grant ended');
    } finally {
      this.id = undefined;
    }
  }

  /**
   * Until the grant has ended, or was given up. Renewals go out on time whether or not what was sent before has been
   * answered: where answers take most of a grant's life, waiting for them would cost each grant in turn.
   */
  private async keep(grant: number, signal: AbortSignal): Promise<void> {
    const lost = new AbortController();
    const stopListening = onAbort(signal, () => lost.abort());
    void this.announce(grant);
    while (!lost.signal.aborted && this.id === grant) {
      void this.renew(grant).then((renewed) => {
        if (!renewed) lost.abort();
      });
      await sleep(this.ttlMs / renewals, lost.signal);
      if (!lost.signal.aborted && this.id === grant) this.repeatAnnouncements(grant);
    }
    stopListening();
  }

  /** False once the grant has ended; an attempt without an answer says nothing. */
  private async renew(grant: number): Promise<boolean> {
    const { store, log } = this.ports;
    try {
      return await store.renewLease(grant);
    } catch (error) {
      log.debug({ event: 'touch-failed', err: error }, 'grant not renewed');
      return true;
    }
  }

  /** A late message of an earlier life may have hung our key on its own grant. */
  private repeatAnnouncements(grant: number): void {
    const { mirror, settings, boot } = this.ports;
    if (!mirror.ready || this.announcing) return;
    const alive = parseAlive(mirror.get(aliveKey(settings.label))?.value);
    if (alive?.boot !== boot) void this.announce(grant);
    void this.announceFormat();
  }

  private async announce(grant: number): Promise<void> {
    const { commits, settings, boot } = this.ports;
    const value = aliveRecord({ boot, zone: settings.zone });
    this.announcing = true;
    await commits.commit([], [{ put: aliveKey(settings.label), value, lease: grant }]);
    this.announcing = false;
  }

  /** Kept for good: a controller that has run with this format does not come back with an earlier one. */
  private async announceFormat(): Promise<void> {
    const { commits, settings, mirror } = this.ports;
    const key = formatKey(settings.label);
    if (parseFormat(mirror.get(key)?.value) >= currentFormat) return;
    await commits.commit([{ key, version: mirror.version(key) }], [{ put: key, value: formatRecord() }]);
  }
}
