import { onAbort } from '../base/aborts.js';
import type { Clock } from '../base/clock.js';
import { sleep } from '../base/clock.js';
import { type Answer, HttpPeer } from '../base/http.js';
import { Pacer } from '../base/pacer.js';
import type { Settings } from '../settings/settings.js';
import { FreshnessBound } from './freshness-bound.js';
import { AdaptiveShare } from './adaptive-share.js';
import {
  type Change,
  type Condition,
  type Item,
  type ListPage,
  type Write,
  commitBody,
  createLeaseBody,
  leasePath,
  keyPath,
  listPath,
  parseChanges,
  parseCommit,
  parseLeaseId,
  parseList,
  parseRead,
  revisionOf,
  watchPath,
  writtenKey,
} from '../wire/state.js';

/**
 * `refused`: certainly not executed. `unknown`: may have been executed, or may yet be, at any later time; whoever
 * repeats it relies on its conditions.
 */
export type CommitOutcome =
  | { kind: 'applied'; revision: number }
  | { kind: 'conflict'; failed: string[]; revision: number }
  /** Refused for its form or size, or for a lease that has ended: repeating it as it is helps nothing. */
  | { kind: 'malformed' }
  /** `busy`: over the limits, so worth a repetition in a moment. */
  | { kind: 'refused'; busy: boolean }
  | { kind: 'unknown' };

export class StoreUnavailable extends Error {}

/**
 * `intake` carries what users submit and cancel, `confirm` what their questions ask for, `duty` all else: neither a
 * burst of intents nor one of questions can make a submission late.
 */
export type TrafficClass = 'intake' | 'confirm' | 'duty';

/** Shares of the limits, which hold for all controllers together; the whole stays below them. */
const limitShares = {
  requests: { intake: 0.12, confirm: 0.23, leader: 0.08, duty: 0.32 },
  /** Changes are shared by whoever needs them: what users submit goes first, and never takes more than its part. */
  writes: { leader: 0.14, even: 0.37, byMachines: 0.43, mostForIntake: 0.5 },
};
/** Of the duties' requests, what goes to all evenly; the rest goes by the machines that each has. */
const evenRequestShare = 0.3;
/** What the duties leave of a burst, so that submissions that come together need not wait for each other. */
const intakeBurstReserve = 0.5;
/** What watches take of the requests: each that returns with changes is followed by another. */
const watchRequestShare = 0.2;
const burstShare = 0.5;
const minWatchGapMs = 200;
/** Nor need they be closer than this part of a report interval: starts and reports wait for no watch. */
const watchGapHeartbeats = 0.1;
const requestTimeoutMs = 1500;
const watchHoldMs = 10_000;
/** One is open unless answers take longer than the pause between renewals. */
const renewalSockets = 4;
const itemsPerPage = 500;

/** What the changes of the state service are spent on. */
export interface ChangeCounts {
  /** Changes asked for, by the kind of key. */
  changes: Record<string, number>;
  /** Transactions beyond the limits. */
  refused: number;
  /** Changes of transactions whose conditions did not hold: they count towards the limits as well. */
  conflicts: number;
}

export class StoreClient {
  private readonly peer: HttpPeer;
  private readonly watchPeer: HttpPeer;
  private readonly renewalPeer: HttpPeer;
  private readonly requests: Record<TrafficClass, Pacer>;
  private readonly writes: Pacer;
  private readonly writeBurst: number;
  private readonly intakeWrites: Pacer;
  private role = { leading: false, alive: 1, machines: 0 };
  private readonly adaptiveShare: AdaptiveShare;
  private counts: ChangeCounts = { changes: {}, refused: 0, conflicts: 0 };
  private openWatch: AbortController | undefined;
  /** What we know of the store's changes; whether it serves us is another matter, see `lastContact`. */
  private readonly freshness = new FreshnessBound();
  private lastServedAt: number;
  private lastFailureAt = -Infinity;

  constructor(
    private readonly settings: Settings,
    private readonly clock: Clock,
    private readonly signal: AbortSignal,
  ) {
    this.peer = new HttpPeer(settings.stateAddress, 6);
    this.watchPeer = new HttpPeer(settings.stateAddress, 1);
    this.renewalPeer = new HttpPeer(settings.stateAddress, renewalSockets);
    this.requests = {
      intake: new Pacer(1, 1, clock),
      confirm: new Pacer(1, 1, clock),
      duty: new Pacer(1, 1, clock),
    };
    this.adaptiveShare = new AdaptiveShare(clock(), settings.state.nextRateShare);
    this.writeBurst = Math.max(4, settings.state.writeRps * burstShare);
    // All controllers may start at once: none begins with more than the duties can use.
    this.writes = new Pacer(1, this.writeBurst * intakeBurstReserve, clock);
    this.intakeWrites = new Pacer(1, this.writeBurst * intakeBurstReserve, clock);
    this.lastServedAt = clock() - settings.cancelDeadlineMs;
    const { controllers } = settings;
    this.setRole({ leading: false, alive: controllers, machines: 1 / controllers });
  }

