/**
 * Leader election by compare-and-swap of one key of the store. The key is bound to the lease of its controller, so a
 * leader that fails is gone from the store once its lease has expired.
 */
import type { Clock } from '../base/clock.js';
import { sleep } from '../base/clock.js';
import type { Log } from '../base/log.js';
import type { StoreClient } from '../store/client.js';
import type { CommitQueue } from '../store/commit-queue.js';
import type { Mirror } from '../store/mirror.js';
import type { CommitOutcome } from '../store/transactions.js';
import { type LeaderRecord, leaderRecord, parseLeader } from '../wire/controller-records.js';
import { leaderKey } from '../wire/keys.js';
import type { Membership } from './membership.js';
import { Term } from './term.js';

/** What an election needs of the rest of the controller. */
export interface ElectionPorts {
  clock: Clock;
  log: Log;
  store: Pick<StoreClient, 'failing' | 'read'>;
  commits: Pick<CommitQueue, 'commit'>;
  mirror: Pick<Mirror, 'ready' | 'revision' | 'get' | 'version' | 'listen'>;
  membership: Pick<Membership, 'leaseId'>;
  /** The name of this controller in the settings. */
  label: string;
  /** Tells one life of this process from the next. */
  incarnation: string;
  /** A number in [0, 1): spreads the attempts of rivals over time. */
  random: () => number;
  /** What the leader does; called at the start of a term, which ends when the promise settles. */
  onElected: (term: Term) => Promise<void>;
}

const pollIntervalMs = 100;
/** A candidate waits for a random part of so many poll intervals, so that rivals do not collide each time. */
const maxJitterPolls = 2;
/** After a candidacy that failed: the replica may lag behind whatever made it fail. */
const pauseAfterDefeatPolls = 2;

/**
 * Whether a controller that does not lead may campaign, given the record of the leader. A record under the controller's own
 * label does not stand for a living leader: an earlier incarnation left it, or a candidacy that was given up has been
 * carried out late. There is one process under each label, and whatever it still has in flight as leader is conditioned on
 * the old fencing token.
 */
export function mayCampaign(leader: LeaderRecord | undefined, label: string): boolean {
  return leader === undefined || leader.label === label;
}

/** Campaigns whenever there is no leader, and holds a term from each victory until it is lost. */
export class Election {
  private lastCandidacy = 0;
  private currentTerm: Term | undefined;

  constructor(private readonly ports: ElectionPorts) {}

  /** The term that this controller holds; undefined while it does not lead. */
  get term(): Term | undefined {
    return this.currentTerm;
  }

  /** The label of the leader as far as the replica of the store knows. */
  get leader(): string | undefined {
    return this.storedLeader?.label;
  }

  /**
   * Campaigns and leads until the signal fires; a term that is held then ends. Throws where the store cannot be read after a
   * candidacy of unknown outcome, or what `onElected` throws.
   */
  async run(signal: AbortSignal): Promise<void> {
    const { random } = this.ports;
    while (!signal.aborted) {
      await sleep(pollIntervalMs, signal);
      if (!this.isEligible()) continue;
      await sleep(random() * maxJitterPolls * pollIntervalMs, signal);
      if (!this.isEligible()) continue;
      const term = await this.campaign(signal);
      if (term) await this.holdTerm(term, signal);
    }
  }

  private get storedLeader(): LeaderRecord | undefined {
    return parseLeader(this.ports.mirror.get(leaderKey)?.value);
  }

  private isEligible(): boolean {
    const { mirror, store, membership, label } = this.ports;
    if (!mirror.ready || store.failing || membership.leaseId === undefined) return false;
    return mayCampaign(this.storedLeader, label);
  }

  private async campaign(signal: AbortSignal): Promise<Term | undefined> {
    const { commits, mirror, membership, label, incarnation, clock, log } = this.ports;
    const { leaseId } = membership;
    if (leaseId === undefined) return undefined;
    const candidate: LeaderRecord = { label, incarnation, candidacy: ++this.lastCandidacy };
    const outcome = await commits.commit(
      [{ key: leaderKey, version: mirror.version(leaderKey) }],
      [{ put: leaderKey, value: leaderRecord(candidate), lease: leaseId }],
    );
    const fencingToken = await this.fencingTokenOf(outcome, candidate);
    if (fencingToken === undefined) {
      await sleep(pollIntervalMs * pauseAfterDefeatPolls, signal);
      return undefined;
    }
    log.info({ event: 'elected', fencingToken, candidacy: candidate.candidacy }, 'elected leader');
    return new Term(fencingToken, clock());
  }

  /** Undefined where the candidacy failed. Where the response was lost, the store tells whether it was carried out. */
  private async fencingTokenOf(outcome: CommitOutcome, candidate: LeaderRecord): Promise<number | undefined> {
    if (outcome.kind === 'applied') return outcome.revision;
    if (outcome.kind !== 'unknown') return undefined;
    const item = await this.ports.store.read(leaderKey);
    const leader = parseLeader(item?.value);
    const isElected =
      leader?.incarnation === candidate.incarnation && leader.candidacy === candidate.candidacy;
    return isElected ? item?.version : undefined;
  }

  private async holdTerm(term: Term, signal: AbortSignal): Promise<void> {
    const { mirror, log, onElected } = this.ports;
    const { fencingToken } = term;
    this.currentTerm = term;
    const onShutdown = (): void => term.end({ kind: 'shutdown' });
    signal.addEventListener('abort', onShutdown, { once: true });
    const stopListening = mirror.listen(() => {
      const isOutdated = mirror.revision < fencingToken;
      if (!isOutdated && mirror.version(leaderKey) !== fencingToken) term.end({ kind: 'leader-key-changed' });
    });
    try {
      await onElected(term);
    } finally {
      stopListening();
      signal.removeEventListener('abort', onShutdown);
      term.end({ kind: 'duties-ended' });
      this.currentTerm = undefined;
      log.info({ event: 'term-ended', fencingToken, reason: term.endReason }, 'no longer leader');
    }
  }
}
