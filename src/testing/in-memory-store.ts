/**
 * Test double of the state service that keeps all data in memory. A test can hold its answers and release
 * them one by one.
 */
import { nextEventLoopIteration } from '../base/event-loop.js';
import { StoreConnectionError } from '../store/errors.js';
import type { CommitOutcome } from '../store/transactions.js';
import { jsonSizeBytes } from '../wire/codec.js';
import { type Outcome, outcomeRecord } from '../wire/job-records.js';
import { type StoredValue, outcomeKey, jobKey } from '../wire/keys.js';
import { type Condition, type Item, type ListPage, type Write, writtenKey } from '../wire/state.js';

/**
 * Executes every request as soon as it is sent. While `holdsAnswers` is set, each answer is held until the
 * test releases it. A held answer was correct when the request was executed, but later requests can make it
 * stale.
 */
export class InMemoryStore {
  holdsAnswers = false;
  /** If true, requests for pages of lists fail as if no answer had arrived in time. */
  failsLists = false;
  /**
   * Numbers of executed requests: transactions with writes, transactions without writes, and pages of lists.
   */
  readonly executed = { writing: 0, comparing: 0, listing: 0 };
  /** Largest number of writes in one transaction. */
  largestWrites = 0;
  /** Size of the largest stored value in bytes. */
  largestValue = 0;
  /** Called after every applied transaction with writes. */
  onWrite: () => Promise<void> = () => Promise.resolve();
  /** The promise that the latest call of `onWrite` returned. */
  lastOnWriteResult: Promise<void> = Promise.resolve();
  private readonly keys = new Map<string, StoredValue>();
  private readonly heldAnswers: (() => void)[] = [];
  private revision = 0;

  /** Number of answers that are held. */
  get heldAnswerCount(): number {
    return this.heldAnswers.length;
  }

  commit(_lane: string, conditions: Condition[], writes: Write[]): Promise<CommitOutcome> {
    return this.answer(this.execute(conditions, writes));
  }

  read(key: string): Promise<Item | undefined> {
    const stored = this.keys.get(key);
    return this.answer(stored && { key, ...stored });
  }

  /** Delivers the oldest held answer and waits until its receiver has processed it. */
  async releaseOldestAnswer(): Promise<void> {
    this.heldAnswers.shift()?.();
    await runPendingCallbacks();
  }

  listPage(prefix: string, after: string, limit: number): Promise<ListPage> {
    this.executed.listing++;
    if (this.failsLists)
      return Promise.reject(new StoreConnectionError('list', new Error('no answer in time')));
    const matches = [...this.keys]
      .filter(([key]) => key.startsWith(prefix) && key > after)
      .sort(([a], [b]) => (a < b ? -1 : 1));
    const items = matches.slice(0, limit).map(([key, stored]) => ({ key, ...stored }));
    return this.answer({ items, hasMore: matches.length > limit, revision: this.revision });
  }

  /** Stores the outcome `done` of a job, as another controller would. */
  endAsDone(id: string): Promise<CommitOutcome> {
    return this.writeOutcome(id, 'done');
  }

  /** Stores the outcome `cancelled` of a job, as another controller would. */
  endAsCancelled(id: string): Promise<CommitOutcome> {
    return this.writeOutcome(id, 'cancelled');
  }

  /** Resets `largestWrites` and `largestValue`. */
  resetLargestSizes(): void {
    this.largestWrites = 0;
    this.largestValue = 0;
  }

  value(key: string): unknown {
    return this.keys.get(key)?.value;
  }

  has(key: string): boolean {
    return this.keys.has(key);
  }

  private writeOutcome(id: string, outcome: Outcome): Promise<CommitOutcome> {
    const put = { put: outcomeKey(id), value: outcomeRecord({ outcome: outcome, tasks: 1, endedAt: 0 }) };
    return Promise.resolve(this.execute([], [put, { drop: jobKey(id) }]));
  }

  private answer<T>(value: T): Promise<T> {
    if (!this.holdsAnswers) return Promise.resolve(value);
    return new Promise((resolve) => this.heldAnswers.push(() => resolve(value)));
  }

  private execute(conditions: Condition[], writes: Write[]): CommitOutcome {
    this.largestWrites = Math.max(this.largestWrites, writes.length);
    this.executed[writes.length > 0 ? 'writing' : 'comparing']++;
    const failed = conditions.filter(({ key, version }) => this.version(key) !== version);
    if (failed.length > 0) {
      return { kind: 'conflict', failed: failed.map(({ key }) => key), revision: this.revision };
    }
    if (writes.length > 0) this.revision++;
    for (const write of writes) this.apply(write);
    const { revision } = this;
    if (writes.length > 0) this.lastOnWriteResult = this.onWrite();
    return { kind: 'applied', revision };
  }

  private apply(write: Write): void {
    if ('drop' in write) this.keys.delete(writtenKey(write));
    else {
      this.largestValue = Math.max(this.largestValue, jsonSizeBytes(write.value));
      this.keys.set(write.put, { value: write.value, version: this.revision });
    }
  }

  private version(key: string): number {
    return this.keys.get(key)?.version ?? 0;
  }
}

/**
 * Waits for a few iterations of the event loop, so that all pending work is completed, except work that waits
 * for a further answer.
 */
export async function runPendingCallbacks(): Promise<void> {
  const turns = 5;
  for (let turn = 0; turn < turns; turn++) await nextEventLoopIteration();
}
