import { Readable, Writable } from 'node:stream';
import { pipeline } from 'node:stream/promises';
import { sleep } from '../base/clock.js';
import { type OutcomeRecord, parseOutcome } from '../wire/job-records.js';
import { type StoredValue, outcomeKey } from '../wire/keys.js';
import type { Change, Item } from '../wire/state.js';
import type { StoreClient } from './client.js';

export type ChangeListener = (changes: Change[]) => void;

/** What is listed at start. Ends are not: there is one for every job that ever was, so they are read on demand. */
const listedPrefixes = ['lead', 'alive/', 'formats/', 'block/', 'machines/', 'ladder/', 'job/', 'run/'];
const maxCachedOutcomes = 20_000;

/** A copy of the store's keys that lags a little behind it. Nothing a user is told rests on it alone. */
export class Mirror {
  /** By the first part of the key, so that a duty finds its own without walking all. */
  private entriesByRoot = new Map<string, Map<string, StoredValue>>();
  private outcomes = new Map<string, StoredValue>();
  private appliedRevision = 0;
  private firstLoadedRevision: number | undefined;
  private readonly listeners = new Set<ChangeListener>();

  constructor(
    private readonly client: Pick<StoreClient, 'list' | 'watch'>,
    private readonly gapMs: number,
    private readonly retryMs = gapMs,
  ) {}

  get ready(): boolean {
    return this.firstLoadedRevision !== undefined;
  }

  /** What was committed up to this revision was there before this life of ours read anything. */
  get initialRevision(): number | undefined {
    return this.firstLoadedRevision;
  }

  /** All changes up to this revision are in the copy. */
  get revision(): number {
    return this.appliedRevision;
  }

  /** Keys in the copy, ends not counted. */
  get size(): number {
    let size = 0;
    for (const entries of this.entriesByRoot.values()) size += entries.size;
    return size;
  }

  get(key: string): StoredValue | undefined {
    return key.startsWith('end/') ? this.outcomes.get(key) : this.entriesByRoot.get(rootOf(key))?.get(key);
  }

  /** The end of the job, where this copy knows it. */
  outcomeOf(id: string): OutcomeRecord | undefined {
    return parseOutcome(this.get(outcomeKey(id))?.value);
  }

  version(key: string): number {
    return this.get(key)?.version ?? 0;
  }

  *entriesWithPrefix(prefix: string): Iterable<[string, StoredValue]> {
    for (const pair of this.entriesByRoot.get(rootOf(prefix)) ?? [])
      if (pair[0].startsWith(prefix)) yield pair;
  }

  /**
   * What we learned of an end other than by the watch; ends never change, so it may be kept. The listeners hear of it at
   * once: the watch may not come again for as long as an outage lasts, and a user may have been told by then.
   */
  recordOutcome(key: string, { value, version }: StoredValue): void {
    this.recordOutcomes([{ key, value, version }]);
  }

  recordOutcomes(items: Item[]): void {
    const unknown = items.filter(({ key }) => !this.outcomes.has(key));
    for (const { key, value, version } of unknown) this.cacheOutcome(key, { value, version });
    this.notify(unknown.map((item) => ({ ...item, deleted: false })));
  }

  /**
   * What we have just committed ourselves: it need not wait for the watch to bring it. Where the watch was quicker, it
   * may have brought the end of it, too.
   */
  recordCommitted(key: string, entry: StoredValue): void {
    if (this.ready && entry.version > this.appliedRevision)
      this.apply([{ key, ...entry, deleted: false }], this.appliedRevision);
  }

  listen(listener: ChangeListener): () => void {
    this.listeners.add(listener);
    return () => void this.listeners.delete(listener);
  }

  /** Reads everything once, then follows the changes until something fails; run it again to recover. */
  async follow(signal: AbortSignal): Promise<void> {
    await this.load();
    const changes = Readable.from(this.watchChanges(signal), { objectMode: true, highWaterMark: 1 });
    const apply = new Writable({
      objectMode: true,
      highWaterMark: 1,
      write: (batch: { changes: Change[]; revision: number }, _encoding, done) => {
        this.apply(batch.changes, batch.revision);
        done();
      },
    });
    await pipeline(changes, apply, { signal });
  }

