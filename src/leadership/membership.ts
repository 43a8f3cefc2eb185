import { type Clock, sleep } from '../base/clock.js';
import type { Log } from '../base/log.js';
import type { OperatorSettings } from '../settings/operator.js';
import type { Settings } from '../settings/settings.js';
import type { StoreClient } from '../store/client.js';
import type { CommitStage } from '../store/commit-stage.js';
import type { Mirror } from '../store/mirror.js';
import {
  type AliveRecord,
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
  commits: CommitStage;
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
    void store.endGrant(id).catch(() => undefined);
  }

  async run(signal: AbortSignal): Promise<void> {
    const { store, log, mirror, settings, clock } = this.ports;
    await sleep(Math.max(0, this.asideUntil - clock()), signal);
    if (signal.aborted) return;
    try {
      this.id = await store.grant(this.ttlMs);
      await this.announce(this.id);
      log.info({ event: 'joined', grant: this.id }, 'joined');
      while (!signal.aborted) {
        await sleep(this.ttlMs / renewals, signal);
        if (signal.aborted || this.id === undefined) return;
        try {
          if (!(await store.touch(this.id))) break;
        } catch (error) {
          log.debug({ event: 'touch-failed', err: error }, 'grant not renewed');
          continue;
        }
        // A late message of an earlier life may have hung our key on its own grant.
        const alive = parseAlive(mirror.get(aliveKey(settings.label))?.value);
        if (!mirror.ready) continue;
        if (alive?.boot !== this.ports.boot) await this.announce(this.id);
        await this.announceFormat();
      }
      log.info({ event: 'grant-lost', grant: this.id }, 'grant ended');
    } finally {
      this.id = undefined;
    }
  }

  private async announce(grant: number): Promise<void> {
    const { commits, settings, boot } = this.ports;
    const value: AliveRecord = { boot, zone: settings.zone };
    await commits.commit([], [{ put: aliveKey(settings.label), value, lease: grant }]);
  }

  /** Kept for good: a controller that has run with this format does not come back with an earlier one. */
  private async announceFormat(): Promise<void> {
    const { commits, settings, mirror } = this.ports;
    const key = formatKey(settings.label);
    if (parseFormat(mirror.get(key)?.value) >= currentFormat) return;
    await commits.commit([{ key, version: mirror.version(key) }], [{ put: key, value: formatRecord() }]);
  }
}
