/**
 * Encodes requests to the state service and parses its responses. `Transactions` sends commits, `Leases`
 * sends the requests about leases, `ChangeWatch` sends watches, and `StoreClient` sends reads and lists. Keys
 * in the code have no root. On the wire, all keys start with one common root.
 *
 * | wire | in the code | unit or meaning |
 * | --- | --- | --- |
 * | `path`, `set`, `drop` | `key` | key, prefixed with the root |
 * | `value` | `value` | a record |
 * | `stamp` | `version` | revision of the key's latest change; in a condition 0: no such key |
 * | `logline` | `revision` | count of all changes in the store so far |
 * | `tenure` | `lease` | number of a lease |
 *
 * A commit (`POST /commit`):
 *
 * | wire | in the code | unit or meaning |
 * | --- | --- | --- |
 * | `when` | conditions | list of `path` and `stamp` |
 * | `writes` | writes | list of `set` with `value` and `tenure`, or `drop`; missing if there are no writes |
 * | `failed`, in the response | `failed` | list of the keys whose conditions failed |
 *
 * A list (`GET /keys`):
 *
 * | wire | in the code | unit or meaning |
 * | --- | --- | --- |
 * | `prefix`, `since`, `most` | `prefix`, `after`, `limit` | keys, count of items |
 * | `items` | `items` | list of `path`, `value`, `stamp` |
 * | `hasNext` | `hasMore` | boolean |
 *
 * A watch (`GET /changes`):
 *
 * | wire | in the code | unit or meaning |
 * | --- | --- | --- |
 * | `since` | `since` | revision |
 * | `holdMs` | `waitMs` | ms |
 * | `news` | `changes` | list of `set` with `value`, or `drop`, each with `stamp` |
 *
 * A lease (`POST /grants`, `POST /grants/{id}/touch`, `DELETE /grants/{id}`):
 *
 * | wire | in the code | unit or meaning |
 * | --- | --- | --- |
 * | `lifeMs` | `ttlMs` | ms |
 * | `tenure`, in the response | lease id | number |
 */
import { asList, asNumber, asText, type Fields, isFieldMap } from './codec.js';

/** A condition of a commit. The commit is applied only if the key has this version. */
export interface Condition {
  key: string;
  /** 0: the key does not exist. */
  version: number;
}

/**
 * A write of a commit. It puts the value of a key or deletes the key. A value that is put without a lease is
 * kept until it is deleted, even if the key was bound to a lease before.
 */
export type Write = { put: string; value: unknown; lease?: number } | { drop: string };

/** The key that a write puts or deletes. */
export function writtenKey(write: Write): string {
  return 'drop' in write ? write.drop : write.put;
}

/**
 * Maximum size in bytes, as JSON, of the writes and conditions of a transaction: the limit of the state
 * service minus room for framing.
 */
export const maxTransactionBytes = 60 * 1024;

/** A key with its value and the revision of its latest change. */
export interface Item {
  key: string;
  value: unknown;
  version: number;
}

/** A change that a watch reported. `value` is undefined if the key was deleted. */
export interface Change {
  key: string;
  value: unknown;
  version: number;
  deleted: boolean;
}

// All keys of shalekeel share one root, so that a single watch covers all of them.
const keyRoot = 'sk/';

/** The request path for reading one key. */
export function keyPath(key: string): string {
  return `/keys/${keyRoot}${key}`;
}

/**
 * The request path for listing at most `limit` keys with the prefix. The list starts after the key `after`,
 * or at the first key if `after` is empty.
 */
export function listPath(prefix: string, after: string, limit: number): string {
  const since = after === '' ? '' : `&since=${encodeURIComponent(keyRoot + after)}`;
  return `/keys?prefix=${encodeURIComponent(keyRoot + prefix)}${since}&most=${limit}`;
}

/**
 * The request path for watching all keys below the root. The service responds as soon as there is a change
 * after the revision `since`, or after `waitMs` if there is none.
 */
export function watchPath(since: number, waitMs: number): string {
  return `/changes?prefix=${encodeURIComponent(keyRoot)}&since=${since}&holdMs=${waitMs}`;
}

/** The request body of a commit. A commit without writes only checks its conditions. */
export function commitBody(conditions: Condition[], writes: Write[]): unknown {
  const body: Fields = {
    when: conditions.map((condition) => ({ path: keyRoot + condition.key, stamp: condition.version })),
  };
  if (writes.length > 0) {
    body['writes'] = writes.map((write) => {
      if ('drop' in write) return { drop: keyRoot + write.drop };
      const put: Fields = { set: keyRoot + write.put, value: write.value };
      if (write.lease !== undefined) put['tenure'] = write.lease;
      return put;
    });
  }
  return body;
}

/**
 * Parses the response to a commit: the revision of the store and, if the commit was refused, the keys whose
 * conditions failed.
 */
export function parseCommit(body: unknown): { revision: number; failed: string[] } {
  const fields = isFieldMap(body) ? body : {};
  return {
    revision: asNumber(fields['logline']),
    failed: asList(fields['failed']).map((key) => asText(key).slice(keyRoot.length)),
  };
}

/** The revision of the store at the time of a response. Undefined if the response does not contain it. */
export function revisionOf(body: unknown): number | undefined {
  const revision = isFieldMap(body) ? body['logline'] : undefined;
  return typeof revision === 'number' ? revision : undefined;
}

function parseItem(value: unknown): Item | undefined {
  if (!isFieldMap(value)) return undefined;
  return {
    key: asText(value['path']).slice(keyRoot.length),
    value: value['value'],
    version: asNumber(value['stamp']),
  };
}

/** Parses the response to a read of one key. Returns undefined if the response contains no item. */
export function parseRead(body: unknown): Item | undefined {
  return parseItem(body);
}

/** One page of a list of keys, ordered by key. */
export interface ListPage {
  items: Item[];
  /** Whether the list continues after the last item of this page. */
  hasMore: boolean;
  revision: number;
}

/** Parses the response to a list request. */
export function parseList(body: unknown): ListPage {
  const fields = isFieldMap(body) ? body : {};
  return {
    items: asList(fields['items'])
      .map(parseItem)
      .filter((item) => item !== undefined),
    hasMore: fields['hasNext'] === true,
    revision: asNumber(fields['logline']),
  };
}

/**
 * Parses the response to a watch: the changes in order, and a revision of the store that includes all of
 * them.
 */
export function parseChanges(body: unknown): { changes: Change[]; revision: number } {
  const fields = isFieldMap(body) ? body : {};
  return {
    changes: asList(fields['news'])
      .filter(isFieldMap)
      .map((change) => {
        const deleted = typeof change['drop'] === 'string';
        return {
          key: asText(deleted ? change['drop'] : change['set']).slice(keyRoot.length),
          value: change['value'],
          version: asNumber(change['stamp']),
          deleted,
        };
      }),
    revision: asNumber(fields['logline']),
  };
}

/** The request body for creating a lease. The time to live is rounded to whole ms. */
export function createLeaseBody(ttlMs: number): unknown {
  return { lifeMs: Math.round(ttlMs) };
}

/** Parses the id of a new lease. Returns -1 if the response contains no id. */
export function parseLeaseId(body: unknown): number {
  return asNumber(isFieldMap(body) ? body['tenure'] : undefined, -1);
}

/** The request path of a lease. If `/touch` is appended, it is the path for renewing the lease. */
export function leasePath(id: number): string {
  return `/grants/${id}`;
}
