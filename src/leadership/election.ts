import type { Clock } from '../base/clock.js';
import { sleep } from '../base/clock.js';
import type { Log } from '../base/log.js';
import type { Settings } from '../settings/settings.js';
import type { CommitOutcome, StoreClient } from '../store/client.js';
import type { CommitQueue } from '../store/commit-stage.js';
import type { Mirror } from '../store/mirror.js';
import { type LeadRecord, leadRecord, parseLead } from '../wire/controller-records.js';
import { leadKey } from '../wire/keys.js';
import type { Membership } from './membership.js';
import { Term } from './term.js';

export interface ElectionPorts {
  clock: Clock;
  log: Log;
  store: StoreClient;
  commits: CommitQueue;
  mirror: Mirror;
  settings: Settings;
  membership: Membership;
  boot: string;
  /** A number in [0, 1), to keep rivals from asking in step. */
  random: () => number;
  /** Runs for as long as the term lasts. */
  onTerm: (term: Term) => Promise<void>;
}

const tickMs = 100;

/**
 * Whether to stand for election, by who does not lead now. A key under our own label stands for nobody then: an earlier
 * life of this controller left it, or a candidacy of ours that we gave up was carried out late. There is one process under
 * each label, and whatever it still has in flight as leader is conditioned on the old token.
 */
export function mayStand(lead: LeadRecord | undefined, label: string): boolean {
  return lead === undefined || lead.label === label;
}

export class Election {
  private serial = 0;
  private current: Term | undefined;

  constructor(private readonly ports: ElectionPorts) {}

  get term(): Term | undefined {
    return this.current;
  }

  /** The leader as far as the mirror knows. */
  get leader(): string | undefined {
    return this.lead?.label;
  }

  async run(signal: AbortSignal): Promise<void> {
    const { random } = this.ports;
    while (!signal.aborted) {
      await sleep(tickMs, signal);
      if (!this.standing) continue;
      await sleep(random() * 2 * tickMs, signal);
      if (!this.standing) continue;
      const term = await this.stand(signal);
      if (term) await this.serve(term, signal);
    }
  }

  private get lead(): LeadRecord | undefined {
    return parseLead(this.ports.mirror.get(leadKey)?.value);
  }

  private get standing(): boolean {
    const { mirror, store, membership, settings } = this.ports;
    if (!mirror.ready || store.failing || membership.grant === undefined) return false;
    return mayStand(this.lead, settings.label);
  }

  private async stand(signal: AbortSignal): Promise<Term | undefined> {
    const { commits, mirror, settings, membership, boot, clock, log } = this.ports;
    const { grant } = membership;
    if (grant === undefined) return undefined;
    const lead: LeadRecord = { label: settings.label, boot, serial: ++this.serial };
    const outcome = await commits.commit(
      [{ key: leadKey, version: mirror.version(leadKey) }],
      [{ put: leadKey, value: leadRecord(lead), lease: grant }],
    );
    const token = await this.tokenOf(outcome, lead);
    if (token === undefined) {
      // The mirror may lag behind whatever made this fail.
      await sleep(tickMs * 2, signal);
      return undefined;
    }
    log.info({ event: 'elected', token, serial: lead.serial }, 'elected leader');
    return new Term(token, clock());
  }

  /** A lost answer does not tell whether we won; the store does. */
  private async tokenOf(outcome: CommitOutcome, lead: LeadRecord): Promise<number | undefined> {
    if (outcome.kind === 'applied') return outcome.revision;
    if (outcome.kind !== 'unknown') return undefined;
    const item = await this.ports.store.read(leadKey);
    const found = parseLead(item?.value);
    return item && found?.boot === lead.boot && found.serial === lead.serial ? item.version : undefined;
  }

  private async serve(term: Term, signal: AbortSignal): Promise<void> {
    const { mirror, log, onTerm } = this.ports;
    this.current = term;
    const onAbort = (): void => term.end('stopping');
    signal.addEventListener('abort', onAbort, { once: true });
    const unlisten = mirror.listen(() => {
      if (mirror.revision >= term.token && mirror.version(leadKey) !== term.token) {
        term.end('another leader, or the grant ended');
      }
    });
    try {
      await onTerm(term);
    } finally {
      unlisten();
      signal.removeEventListener('abort', onAbort);
      term.end('duties ended');
      this.current = undefined;
      log.info({ event: 'term-over', token: term.token, why: term.reason }, 'no longer leader');
    }
  }
}
