import type { Clock } from '../base/clock.js';
import { sleep } from '../base/clock.js';
import type { Log } from '../base/log.js';
import type { OperatorSettings } from '../settings/operator.js';
import type { Settings } from '../settings/settings.js';
import type { CommitOutcome, StoreClient } from '../store/client.js';
import { writtenKey, type CommitStage } from '../store/commit-stage.js';
import type { Mirror } from '../store/mirror.js';
import { type LeadRecord, blockKey, blockRecord, leadKey, leadRecord, parseLead } from '../wire/records.js';
import type { Condition, Write } from '../wire/state.js';
import { Term } from './term.js';

export interface ElectionPorts {
  clock: Clock;
  log: Log;
  store: StoreClient;
  commits: CommitStage;
  mirror: Mirror;
  settings: Settings;
  operator: OperatorSettings;
  /** Tells one life of this process from the next: a grant of the last one is not ours. */
  boot: string;
  /** A number in [0, 1), to keep rivals from asking in step. */
  random: () => number;
  /** Runs for as long as the term lasts. */
  onTerm: (term: Term) => Promise<void>;
}

const tickMs = 100;

/**
 * Whether to stand for election. A key left by an earlier life of this very controller stands for nobody: there
 * is one process under each label, and whatever that life still has in flight is conditioned on its own token.
 */
export function mayStand(lead: LeadRecord | undefined, label: string, boot: string): boolean {
  return lead === undefined || (lead.label === label && lead.boot !== boot);
}

export class Election {
  private serial = 0;
  private standAfter = 0;
  private current: Term | undefined;

  constructor(private readonly ports: ElectionPorts) {}

  get term(): Term | undefined {
    return this.current;
  }

  /** The leader as far as the mirror knows. */
  get leader(): string | undefined {
    return parseLead(this.ports.mirror.get(leadKey)?.value)?.label;
  }

  /** Keeps out of elections for a while, for a leader that found it cannot do the work. */
  abstain(ms: number): void {
    this.standAfter = this.ports.clock() + ms;
  }

  async run(signal: AbortSignal): Promise<void> {
    const { mirror, clock, settings, boot, random } = this.ports;
    while (!signal.aborted) {
      await sleep(tickMs, signal);
      if (!mirror.ready || clock() < this.standAfter || this.ports.store.failing) continue;
      if (!mayStand(parseLead(mirror.get(leadKey)?.value), settings.label, boot)) continue;
      await sleep(random() * 2 * tickMs, signal);
      if (!mayStand(parseLead(mirror.get(leadKey)?.value), settings.label, boot)) continue;
      const term = await this.stand(signal);
      if (term) await this.serve(term, signal);
    }
  }

  private async stand(signal: AbortSignal): Promise<Term | undefined> {
    const { store, commits, mirror, settings, operator, boot, clock, log } = this.ports;
    const ttlMs = settings.reportMs * operator.leadership.grantReports;
    const askedAt = clock();
    const grant = await store.grant(ttlMs);
    const serial = ++this.serial;
    const lead: LeadRecord = { label: settings.label, boot, serial };
    const conditions: Condition[] = [
      { key: leadKey, version: mirror.version(leadKey) },
      { key: blockKey, version: mirror.version(blockKey) },
    ];
    const writes: Write[] = [
      { put: leadKey, value: leadRecord(lead), lease: grant },
      { put: blockKey, value: blockRecord(lead) },
    ];
    const outcome = await commits.commit(conditions, writes);
    const token = await this.tokenOf(outcome, lead, writes);
    if (token === undefined) {
      await store.endGrant(grant).catch(() => undefined);
      // The mirror may lag behind whatever made this fail.
      await sleep(tickMs, signal);
      return undefined;
    }
    log.info({ event: 'elected', token, serial }, 'elected leader');
    return new Term({ token, grant, ttlMs, grantedAt: askedAt, startedAt: clock() });
  }

  /** A lost answer does not tell whether we won; the store does. */
  private async tokenOf(
    outcome: CommitOutcome,
    lead: LeadRecord,
    writes: Write[],
  ): Promise<number | undefined> {
    if (outcome.kind === 'applied') return outcome.revision;
    if (outcome.kind !== 'unknown') return undefined;
    for (const key of writes.map(writtenKey).filter((k) => k === leadKey)) {
      const item = await this.ports.store.read(key);
      const found = parseLead(item?.value);
      if (item && found?.boot === lead.boot && found.serial === lead.serial) return item.version;
    }
    return undefined;
  }

  private async serve(term: Term, signal: AbortSignal): Promise<void> {
    const { store, mirror, log, onTerm } = this.ports;
    this.current = term;
    store.setLeading(true);
    const onAbort = (): void => term.end('stopping');
    signal.addEventListener('abort', onAbort, { once: true });
    const unlisten = mirror.listen(() => {
      const lead = mirror.get(leadKey);
      if (mirror.revision >= term.token && lead?.version !== term.token)
        term.end('another leader, or grant ended');
    });
    try {
      await Promise.all([this.keepGrant(term), onTerm(term)]);
    } finally {
      unlisten();
      signal.removeEventListener('abort', onAbort);
      term.end('duties ended');
      this.current = undefined;
      store.setLeading(false);
      log.info({ event: 'term-over', token: term.token, why: term.reason }, 'no longer leader');
      await store.endGrant(term.grant).catch(() => undefined);
    }
  }

  private async keepGrant(term: Term): Promise<void> {
    const { store, log } = this.ports;
    while (!term.signal.aborted) {
      await sleep(term.ttlMs / 4, term.signal);
      if (term.signal.aborted) return;
      try {
        if (!(await store.touch(term.grant))) term.end('grant ended');
      } catch (error) {
        log.debug({ event: 'touch-failed', err: error }, 'grant not renewed');
      }
    }
  }
}