  /**
   * A controller's share depends on whether it leads, on how many there are to share with, and for its block on the part
   * of all machines that it has.
   */
  setRole(role: { leading: boolean; alive: number; machines: number }): void {
    this.role = role;
    const { state, controllers } = this.settings;
    const sharing = Math.min(controllers, Math.max(1, role.alive));
    const weight = evenRequestShare / sharing + (1 - evenRequestShare) * role.machines;
    const { requests, writes } = limitShares;
    // Bursts seldom meet; where they do, the service refuses one of them, and it is repeated.
    const burst = Math.max(2, state.rps * burstShare);
    this.requests.intake.setRate((state.rps * requests.intake) / sharing, burst);
    this.requests.confirm.setRate((state.rps * requests.confirm) / sharing, burst);
    const leader = role.leading ? requests.leader : 0;
    this.requests.duty.setRate(state.rps * (requests.duty * weight + leader), burst);
    const share =
      writes.even / sharing + writes.byMachines * role.machines + (role.leading ? writes.leader : 0);
    const rate = state.writeRps * Math.min(1, share * this.adaptiveShare.factor);
    this.writes.setRate(rate, this.writeBurst);
    this.intakeWrites.setRate(rate * writes.mostForIntake, this.writeBurst);
  }

  /** The pause between two watches that keeps all controllers' watches within their share. */
  get watchGapMs(): number {
    const { state, controllers } = this.settings;
    const share = (controllers * 1000) / (state.rps * watchRequestShare);
    return Math.max(minWatchGapMs, this.settings.heartbeatIntervalMs * watchGapHeartbeats, share);
  }

  /** Every change committed before this moment of our clock is in a copy that has reached `revision`. */
  knownUntil(revision: number): number {
    return this.freshness.knownUntil(revision);
  }

  /** When the last request was sent whose answer named a revision of the store. */
  get lastRevisionSeenAt(): number {
    return this.freshness.lastRevisionSeenAt;
  }

  /** When the last request that was served had been sent: it says that the store serves us, not what we know of it. */
  get lastContactAt(): number {
    return this.lastServedAt;
  }

  contactAgeMs(now: number): number {
    return now - this.lastServedAt;
  }

  /** True once the store has turned us away or stayed silent, until it serves us again. */
  get failing(): boolean {
    return this.lastFailureAt > this.lastServedAt;
  }

  async read(key: string, lane: TrafficClass = 'duty'): Promise<Item | undefined> {
    const answer = await this.sendPaced('GET', keyPath(key), undefined, lane);
    if (answer.status === 404) return undefined;
    if (answer.status !== 200) throw new StoreUnavailable(`read answered ${answer.status}`);
    return parseRead(answer.body);
  }

  /** All items below a prefix, page by page, and the revision of the first page: changes since may be missing. */
  async list(prefix: string): Promise<{ items: Item[]; revision: number }> {
    const items: Item[] = [];
    let after = '';
    let revision: number | undefined;
    for (;;) {
      const page = await this.listPage(prefix, after, itemsPerPage);
      revision ??= page.revision;
      items.push(...page.items);
      const last = page.items.at(-1);
      if (!page.hasMore || !last) return { items, revision };
      after = last.key;
    }
  }

  /** One page of the items below a prefix, in the order of their keys, beginning after a key. */
  async listPage(
    prefix: string,
    after: string,
    maxItems: number,
    lane: TrafficClass = 'duty',
  ): Promise<ListPage> {
    const answer = await this.sendPaced('GET', listPath(prefix, after, maxItems), undefined, lane);
    if (answer.status !== 200) throw new StoreUnavailable(`list answered ${answer.status}`);
    return parseList(answer.body);
  }

  /** Waits for changes; undefined where the service no longer has them and the keys must be read again. */
  async watch(sinceRevision: number): Promise<{ changes: Change[]; revision: number } | undefined> {
    const stop = new AbortController();
    const stopListening = onAbort(this.signal, () => stop.abort());
    this.openWatch = stop;
    const options = { timeoutMs: watchHoldMs * 2, signal: stop.signal };
    const sentAt = this.clock();
    const answer = await this.watchPeer
      .exchange('GET', watchPath(sinceRevision, watchHoldMs), undefined, options)
      .finally(stopListening);
    if (answer.status === 410) return undefined;
    if (answer.status !== 200) throw new StoreUnavailable(`watch answered ${answer.status}`);
    this.recordRevision(sentAt, answer);
    return parseChanges(answer.body);
  }

  /** Gives the open watch up: a cut may have swallowed it, and it would wait for its time to be up. */
  restartWatch(): void {
    this.openWatch?.abort();
  }

