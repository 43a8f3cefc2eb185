/**
 * The controller's client of the state service: sends reads, watch requests, transactions and lease requests
 * within the controller's share of the service's rate limits.
 */
import type { Clock } from '../base/clock.js';
import type { OnRefusal } from '../base/refusals.js';
import { replyLimits } from '../base/reply-limits.js';
import type { Settings } from '../settings/settings.js';
import { decodeStored } from '../wire/codec.js';
import {
  type Condition,
  type Item,
  keyPath,
  type ListPage,
  listPath,
  parseList,
  parseRead,
  type Write,
} from '../wire/state.js';
import { type ChangeBatch, ChangeWatch } from './change-watch.js';
import { StoreStatusError } from './errors.js';
import { Leases } from './leases.js';
import { type ControllerRole, RequestPacing, type TrafficClass } from './request-pacing.js';
import { StoreConnection } from './store-connection.js';
import { StoreContact } from './store-contact.js';
import { type ChangeCounts, type CommitOutcome, Transactions } from './transactions.js';

const requestSockets = 6;
/** Only one renewal is in flight at a time, unless answers take longer than the interval between renewals. */
const renewalSockets = 4;
const itemsPerPage = 500;

/** The settings and inputs of the client. */
export interface StoreClientPorts {
  /** Contains the address and the limits of the service. */
  settings: Settings;
  /** Monotonic time in ms. */
  clock: Clock;
  /** Aborts all pending requests and pauses. */
  signal: AbortSignal;
  /** Receives each reply that is malformed or too large. Such a reply counts as no answer. */
  onRefusal?: OnRefusal;
}

/**
 * A controller's client of the state service. Unless stated otherwise, the methods that send a request reject
 * with a `StoreError` if the result of the request is not known. Times are monotonic times in ms.
 */
export class StoreClient {
  private readonly contact: StoreContact;
  private readonly pacing: RequestPacing;
  private readonly connection: StoreConnection;
  private readonly changeWatch: ChangeWatch;
  private readonly transactions: Transactions;
  private readonly leases: Leases;

  constructor({ settings, clock, signal, onRefusal }: StoreClientPorts) {
    const address = settings.stateAddress;
    // Until the service has served the first request, the latest contact is assumed to be one cancellation
    // deadline ago, so that no check of the contact age treats the contact as recent.
    this.contact = new StoreContact(clock, clock() - settings.cancelDeadlineMs, () => this.restartWatch());
    this.pacing = new RequestPacing(settings, clock);
    const { contact, pacing } = this;
    const reading = { limits: replyLimits(), decode: decodeStored, source: 'store' as const, onRefusal };
    const ports = { address, clock, signal, pacing, contact, reading };
    this.connection = new StoreConnection(ports, requestSockets);
    this.changeWatch = new ChangeWatch({ address, clock, signal, contact, reading });
    this.transactions = new Transactions({ signal, connection: this.connection, pacing });
    this.leases = new Leases(this.connection, new StoreConnection(ports, renewalSockets));
  }

  /** Adapts this controller's share of the limits to its current role. */
  setRole(role: ControllerRole): void {
    this.pacing.setRole(role);
  }

  /**
   * The pause between two watch requests in ms. With this pause, the watch requests of all controllers
   * together stay within the part of the request limit that is reserved for them.
   */
  get watchGapMs(): number {
    return this.pacing.watchGapMs;
  }

  /**
   * Returns how many milliseconds the pacing would delay a commit of this class.
   *
   * @param trafficClass the class of the commit
   * @param writesAhead number of writes that are sent before the commit; ignored for `duty`
   */
  writeWaitMs(trafficClass: TrafficClass, writesAhead = 0): number {
    return this.pacing.writeWaitMs(trafficClass, writesAhead);
  }

  /**
   * Returns the time before which every committed change is contained in a replica that has reached this
   * revision.
   */
  knownUntil(revision: number): number {
    return this.contact.knownUntil(revision);
  }

  /** The time at which the latest request was sent whose answer contained a revision of the store. */
  get lastRevisionSeenAt(): number {
    return this.contact.lastRevisionSeenAt;
  }

  /**
   * The time at which the latest request was sent that the service served. This time does not show how recent
   * the replica is.
   */
  get lastContactAt(): number {
    return this.contact.lastContactAt;
  }

  /** Returns the time in ms from the sending of the latest served request until `now`. */
  contactAgeMs(now: number): number {
    return now - this.contact.lastContactAt;
  }

  /**
   * True after the service refused a request with 503 or a request got no answer, until the service serves a
   * later request.
   */
  get failing(): boolean {
    return this.contact.failing;
  }

  /** Reads a key with its value and version; undefined if the key does not exist. */
  async read(key: string, trafficClass: TrafficClass = 'duty'): Promise<Item | undefined> {
    const answer = await this.connection.sendPaced(trafficClass, {
      operation: 'read',
      method: 'GET',
      path: keyPath(key),
    });
    if (answer.status === 404) return undefined;
    if (answer.status !== 200) throw new StoreStatusError('read', answer.status);
    return parseRead(answer.body);
  }

  /**
   * Reads all items with a key prefix, page by page. Returns the items with the revision of the first page.
   * Changes after this revision may be missing, because later pages are read at later revisions.
   */
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

  /** Reads one page of the items with a key prefix in key order, starting after the key `after`. */
  async listPage(
    prefix: string,
    after: string,
    maxItems: number,
    trafficClass: TrafficClass = 'duty',
  ): Promise<ListPage> {
    const answer = await this.connection.sendPaced(trafficClass, {
      operation: 'list',
      method: 'GET',
      path: listPath(prefix, after, maxItems),
    });
    if (answer.status !== 200) throw new StoreStatusError('list', answer.status);
    return parseList(answer.body);
  }

  /**
   * Waits for changes after a revision. Returns undefined if the service no longer has these changes, so that
   * all keys must be read again.
   */
  watch(sinceRevision: number): Promise<ChangeBatch | undefined> {
    return this.changeWatch.next(sinceRevision);
  }

  /**
   * Aborts the open watch request, because a network partition may have dropped it. As a result, the pending
   * call of `watch` rejects.
   */
  restartWatch(): void {
    this.changeWatch.restart();
  }

  /**
   * Executes the writes in one transaction if all conditions hold. The transaction is sent when the pacing
   * admits it. Never rejects.
   */
  commit(trafficClass: TrafficClass, conditions: Condition[], writes: Write[]): Promise<CommitOutcome> {
    return this.transactions.commit(trafficClass, conditions, writes);
  }

  /** Returns the counts of this controller's writes since the previous call, and resets the counts. */
  takeChangeCounts(): ChangeCounts {
    return this.transactions.takeCounts();
  }

  /** Creates a lease that expires unless it is renewed within `ttlMs`, and returns its id. */
  createLease(ttlMs: number): Promise<number> {
    return this.leases.createLease(ttlMs);
  }

  /**
   * Renews a lease for its full time to live. Returns false if the lease has expired or was revoked. Not
   * delayed by pacing.
   */
  renewLease(leaseId: number): Promise<boolean> {
    return this.leases.renewLease(leaseId);
  }

  /**
   * Revokes a lease. The service then immediately deletes the keys that were written under the lease. Not
   * delayed by pacing.
   */
  revokeLease(leaseId: number): Promise<void> {
    return this.leases.revokeLease(leaseId);
  }
}
