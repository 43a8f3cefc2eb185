/** Keeps an in-memory replica of the keys in the state service up to date by means of a watch. */
import { Readable, Writable } from 'node:stream';
import { pipeline } from 'node:stream/promises';

import { sleep } from '../base/clock.js';
import { type OutcomeRecord, parseOutcome } from '../wire/job-records.js';
import { outcomeKey, outcomePrefix, type StoredValue } from '../wire/keys.js';
import type { Change, Item } from '../wire/state.js';
import type { ChangeBatch } from './change-watch.js';
import type { StoreClient } from './client.js';
import { StoredEntries, type StoredEntry } from './stored-entries.js';

/** Called with a list of changes after all of these changes have been applied to the replica. */
export type ChangeListener = (changes: Change[]) => void;

/**
 * Prefixes of the keys that the replica reads at the start. Job outcomes are read on demand instead, because
 * the store contains an outcome for every job that ever ended.
 */
const listedPrefixes = ['lead', 'alive/', 'formats/', 'block/', 'machines/', 'ladder/', 'job/', 'run/'];
const maxCachedOutcomes = 20_000;

/**
 * A replica of the store's keys. The replica lags a little behind the store, so no reply to a user relies on
 * the replica alone. The version of a key is the store revision of the key's latest change.
 */
export class StoreReplica {
  private entries = new StoredEntries();
  /** The most recently recorded outcomes of jobs, by key, in the order of recording. */
  private readonly outcomes = new Map<string, StoredValue>();
  private appliedRevision = 0;
  private firstLoadedRevision: number | undefined;
  private readonly listeners = new Set<ChangeListener>();

  /**
   * @param client reads and watches the keys
   * @param watchGapMs the pause between two watch requests in ms
   * @param retryMs the pause after a failed watch request in ms
   */
  constructor(
    private readonly client: Pick<StoreClient, 'list' | 'watch'>,
    private readonly watchGapMs: number,
    private readonly retryMs = watchGapMs,
  ) {}

  /** True after all keys with the listed prefixes have been read for the first time. */
  get ready(): boolean {
    return this.firstLoadedRevision !== undefined;
  }

  /**
   * The store revision at which this process first read the keys: every change up to this revision was
   * committed before that. Undefined until all keys have been read for the first time.
   */
  get initialRevision(): number | undefined {
    return this.firstLoadedRevision;
  }

  /** The replica contains all changes up to this revision. */
  get revision(): number {
    return this.appliedRevision;
  }

  /** The number of keys in the replica, not counting outcomes. */
  get size(): number {
    return this.entries.size;
  }

  /** Returns the value and version of a key. Outcomes are available only if they were recorded recently. */
  get(key: string): StoredValue | undefined {
    return isOutcomeKey(key) ? this.outcomes.get(key) : this.entries.get(key);
  }

  /** Returns the outcome of a job; undefined if the outcome is not among the recently recorded outcomes. */
  outcomeOf(jobId: string): OutcomeRecord | undefined {
    return parseOutcome(this.get(outcomeKey(jobId))?.value);
  }

  /** Returns the version of a key, for use in commit conditions; 0 if the key is not in the replica. */
  version(key: string): number {
    return this.get(key)?.version ?? 0;
  }

  /**
   * Returns all entries whose keys begin with a prefix, except outcomes. The prefix must contain the complete
   * first segment of the keys, up to the `/`.
   */
  entriesWithPrefix(prefix: string): Iterable<StoredEntry> {
    return this.entries.withPrefix(prefix);
  }

  /**
   * Records an outcome that was not received through the watch. Outcomes never change. Listeners are notified
   * immediately, because the watch delivers nothing during an outage, and the outcome may be reported to a
   * user in the meantime.
   */
  recordOutcome(key: string, { value, version }: StoredValue): void {
    this.recordOutcomes([{ key, value, version }]);
  }

  /**
   * Records several outcomes, like `recordOutcome`. Listeners are notified only of outcomes that were not
   * recorded before.
   */
  recordOutcomes(items: Item[]): void {
    const unrecorded = items.filter(({ key }) => !this.outcomes.has(key));
    for (const item of items) this.completeOutcome(item);
    for (const { key, value, version } of unrecorded) this.cacheOutcome(key, { value, version });
    this.notify(unrecorded.map((item) => ({ ...item, deleted: false })));
  }

  /**
   * Records an entry that this controller has just committed, before the watch delivers the entry. If the
   * replica has already reached the revision of the commit, the entry is ignored, because the watch has
   * delivered the entry and possibly also the deletion of its key.
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
   * Reads all keys with the listed prefixes, then applies the changes that the watch delivers. Returns if the
   * service no longer has the changes after the revision of the replica. The caller must then call this
   * method again.
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
   * Keeps entries that this controller committed after the keys with the prefix were listed. These entries
   * are missing from the list although they were not deleted. If one of their keys has been deleted since,
   * the watch will deliver the deletion, because the watch continues from the revision of the lists.
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
        // The next watch request starts from the same revision, so no change is missed. Reading all keys
        // again would add load to a slow service, and would take longer than the service keeps answering
        // requests.
        await sleep(this.retryMs, signal);
        continue;
      }
      if (!batch) return;
      yield batch;
      // If keys change constantly, every watch request returns immediately. The pause prevents the watch from
      // using up this controller's share of the request limit.
      await sleep(this.watchGapMs, signal);
    }
  }

  private apply(changes: Change[], revision: number): void {
    // If an entry was recorded before the watch delivers it, the listeners have already been notified.
    const newer = changes.filter((change) => change.version > this.version(change.key));
    for (const change of changes) if (!change.deleted) this.completeOutcome(change);
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

  /**
   * Replaces an outcome that was recorded without its time, because a peer listed it, by the stored record.
   * The outcome itself is the same, so listeners are not notified.
   */
  private completeOutcome({ key, value, version }: Item): void {
    const recorded = this.outcomes.get(key);
    if (!recorded || hasEndTime(recorded.value) || !hasEndTime(value)) return;
    this.outcomes.set(key, { value, version });
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

function hasEndTime(outcome: unknown): boolean {
  return parseOutcome(outcome)?.endedAt !== undefined;
}

function isOutcomeKey(key: string): boolean {
  return key.startsWith(outcomePrefix);
}
