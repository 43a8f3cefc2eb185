/** An in-memory collection of keys of the state service, with their values and versions. */
import type { StoredValue } from '../wire/keys.js';
import type { Change } from '../wire/state.js';

/** A key with its value and version. The version is the store revision of the key's latest change. */
export type StoredEntry = [key: string, entry: StoredValue];

/**
 * Entries grouped by the first segment of their keys, up to the first `/`. Because of this, reading the keys
 * of one kind does not iterate over all other keys.
 */
export class StoredEntries {
  private readonly entriesByFirstSegment = new Map<string, Map<string, StoredValue>>();

  /** The number of keys. */
  get size(): number {
    let size = 0;
    for (const entries of this.entriesByFirstSegment.values()) size += entries.size;
    return size;
  }

  /** Returns the value and version of a key; undefined if the key does not exist. */
  get(key: string): StoredValue | undefined {
    return this.entriesByFirstSegment.get(firstSegmentOf(key))?.get(key);
  }

  /** Sets the value and version of a key. */
  set(key: string, entry: StoredValue): void {
    const firstSegment = firstSegmentOf(key);
    const entries = this.entriesByFirstSegment.get(firstSegment);
    if (entries) entries.set(key, entry);
    else this.entriesByFirstSegment.set(firstSegment, new Map([[key, entry]]));
  }

  /** Removes a key. */
  delete(key: string): void {
    this.entriesByFirstSegment.get(firstSegmentOf(key))?.delete(key);
  }

  /**
   * Returns all entries whose keys begin with a prefix. The prefix must contain the complete first segment of
   * the keys.
   */
  *withPrefix(prefix: string): Iterable<StoredEntry> {
    for (const pair of this.entriesByFirstSegment.get(firstSegmentOf(prefix)) ?? [])
      if (pair[0].startsWith(prefix)) yield pair;
  }

  /**
   * Returns the changes from an earlier collection to this collection: first the keys that were set, then the
   * keys that were deleted.
   */
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
    for (const entries of this.entriesByFirstSegment.values()) yield* entries;
  }
}

function firstSegmentOf(key: string): string {
  const slash = key.indexOf('/');
  return slash < 0 ? key : key.slice(0, slash);
}
