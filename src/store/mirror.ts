/** A copy of the state service's keys in memory, kept up to date by a watch. */
import { Readable, Writable } from 'node:stream';
import { pipeline } from 'node:stream/promises';

import { sleep } from '../base/clock.js';
import { type OutcomeRecord, parseOutcome } from '../wire/job-records.js';
import { outcomeKey, outcomePrefix, type StoredValue } from '../wire/keys.js';
import type { Change, Item } from '../wire/state.js';
import type { ChangeBatch } from './change-watch.js';
import type { StoreClient } from './client.js';
import { StoredEntries, type StoredEntry } from './stored-entries.js';

/** Called with changes of the copy, each time after all of them have been applied. */
export type ChangeListener = (changes: Change[]) => void;

/** Listed at the start. Outcomes are not: there is one for every job that ever was, so they are read on demand. */
const listedPrefixes = ['lead', 'alive/', 'formats/', 'block/', 'machines/', 'ladder/', 'job/', 'run/'];
const maxCachedOutcomes = 20_000;

/** A copy of the store's keys that lags a little behind it. Nothing that a user is told rests on it alone. */
export class Mirror {
  private entries = new StoredEntries();
  /** The latest outcomes of jobs, the oldest first. */
  private readonly outcomes = new Map<string, StoredValue>();
  private appliedRevision = 0;
  private firstLoadedRevision: number | undefined;
  private readonly listeners = new Set<ChangeListener>();

  /**
   * @param client reads and watches the keys
   * @param watchGapMs the pause between two watches
   * @param retryMs the pause after a watch that failed
   */
  constructor(
    private readonly client: Pick<StoreClient, 'list' | 'watch'>,
    private readonly watchGapMs: number,
    private readonly retryMs = watchGapMs,
  ) {}

  /** True once all keys have been read. */
  get ready(): boolean {
    return this.firstLoadedRevision !== undefined;
  }

  /** Everything committed up to this revision was in the store before this process first read it. */
  get initialRevision(): number | undefined {
    return this.firstLoadedRevision;
  }

  /** All changes up to this revision are in the copy. */
  get revision(): number {
    return this.appliedRevision;
  }

  /** Keys in the copy, outcomes not counted. */
  get size(): number {
    return this.entries.size;
  }

  /** The value and version under a key; of outcomes, only those recorded lately. */
  get(key: string): StoredValue | undefined {
    return isOutcomeKey(key) ? this.outcomes.get(key) : this.entries.get(key);
  }

  /** The outcome of a job, where this copy knows it. */
  outcomeOf(jobId: string): OutcomeRecord | undefined {
    return parseOutcome(this.get(outcomeKey(jobId))?.value);
  }

  /** The version of a key for conditions; 0 where the key does not exist. */
  version(key: string): number {
    return this.get(key)?.version ?? 0;
  }

  /** All keys, outcomes excepted, that begin with a prefix. It has to hold the keys' first part up to the `/` whole. */
  entriesWithPrefix(prefix: string): Iterable<StoredEntry> {
    return this.entries.withPrefix(prefix);
  }

  /**
   * Records an outcome that was learned other than by the watch; outcomes never change. Listeners are notified at once:
   * the watch may not come again for as long as an outage lasts, and a user may have been told by then.
   */
  recordOutcome(key: string, { value, version }: StoredValue): void {
    this.recordOutcomes([{ key, value, version }]);
  }

  /** Records several outcomes, as `recordOutcome` does; listeners are notified of those that were unknown. */
  recordOutcomes(items: Item[]): void {
    const unknown = items.filter(({ key }) => !this.outcomes.has(key));
    for (const { key, value, version } of unknown) this.cacheOutcome(key, { value, version });
    this.notify(unknown.map((item) => ({ ...item, deleted: false })));
  }

  /**
   * Records what this controller has just committed, ahead of the watch. It is left out where the copy has reached that
   * revision: the watch was quicker, and may have brought the key's deletion, too.
   */
  recordCommitted(key: string, entry: StoredValue): void {
    if (this.ready && entry.version > this.appliedRevision)
      this.apply([{ key, ...entry, deleted: false }], this.appliedRevision);
  }