  private async load(): Promise<void> {
    const entries = new Map<string, Map<string, StoredValue>>();
    const listedAt = new Map<string, number>();
    for (const prefix of listedPrefixes) {
      const { items, revision } = await this.client.list(prefix);
      listedAt.set(prefix, revision);
      for (const { key, value, version } of items) putEntry(entries, key, { value, version });
    }
    for (const [prefix, revision] of listedAt) this.retainNewer(entries, prefix, revision);
    const since = Math.min(...listedAt.values());
    const before = this.entriesByRoot;
    this.entriesByRoot = entries;
    this.appliedRevision = since;
    this.firstLoadedRevision ??= since;
    this.notify(differences(flatten(before), flatten(entries)));
  }

  /**
   * What this controller committed after the keys were listed is missing from the list, and not deleted: it stays. Had it
   * been deleted since, the watch, which goes on from the lists' revision, would say so.
   */
  private retainNewer(listed: Map<string, Map<string, StoredValue>>, prefix: string, revision: number): void {
    for (const [key, entry] of this.entriesWithPrefix(prefix)) {
      const listedVersion = listed.get(rootOf(key))?.get(key)?.version ?? 0;
      if (entry.version > Math.max(revision, listedVersion)) putEntry(listed, key, entry);
    }
  }

  private async *watchChanges(signal: AbortSignal): AsyncGenerator<{ changes: Change[]; revision: number }> {
    while (!signal.aborted) {
      let next: Awaited<ReturnType<StoreClient['watch']>>;
      try {
        next = await this.client.watch(this.appliedRevision);
      } catch {
        // Whatever we miss is still there to be asked for. Reading all keys anew would be the last thing that a slow
        // service needs, and takes longer than it gives an answer.
        await sleep(this.retryMs, signal);
        continue;
      }
      if (!next) return;
      yield next;
      // Under constant change every watch returns at once: the gap keeps it from eating our share of requests.
      await sleep(this.gapMs, signal);
    }
  }

  private apply(changes: Change[], revision: number): void {
    // Of an end that was known before the watch brought it, the listeners have heard.
    const newer = changes.filter((change) => change.version > this.version(change.key));
    for (const change of newer) {
      const entry = { value: change.value, version: change.version };
      if (change.key.startsWith('end/')) {
        if (!change.deleted) this.cacheOutcome(change.key, entry);
      } else if (change.deleted) this.entriesByRoot.get(rootOf(change.key))?.delete(change.key);
      else putEntry(this.entriesByRoot, change.key, entry);
    }
    this.appliedRevision = Math.max(this.appliedRevision, revision);
    this.notify(newer);
  }

  private cacheOutcome(key: string, entry: StoredValue): void {
    this.outcomes.set(key, entry);
    if (this.outcomes.size > maxCachedOutcomes) {
      const oldest = this.outcomes.keys().next();
      if (!oldest.done) this.outcomes.delete(oldest.value);
    }
  }

  private notify(changes: Change[]): void {
    if (changes.length === 0) return;
    for (const listener of this.listeners) listener(changes);
  }
}

function rootOf(key: string): string {
  const slash = key.indexOf('/');
  return slash < 0 ? key : key.slice(0, slash);
}

function putEntry(entries: Map<string, Map<string, StoredValue>>, key: string, entry: StoredValue): void {
  const root = rootOf(key);
  const below = entries.get(root);
  if (below) below.set(key, entry);
  else entries.set(root, new Map([[key, entry]]));
}

function flatten(entries: Map<string, Map<string, StoredValue>>): Map<string, StoredValue> {
  return new Map([...entries.values()].flatMap((below) => [...below]));
}

function differences(before: Map<string, StoredValue>, after: Map<string, StoredValue>): Change[] {
  const changes: Change[] = [];
  for (const [key, entry] of after) {
    if (before.get(key)?.version !== entry.version) changes.push({ key, ...entry, deleted: false });
  }
  for (const [key, entry] of before) {
    if (!after.has(key)) changes.push({ key, value: undefined, version: entry.version, deleted: true });
  }
  return changes;
}
