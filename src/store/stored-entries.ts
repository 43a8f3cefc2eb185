/** An in-memory copy of the state service's keys. */
import type { StoredValue } from '../wire/keys.js';
import type { Change } from '../wire/state.js';

/** A key with its value and version. */
export type StoredEntry = [key: string, entry: StoredValue];

/** Keys by their first part, up to the first `/`: a reader of one kind of key does not walk all the others. */
export class StoredEntries {
  private readonly byRoot = new Map<string, Map<string, StoredValue>>();

  /** How many keys there are. */
  get size(): number {
    let size = 0;
    for (const entries of this.byRoot.values()) size += entries.size;
    return size;
  }

  /** The value and version under a key. */
  get(key: string): StoredValue | undefined {
    return this.byRoot.get(rootOf(key))?.get(key);
  }

  /** Sets the value and version under a key. */
  set(key: string, entry: StoredValue): void {
    const root = rootOf(key);
    const entries = this.byRoot.get(root);
    if (entries) entries.set(key, entry);
    else this.byRoot.set(root, new Map([[key, entry]]));
  }

  /** Removes a key. */
  delete(key: string): void {
    this.byRoot.get(rootOf(key))?.delete(key);
  }

  /** All keys that begin with a prefix, which has to hold the first part of the keys whole. */
  *withPrefix(prefix: string): Iterable<StoredEntry> {
    for (const pair of this.byRoot.get(rootOf(prefix)) ?? []) if (pair[0].startsWith(prefix)) yield pair;
  }

  /** The changes that lead from an earlier copy to this one: what was set, then what was deleted. */
  changesSince(earlier: StoredEntries): Change[] {
    const changes: Change[] = [];
    for (const [key, entry] of this.all()) {
      if (earlier.get(key)?.version !== entry.version) changes.push({ key, ...entry, deleted: false });
    }
    for (const [key, { version }] of earlier.all()) {
      if (!this.get(key)) changes.push({ key, value: undefined, version, deleted: true });
    }
    return changes;
  }

  private *all(): Iterable<StoredEntry> {
    for (const entries of this.byRoot.values()) yield* entries;
  }
}

function rootOf(key: string): string {
  const slash = key.indexOf('/');
  return slash < 0 ? key : key.slice(0, slash);
}
