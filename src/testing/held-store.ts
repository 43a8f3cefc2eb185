/** An in-memory state service whose answers the test holds back and releases one by one. */
import { nextTurn } from '../base/turns.js';
import { StoreConnectionError } from '../store/errors.js';
import type { CommitOutcome } from '../store/transactions.js';
import { sizeOf } from '../wire/codec.js';
import { type Outcome, outcomeRecord } from '../wire/job-records.js';
import { type StoredValue, outcomeKey, jobKey } from '../wire/keys.js';
import { type Condition, type Item, type ListPage, type Write, writtenKey } from '../wire/state.js';

/**
 * Executes every request the moment it is sent. Where `holdsAnswers` is set, its answer stays on the way until `release`
 * is called, which is how an answer that was true when it was given becomes old.
 */
export class HeldStore {
  holdsAnswers = false;
  /** Lists get no answer. */
  failsLists = false;
  /** Requests executed so far: transactions with writes, those that only compare, and pages of lists. */
  readonly executed = { writing: 0, comparing: 0, listing: 0 };
  /** The most changes that one transaction asked for, and the largest value in bytes. */
  largestWrites = 0;
  largestValue = 0;
  /** Called after every transaction that wrote; `checked` settles with the last of these calls. */
  onWrite: () => Promise<void> = () => Promise.resolve();
  checked: Promise<void> = Promise.resolve();
  private readonly keys = new Map<string, StoredValue>();
  private readonly heldAnswers: (() => void)[] = [];
  private revision = 0;

  /** Answers that are on their way. */
  get held(): number {
    return this.heldAnswers.length;
  }

  commit(_lane: string, conditions: Condition[], writes: Write[]): Promise<CommitOutcome> {
    return this.answer(this.execute(conditions, writes));
  }

  read(key: string): Promise<Item | undefined> {
    const stored = this.keys.get(key);
    return this.answer(stored && { key, ...stored });
  }

  /** Delivers the oldest answer that is held, and lets its receiver go on as far as it can. */
  async release(): Promise<void> {
    this.heldAnswers.shift()?.();
    await settled();
  }

  listPage(prefix: string, after: string, most: number): Promise<ListPage> {
    this.executed.listing++;
    if (this.failsLists)
      return Promise.reject(new StoreConnectionError('list', new Error('no answer in time')));
    const found = [...this.keys]
      .filter(([key]) => key.startsWith(prefix) && key > after)
      .sort(([a], [b]) => (a < b ? -1 : 1));
    const items = found.slice(0, most).map(([key, stored]) => ({ key, ...stored }));
    return this.answer({ items, hasMore: found.length > most, revision: this.revision });
  }

  /** The job ends by the hand of nobody whom the test plays. */
  endAsDone(id: string): Promise<CommitOutcome> {
    return this.end(id, 'done');
  }

  endAsCancelled(id: string): Promise<CommitOutcome> {
    return this.end(id, 'cancelled');
  }

  forgetSizes(): void {
    this.largestWrites = 0;
    this.largestValue = 0;
  }

  value(key: string): unknown {
    return this.keys.get(key)?.value;
  }

  has(key: string): boolean {
    return this.keys.has(key);
  }

  private end(id: string, end: Outcome): Promise<CommitOutcome> {
    const put = { put: outcomeKey(id), value: outcomeRecord({ outcome: end, tasks: 1, endedAt: 0 }) };
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
    if (writes.length > 0) this.checked = this.onWrite();
    return { kind: 'applied', revision };
  }

  private apply(write: Write): void {
    if ('drop' in write) this.keys.delete(writtenKey(write));
    else {
      this.largestValue = Math.max(this.largestValue, sizeOf(write.value));
      this.keys.set(write.put, { value: write.value, version: this.revision });
    }
  }

  private version(key: string): number {
    return this.keys.get(key)?.version ?? 0;
  }
}

/** Everything that can go on without a new answer has gone on. */
export async function settled(): Promise<void> {
  const turns = 5;
  for (let turn = 0; turn < turns; turn++) await nextTurn();
}
