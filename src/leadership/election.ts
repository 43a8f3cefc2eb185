/**
 * Leader election by compare-and-swap of one key of the store. The key is bound to the lease of the leader,
 * so the store deletes the key of a failed leader when its lease expires.
 */
import type { Clock } from '../base/clock.js';
import { sleep } from '../base/clock.js';
import type { Log } from '../base/log.js';
import type { StoreClient } from '../store/client.js';
import type { CommitQueue } from '../store/commit-queue.js';
import type { StoreReplica } from '../store/store-replica.js';
import type { CommitOutcome } from '../store/transactions.js';
import { type LeaderRecord, leaderRecord, parseLeader } from '../wire/controller-records.js';
import { leaderKey } from '../wire/keys.js';
import type { Membership } from './membership.js';
import { Term } from './term.js';

/** Dependencies of the election on the rest of the controller. */
export interface ElectionPorts {
  clock: Clock;
  log: Log;
  store: Pick<StoreClient, 'failing' | 'read'>;
  commits: Pick<CommitQueue, 'commit'>;
  replica: Pick<StoreReplica, 'ready' | 'revision' | 'get' | 'version' | 'listen'>;
  membership: Pick<Membership, 'leaseId'>;
  /** Label of this controller in the settings. */
  label: string;
  /** Identifies this run of the controller process; every restart has a new one. */
  incarnation: string;
  /** Returns a random number in [0, 1), which spreads the attempts of competing candidates over time. */
  random: () => number;
  /** Runs the duties of the leader. Called at the start of a term; the term ends when the promise settles. */
  onElected: (term: Term) => Promise<void>;
}

const pollIntervalMs = 100;
/**
 * Maximum jitter before a candidacy, in poll intervals, so that competing candidates do not collide each
 * time.
 */
const maxJitterPolls = 2;
/**
 * Back-off after a failed candidacy, in poll intervals: the replica may not yet contain the change that made
 * it fail.
 */
const lostElectionBackoffPolls = 2;

/**
 * Whether a controller that does not lead may campaign, given the stored leader record. A record with the
 * controller's own label does not mean that a live leader exists: an earlier incarnation wrote the record, or
 * a candidacy of this controller was applied after the controller had given it up. Only one process runs
 * under each label, and all commits that it still has in flight as leader are conditioned on the old fencing
 * token.
 */
export function mayCampaign(leader: LeaderRecord | undefined, label: string): boolean {
  return leader === undefined || leader.label === label;
}

/**
 * Campaigns whenever there is no leader. Each won election starts a term, which this controller holds until
 * it ends.
 */
export class Election {
  private lastCandidacy = 0;
  private currentTerm: Term | undefined;

  constructor(private readonly ports: ElectionPorts) {}

  /** The term that this controller holds; undefined while it does not lead. */
  get term(): Term | undefined {
    return this.currentTerm;
  }

  /**
   * Label of the leader according to the replica of the store; undefined if the replica contains no leader.
   */
  get leader(): string | undefined {
    return this.storedLeader?.label;
  }

  /**
   * Campaigns and leads until the signal fires, which also ends the current term. Throws if the store cannot
   * be read after a candidacy of unknown outcome, and any error that `onElected` throws.
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
    return parseLeader(this.ports.replica.get(leaderKey)?.value);
  }

  private isEligible(): boolean {
    const { replica, store, membership, label } = this.ports;
    if (!replica.ready || store.failing || membership.leaseId === undefined) return false;
    return mayCampaign(this.storedLeader, label);
  }

  private async campaign(signal: AbortSignal): Promise<Term | undefined> {
    const { commits, replica, membership, label, incarnation, clock, log } = this.ports;
    const { leaseId } = membership;
    if (leaseId === undefined) return undefined;
    const candidate: LeaderRecord = { label, incarnation, candidacy: ++this.lastCandidacy };
    const outcome = await commits.commit(
      [{ key: leaderKey, version: replica.version(leaderKey) }],
      [{ put: leaderKey, value: leaderRecord(candidate), lease: leaseId }],
    );
    const fencingToken = await this.fencingTokenOf(outcome, candidate);
    if (fencingToken === undefined) {
      await sleep(pollIntervalMs * lostElectionBackoffPolls, signal);
      return undefined;
    }
    log.info(
      { event: 'elected', fencingToken, candidacy: candidate.candidacy },
      'this controller was elected leader and starts the duties of the leader',
    );
    return new Term(fencingToken, clock());
  }

  /**
   * The fencing token of a won election; undefined if the candidacy failed. If the response to the commit was
   * lost, a read of the leader key shows whether the candidacy was applied.
   */
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
    const { replica, log, onElected } = this.ports;
    const { fencingToken } = term;
    this.currentTerm = term;
    const onShutdown = (): void => term.end({ kind: 'shutdown' });
    signal.addEventListener('abort', onShutdown, { once: true });
    const stopListening = replica.listen(() => {
      const isOutdated = replica.revision < fencingToken;
      if (!isOutdated && replica.version(leaderKey) !== fencingToken)
        term.end({ kind: 'leader-key-changed' });
    });
    try {
      await onElected(term);
    } finally {
      stopListening();
      signal.removeEventListener('abort', onShutdown);
      term.end({ kind: 'duties-ended' });
      this.currentTerm = undefined;
      log.info(
        { event: 'term-ended', fencingToken, reason: term.endReason },
        'the term as leader has ended; the duties of the leader have stopped',
      );
    }
  }
}
