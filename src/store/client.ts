/** The state service as a controller uses it: reads, a watch, transactions and leases within the controller's share. */
import type { Clock } from '../base/clock.js';
import type { Settings } from '../settings/settings.js';
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
/** One is open unless answers take longer than the pause between renewals. */
const renewalSockets = 4;
const itemsPerPage = 500;

/**
 * One controller's client of the state service. Its methods reject with a `StoreError` where the result is not known,
 * unless they say otherwise. Times are readings of the clock, in milliseconds.
 */
export class StoreClient {
  private readonly contact: StoreContact;
  private readonly pacing: RequestPacing;
  private readonly connection: StoreConnection;
  private readonly changeWatch: ChangeWatch;
  private readonly transactions: Transactions;
  private readonly leases: Leases;

  /**
   * @param settings the address and limits of the service
   * @param clock reads the time
   * @param signal ends all that is under way
   */
  constructor(settings: Settings, clock: Clock, signal: AbortSignal) {
    const address = settings.stateAddress;
    // Begins as out of contact for as long as any cancellation takes: nothing rests on contact before the first answer.
    this.contact = new StoreContact(clock, clock() - settings.cancelDeadlineMs, () => this.restartWatch());
    this.pacing = new RequestPacing(settings, clock);
    const { contact, pacing } = this;
    const ports = { address, clock, signal, pacing, contact };
    this.connection = new StoreConnection(ports, requestSockets);
    this.changeWatch = new ChangeWatch({ address, clock, signal, contact });
    this.transactions = new Transactions({ signal, connection: this.connection, pacing });
    this.leases = new Leases(this.connection, new StoreConnection(ports, renewalSockets));
  }

  /** Adapts this controller's share of the limits to what it does now. */
  setRole(role: ControllerRole): void {
    this.pacing.setRole(role);
  }

  /** The pause between two watches, in milliseconds, that keeps the watches of all controllers within their share. */
  get watchGapMs(): number {
    return this.pacing.watchGapMs;
  }

  /** How many milliseconds a commit of this class would wait for its turn; `writesAhead` go out before it. */
  writeWaitMs(trafficClass: TrafficClass, writesAhead = 0): number {
    return this.pacing.writeWaitMs(trafficClass, writesAhead);
  }

  /** A copy that has reached this revision holds every change committed before the returned time. */
  knownUntil(revision: number): number {
    return this.contact.knownUntil(revision);
  }

  /** When the last request was sent whose answer named a revision of the store. */
  get lastRevisionSeenAt(): number {
    return this.contact.lastRevisionSeenAt;
  }

  /** When the last request that was served had been sent. It says nothing of what this controller knows. */
  get lastContactAt(): number {
    return this.contact.lastContactAt;
  }

  /** How many milliseconds ago the last request that was served had been sent. */
  contactAgeMs(now: number): number {
    return now - this.contact.lastContactAt;
  }

  /** True once the store has turned a request away or left it unanswered, until it serves one again. */
  get failing(): boolean {
    return this.contact.failing;
  }

  /** The item under a key, or undefined where the key does not exist. */
  async read(key: string, trafficClass: TrafficClass = 'duty'): Promise<Item | undefined> {
    const answer = await this.connection.sendInTurn(trafficClass, {
      operation: 'read',
      method: 'GET',
      path: keyPath(key),
    });
    if (answer.status === 404) return undefined;
    if (answer.status !== 200) throw new StoreStatusError('read', answer.status);
    return parseRead(answer.body);
  }

  /** All items with a key prefix, page by page, and the revision of the first page: later changes may be missing. */
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

  /** One page of the items with a key prefix, in the order of their keys, beginning after a key. */
  async listPage(
    prefix: string,
    after: string,
    maxItems: number,
    trafficClass: TrafficClass = 'duty',
  ): Promise<ListPage> {
    const answer = await this.connection.sendInTurn(trafficClass, {
      operation: 'list',
      method: 'GET',
      path: listPath(prefix, after, maxItems),
    });
    if (answer.status !== 200) throw new StoreStatusError('list', answer.status);
    return parseList(answer.body);
  }

  /** Waits for changes after a revision; undefined where the service no longer has them and the keys must be read again. */
  watch(sinceRevision: number): Promise<ChangeBatch | undefined> {
    return this.changeWatch.next(sinceRevision);
  }

  /** Gives the open watch up, since a network partition may have swallowed it; the call that waits for it rejects. */
  restartWatch(): void {
    this.changeWatch.restart();
  }

  /** Executes the writes together if all conditions hold, once they have their turn. Never rejects. */
  commit(trafficClass: TrafficClass, conditions: Condition[], writes: Write[]): Promise<CommitOutcome> {
    return this.transactions.commit(trafficClass, conditions, writes);
  }

  /** What the writes of this controller were spent on since this was last called. */
  takeChangeCounts(): ChangeCounts {
    return this.transactions.takeCounts();
  }

  /** Creates a lease that expires unless it is renewed within the time to live, and returns its id. */
  createLease(ttlMs: number): Promise<number> {
    return this.leases.createLease(ttlMs);
  }

  /** Renews a lease for its full time to live; false where it has expired or was revoked. Waits for no turn. */
  renewLease(leaseId: number): Promise<boolean> {
    return this.leases.renewLease(leaseId);
  }

  /** Ends a lease and deletes the keys written under it at once. Waits for no turn. */
  revokeLease(leaseId: number): Promise<void> {
    return this.leases.revokeLease(leaseId);
  }
}