  /** Since this was last called. */
  takeChangeCounts(): ChangeCounts {
    const { counts } = this;
    this.counts = { changes: {}, refused: 0, conflicts: 0 };
    return counts;
  }

  /** How long a commit of this lane would wait for its turn; `ahead` is what goes out before it. */
  writeWaitMs(lane: TrafficClass, writesAhead = 0): number {
    if (lane === 'duty') return this.writes.owedMs(this.writeBurst * intakeBurstReserve);
    return Math.max(this.writes.owedMs(writesAhead), this.intakeWrites.owedMs(writesAhead));
  }

  async commit(lane: TrafficClass, conditions: Condition[], writes: Write[]): Promise<CommitOutcome> {
    // Waits for what was spent before and spends ahead: a commit that waited for its own changes to be earned would
    // be out of date by the time it went.
    let waited = false;
    if (writes.length > 0) {
      for (let waitMs = this.writeWaitMs(lane); waitMs > 0; waitMs = this.writeWaitMs(lane)) {
        waited ||= lane === 'intake';
        await sleep(waitMs, this.signal);
        if (this.signal.aborted) return { kind: 'refused', busy: false };
      }
      this.writes.reserve(writes.length);
      if (lane === 'intake') this.intakeWrites.reserve(writes.length);
    }
    let answer: Answer;
    try {
      answer = await this.sendPaced('POST', '/commit', commitBody(conditions, writes), lane);
    } catch {
      return { kind: 'unknown' };
    }
    const refused = answer.status === 429;
    if (refused) this.counts.refused++;
    if (answer.status === 409) this.counts.conflicts += writes.length;
    for (const write of writes) {
      const root = writtenKey(write).split('/', 1)[0] ?? '';
      this.counts.changes[root] = (this.counts.changes[root] ?? 0) + 1;
    }
    if (writes.length > 0 && this.adaptiveShare.recordCommit({ refused, waited }, this.clock()))
      this.setRole(this.role);
    if (answer.status === 200) return { kind: 'applied', revision: parseCommit(answer.body).revision };
    if (answer.status === 409) return { kind: 'conflict', ...parseCommit(answer.body) };
    if (answer.status === 400) return { kind: 'malformed' };
    if (answer.status === 429 || answer.status === 503)
      return { kind: 'refused', busy: answer.status === 429 };
    return { kind: 'unknown' };
  }

  async createLease(ttlMs: number): Promise<number> {
    const answer = await this.sendPaced('POST', '/grants', createLeaseBody(ttlMs));
    if (answer.status !== 200) throw new StoreUnavailable(`grant answered ${answer.status}`);
    return parseLeaseId(answer.body);
  }

  /** True: renewed. False: the grant has ended. Throws where nothing is known. */
  async renewLease(id: number): Promise<boolean> {
    // Renewals jump the queues, also that for a connection: a leader busy with commits must not lose its grant over it.
    this.requests.duty.reserve(1);
    const answer = await this.send('POST', `${leasePath(id)}/touch`, {}, this.renewalPeer);
    if (answer.status === 404) return false;
    if (answer.status !== 200) throw new StoreUnavailable(`touch answered ${answer.status}`);
    return true;
  }

  /** Whatever hangs on it goes at once. */
  async revokeLease(id: number): Promise<void> {
    this.requests.duty.reserve(1);
    await this.send('DELETE', leasePath(id), undefined);
  }

  /** Only what was carried out, or turned down for its conditions, says which revision it found. */
  private recordRevision(sentAt: number, { status, body }: Answer): void {
    const revision = status === 200 || status === 404 || status === 409 ? revisionOf(body) : undefined;
    if (revision !== undefined) this.freshness.recordRevision(sentAt, revision);
  }

  private async sendPaced(
    method: string,
    path: string,
    body: unknown,
    lane: TrafficClass = 'duty',
  ): Promise<Answer> {
    await sleep(this.requests[lane].reserve(1), this.signal);
    return this.send(method, path, body);
  }

  private async send(method: string, path: string, body: unknown, peer = this.peer): Promise<Answer> {
    const sentAt = this.clock();
    try {
      const answer = await peer.exchange(method, path, body, {
        timeoutMs: requestTimeoutMs,
        signal: this.signal,
      });
      if (answer.status === 503) this.lastFailureAt = this.clock();
      else {
        const { failing } = this;
        this.lastServedAt = Math.max(this.lastServedAt, sentAt);
        if (failing && !this.failing) this.restartWatch();
        this.recordRevision(sentAt, answer);
      }
      return answer;
    } catch (error) {
      // One answer that is slow or lost says nothing while others that were asked for later have come.
      if (this.lastServedAt <= sentAt) this.lastFailureAt = this.clock();
      throw error;
    }
  }
}
