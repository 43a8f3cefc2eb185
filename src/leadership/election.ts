/**
 * Leader election. A candidate writes the leader key of the store by compare-and-swap, and the key is bound
 * to the lease of the candidate in the store. If the leader fails, its lease expires and the store deletes
 * the leader key.
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
  /** Identifies this run of the controller process. A restarted process has a different incarnation. */
  incarnation: string;
  /** Returns a random number in [0, 1), which determines the jitter before a candidacy. */
  random: () => number;
  /**
   * Runs the duties of the leader. Called at the start of a term. The term ends when the returned promise
   * settles.
   */
  onElected: (term: Term) => Promise<void>;
}

const pollIntervalMs = 100;
/**
 * Maximum jitter before a candidacy, in poll intervals. Without jitter, competing candidates could collide
 * each time.
 */
const maxJitterPolls = 2;
/**
 * Back-off after a failed candidacy, in poll intervals. The replica of the store may not yet contain the
 * change of the leader key that made the candidacy fail.
 */
const lostElectionBackoffPolls = 2;

/**
 * Whether a controller that does not lead may campaign; `leader` is the stored leader record. A leader record
 * with the label of this controller does not prove that a leader is alive. The record was written either by a
 * previous incarnation, or by a candidacy of this incarnation that was applied after the controller had given
 * it up. Campaigning is safe in both cases, because only one process runs under each label, and every commit
 * that the process still has in flight as leader is conditioned on the old fencing token.
 */
export function mayCampaign(leader: LeaderRecord | undefined, label: string): boolean {
  return leader === undefined || leader.label === label;
}

/**
 * Campaigns if the cluster has no leader. If this controller wins an election, it starts a term and does not
 * campaign again until the term has ended.
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
   * Label of the leader according to the replica of the store; undefined if the replica contains no leader
   * record.
   */
  get leader(): string | undefined {
    return this.storedLeader?.label;
  }

  /**
   * Campaigns, and leads after each won election, until the signal fires. The signal also ends the current
   * term. Rejects if the store cannot be read after a candidacy of unknown outcome, and with any error of
   * `onElected`.
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
   * Returns the fencing token of a won election; undefined if the candidacy failed. If the outcome of the
   * commit is unknown, reads the leader key to find out whether the candidacy was applied.
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
      const ledForMs = Math.round(this.ports.clock() - term.startedAt);
      log.info(
        { event: 'term-ended', fencingToken, reason: term.endReason, ledForMs },
        'the term as leader has ended; the duties of the leader have stopped',
      );
    }
  }
}
