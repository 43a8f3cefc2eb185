/** Keeps an in-memory replica of the state service's keys up to date by a watch. */
import { Readable, Writable } from 'node:stream';
import { pipeline } from 'node:stream/promises';

import { sleep } from '../base/clock.js';
import { type OutcomeRecord, parseOutcome } from '../wire/job-records.js';
import { outcomeKey, outcomePrefix, type StoredValue } from '../wire/keys.js';
import type { Change, Item } from '../wire/state.js';
import type { ChangeBatch } from './change-watch.js';
import type { StoreClient } from './client.js';
import { StoredEntries, type StoredEntry } from './stored-entries.js';

/** Called with a list of changes after all of them have been applied to the replica. */
export type ChangeListener = (changes: Change[]) => void;

/**
 * Key prefixes that are listed at the start. Outcomes are not listed but read on demand, since there is one
 * outcome for every job that ever ended.
 */
const listedPrefixes = ['lead', 'alive/', 'formats/', 'block/', 'machines/', 'ladder/', 'job/', 'run/'];
const maxCachedOutcomes = 20_000;

/**
 * A replica of the store's keys, which lags a little behind the store. No answer to a user relies on it
 * alone.
 */
export class StoreReplica {
  private entries = new StoredEntries();
  /** The most recently recorded outcomes of jobs, in the order in which they were recorded. */
  private readonly outcomes = new Map<string, StoredValue>();
  private appliedRevision = 0;
  private firstLoadedRevision: number | undefined;
  private readonly listeners = new Set<ChangeListener>();

  /**
   * @param client reads and watches the keys
   * @param watchGapMs the pause between two watch requests
   * @param retryMs the pause after a failed watch request
   */
  constructor(
    private readonly client: Pick<StoreClient, 'list' | 'watch'>,
    private readonly watchGapMs: number,
    private readonly retryMs = watchGapMs,
  ) {}

  /** True after all listed keys have been read for the first time. */
  get ready(): boolean {
    return this.firstLoadedRevision !== undefined;
  }

  /**
   * Every change committed up to this revision was in the store before this process first read the keys;
   * undefined until then.
   */
  get initialRevision(): number | undefined {
    return this.firstLoadedRevision;
  }

  /** The replica contains all changes up to this revision. */
  get revision(): number {
    return this.appliedRevision;
  }

  /** The number of keys in the replica, without outcomes. */
  get size(): number {
    return this.entries.size;
  }

  /** The value and version under a key. Of the outcomes, only recently recorded ones are available. */
  get(key: string): StoredValue | undefined {
    return isOutcomeKey(key) ? this.outcomes.get(key) : this.entries.get(key);
  }

  /** The outcome of a job; undefined if it is not among the recently recorded ones. */
  outcomeOf(jobId: string): OutcomeRecord | undefined {
    return parseOutcome(this.get(outcomeKey(jobId))?.value);
  }

  /** The version of a key, for use in conditions; 0 if the key does not exist. */
  version(key: string): number {
    return this.get(key)?.version ?? 0;
  }

  /**
   * All keys that begin with a prefix, except outcomes. The prefix must contain the complete first segment of
   * the keys, up to the `/`.
   */
  entriesWithPrefix(prefix: string): Iterable<StoredEntry> {
    return this.entries.withPrefix(prefix);
  }

  /**
   * Records an outcome that was received by other means than the watch. Outcomes never change. Listeners are
   * notified at once: during an outage the watch delivers nothing, and a user may receive the outcome in the
   * meantime.
   */
  recordOutcome(key: string, { value, version }: StoredValue): void {
    this.recordOutcomes([{ key, value, version }]);
  }

  /**
   * Records several outcomes, like `recordOutcome`. Listeners are notified of those that were not recorded
   * before.
   */
  recordOutcomes(items: Item[]): void {
    const unrecorded = items.filter(({ key }) => !this.outcomes.has(key));
    for (const { key, value, version } of unrecorded) this.cacheOutcome(key, { value, version });
    this.notify(unrecorded.map((item) => ({ ...item, deleted: false })));
  }

  /**
   * Records an entry that this controller has just committed, before the watch delivers it. The entry is
   * ignored if the replica has already reached its revision: then the watch has delivered the entry, and
   * possibly also the deletion of its key.
   */
  recordCommitted(key: string, entry: StoredValue): void {
    if (this.ready && entry.version > this.appliedRevision)
      this.apply([{ key, ...entry, deleted: false }], this.appliedRevision);
  }

  /** Calls the listener with all further changes, until the returned function is called. */
  listen(listener: ChangeListener): () => void {
    this.listeners.add(listener);
    return () => void this.listeners.delete(listener);
  }

  /**
   * Reads all listed keys once, then applies changes from the watch. Returns when the service no longer has
   * the changes that follow the revision of the replica; the caller must then call it again.
   *
   * @throws {StoreError} when the keys cannot be read; a failed watch request is retried instead
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
    const previousEntries = this.entries;
    this.entries = listed;
    this.appliedRevision = Math.min(...revisions.values());
    this.firstLoadedRevision ??= this.appliedRevision;
    this.notify(listed.changesSince(previousEntries));
  }

  /**
   * Keeps entries that this controller committed after the keys were listed. They are missing from the list
   * although they were not deleted. If such a key has been deleted since, the watch will deliver the
   * deletion, because it continues from the revision of the lists.
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
        // The missed changes can still be requested from the same revision. Reading all keys again would add
        // load to a slow service, and takes longer than such a service keeps answering.
        await sleep(this.retryMs, signal);
        continue;
      }
      if (!batch) return;
      yield batch;
      // While keys change constantly, every watch request returns at once. The pause prevents the watch from
      // using up this controller's share of the requests.
      await sleep(this.watchGapMs, signal);
    }
  }

  private apply(changes: Change[], revision: number): void {
    // An outcome may have been recorded before the watch delivers it. The listeners have then already been
    // notified of it.
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
