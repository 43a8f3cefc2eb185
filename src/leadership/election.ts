import type { Clock } from '../base/clock.js';
import { sleep } from '../base/clock.js';
import type { Log } from '../base/log.js';
import type { Settings } from '../settings/settings.js';
import type { StoreClient } from '../store/client.js';
import type { CommitQueue } from '../store/commit-queue.js';
import type { Mirror } from '../store/mirror.js';
import type { CommitOutcome } from '../store/transactions.js';
import { type LeaderRecord, leaderRecord, parseLeader } from '../wire/controller-records.js';
import { leaderKey } from '../wire/keys.js';
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
  incarnation: string;
  /** A number in [0, 1), to keep rivals from asking in step. */
  random: () => number;
  /** Runs for as long as the term lasts. */
  onElected: (term: Term) => Promise<void>;
}

const pollIntervalMs = 100;

/**
 * Whether to stand for election, by who does not lead now. A key under our own label stands for nobody then: an earlier
 * life of this controller left it, or a candidacy of ours that we gave up was carried out late. There is one process under
 * each label, and whatever it still has in flight as leader is conditioned on the old token.
 */
export function mayCampaign(leader: LeaderRecord | undefined, label: string): boolean {
  return leader === undefined || leader.label === label;
}

export class Election {
  private lastCandidacy = 0;
  private currentTerm: Term | undefined;

  constructor(private readonly ports: ElectionPorts) {}

  get term(): Term | undefined {
    return this.currentTerm;
  }

  /** The leader as far as the mirror knows. */
  get leader(): string | undefined {
    return this.leaderRecord?.label;
  }

  async run(signal: AbortSignal): Promise<void> {
    const { random } = this.ports;
    while (!signal.aborted) {
      await sleep(pollIntervalMs, signal);
      if (!this.isEligible) continue;
      await sleep(random() * 2 * pollIntervalMs, signal);
      if (!this.isEligible) continue;
      const term = await this.campaign(signal);
      if (term) await this.holdTerm(term, signal);
    }
  }

  private get leaderRecord(): LeaderRecord | undefined {
    return parseLeader(this.ports.mirror.get(leaderKey)?.value);
  }

  private get isEligible(): boolean {
    const { mirror, store, membership, settings } = this.ports;
    if (!mirror.ready || store.failing || membership.leaseId === undefined) return false;
    return mayCampaign(this.leaderRecord, settings.label);
  }

  private async campaign(signal: AbortSignal): Promise<Term | undefined> {
    const { commits, mirror, settings, membership, incarnation, clock, log } = this.ports;
    const { leaseId } = membership;
    if (leaseId === undefined) return undefined;
    const lead: LeaderRecord = { label: settings.label, incarnation, candidacy: ++this.lastCandidacy };
    const outcome = await commits.commit(
      [{ key: leaderKey, version: mirror.version(leaderKey) }],
      [{ put: leaderKey, value: leaderRecord(lead), lease: leaseId }],
    );
    const token = await this.fencingTokenOf(outcome, lead);
    if (token === undefined) {
      // The mirror may lag behind whatever made this fail.
      await sleep(pollIntervalMs * 2, signal);
      return undefined;
    }
    log.info({ event: 'elected', token, serial: lead.candidacy }, 'elected leader');
    return new Term(token, clock());
  }

  /** A lost answer does not tell whether we won; the store does. */
  private async fencingTokenOf(outcome: CommitOutcome, lead: LeaderRecord): Promise<number | undefined> {
    if (outcome.kind === 'applied') return outcome.revision;
    if (outcome.kind !== 'unknown') return undefined;
    const item = await this.ports.store.read(leaderKey);
    const found = parseLeader(item?.value);
    return item && found?.incarnation === lead.incarnation && found.candidacy === lead.candidacy
      ? item.version
      : undefined;
  }

  private async holdTerm(term: Term, signal: AbortSignal): Promise<void> {
    const { mirror, log, onElected } = this.ports;
    this.currentTerm = term;
    const onAbort = (): void => term.end('stopping');
    signal.addEventListener('abort', onAbort, { once: true });
    const unlisten = mirror.listen(() => {
      if (mirror.revision >= term.fencingToken && mirror.version(leaderKey) !== term.fencingToken) {
        term.end('another leader, or the grant ended');
      }
    });
    try {
      await onElected(term);
    } finally {
      unlisten();
      signal.removeEventListener('abort', onAbort);
      term.end('duties ended');
      this.currentTerm = undefined;
      log.info({ event: 'term-over', token: term.fencingToken, why: term.endReason }, 'no longer leader');
    }
  }
}