  /** Calls the listener with all changes from now on, until the returned function is called. */
  listen(listener: ChangeListener): () => void {
    this.listeners.add(listener);
    return () => void this.listeners.delete(listener);
  }

  /**
   * Reads everything once, then follows the changes. Returns when the service no longer has the changes that come next,
   * and is to be called again then.
   *
   * @throws {StoreError} when the keys cannot be read; a watch that fails is repeated instead
   */
  async follow(signal: AbortSignal): Promise<void> {
    await this.load();
    const changes = Readable.from(this.watchChanges(signal), { objectMode: true, highWaterMark: 1 });
    const apply = new Writable({
      objectMode: true,
      highWaterMark: 1,
      write: (batch: ChangeBatch, _encoding, done) => {
        this.apply(batch.changes, batch.revision);
        done();
      },
    });
    await pipeline(changes, apply, { signal });
  }

  private async load(): Promise<void> {
    const listed = new StoredEntries();
    const revisions = new Map<string, number>();
    for (const prefix of listedPrefixes) {
      const { items, revision } = await this.client.list(prefix);
      revisions.set(prefix, revision);
      for (const { key, value, version } of items) listed.set(key, { value, version });
    }
    for (const [prefix, revision] of revisions) this.retainNewer(listed, prefix, revision);
    const before = this.entries;
    this.entries = listed;
    this.appliedRevision = Math.min(...revisions.values());
    this.firstLoadedRevision ??= this.appliedRevision;
    this.notify(listed.changesSince(before));
  }

  /**
   * What this controller committed after the keys were listed is missing from the list without being deleted: it stays.
   * Had it been deleted since, the watch, which goes on from the lists' revision, would say so.
   */
  private retainNewer(listed: StoredEntries, prefix: string, listedRevision: number): void {
    for (const [key, entry] of this.entries.withPrefix(prefix)) {
      const listedVersion = listed.get(key)?.version ?? 0;
      if (entry.version > Math.max(listedRevision, listedVersion)) listed.set(key, entry);
    }
  }

  private async *watchChanges(signal: AbortSignal): AsyncGenerator<ChangeBatch> {
    while (!signal.aborted) {
      let batch: ChangeBatch | undefined;
      try {
        batch = await this.client.watch(this.appliedRevision);
      } catch {
        // Whatever was missed can still be asked for. Reading all keys anew is the last thing that a slow service needs,
        // and takes longer than it gives an answer.
        await sleep(this.retryMs, signal);
        continue;
      }
      if (!batch) return;
      yield batch;
      // Under constant change every watch returns at once: the gap keeps it from eating our share of requests.
      await sleep(this.watchGapMs, signal);
    }
  }

  private apply(changes: Change[], revision: number): void {
    // An outcome may be known before the watch brings it; the listeners have been notified then.
    const newer = changes.filter((change) => change.version > this.version(change.key));
    for (const change of newer) this.applyChange(change);
    this.appliedRevision = Math.max(this.appliedRevision, revision);
    this.notify(newer);
  }

  private applyChange({ key, value, version, deleted }: Change): void {
    if (isOutcomeKey(key)) {
      if (!deleted) this.cacheOutcome(key, { value, version });
    } else if (deleted) this.entries.delete(key);
    else this.entries.set(key, { value, version });
  }

  private cacheOutcome(key: string, entry: StoredValue): void {
    this.outcomes.set(key, entry);
    if (this.outcomes.size <= maxCachedOutcomes) return;
    const oldest = this.outcomes.keys().next();
    if (!oldest.done) this.outcomes.delete(oldest.value);
  }

  private notify(changes: Change[]): void {
    if (changes.length === 0) return;
    for (const listener of this.listeners) listener(changes);
  }
}

function isOutcomeKey(key: string): boolean {
  return key.startsWith(outcomePrefix);
}
