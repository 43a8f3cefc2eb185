/**
 * Requests to the state service and its answers. `StoreClient` and `ChangeWatch` send and read them, `transactions.ts` those
 * of commits. Keys are ours on this side and lie below one root on the other.
 *
 * | wire | in the code | unit |
 * | --- | --- | --- |
 * | `path`, `set`, `drop` | `key` | key with the root in front |
 * | `value` | `value` | a record |
 * | `stamp` | `version` | revision of the key's last change; as a condition 0: no such key |
 * | `logline` | `revision` | count of all changes so far |
 * | `tenure` | `lease` | number of a lease |
 *
 * A commit (`POST /commit`):
 *
 * | wire | in the code | unit |
 * | --- | --- | --- |
 * | `when` | conditions | list of `path` and `stamp` |
 * | `writes` | writes | list of `set` with `value` and `tenure`, or `drop`; missing where the commit only compares |
 * | `failed`, in the answer | `failed` | list of the keys whose conditions failed |
 *
 * A list (`GET /keys`):
 *
 * | wire | in the code | unit |
 * | --- | --- | --- |
 * | `prefix`, `since`, `most` | `prefix`, `after`, `limit` | keys, count of items |
 * | `items` | `items` | list of `path`, `value`, `stamp` |
 * | `hasNext` | `hasMore` | boolean |
 *
 * A watch (`GET /changes`):
 *
 * | wire | in the code | unit |
 * | --- | --- | --- |
 * | `since` | `since` | revision |
 * | `holdMs` | `waitMs` | ms |
 * | `news` | `changes` | list of `set` with `value`, or `drop`, each with `stamp` |
 *
 * A lease (`POST /grants`, `POST /grants/{id}/touch`, `DELETE /grants/{id}`):
 *
 * | wire | in the code | unit |
 * | --- | --- | --- |
 * | `lifeMs` | `ttlMs` | ms |
 * | `tenure`, in the answer | lease id | number |
 */
import { type Fields, isFields, list, number, text } from './codec.js';

/** A commit applies only while the key has this version. */
export interface Condition {
  key: string;
  /** 0: the key does not exist. */
  version: number;
}

/** A change of one key. A value that is put without a lease stays until it is dropped, whatever lease it had before. */
export type Write = { put: string; value: unknown; lease?: number } | { drop: string };

/** The key that the write changes. */
export function writtenKey(write: Write): string {
  return 'drop' in write ? write.drop : write.put;
}

/** Bytes of JSON that a transaction's writes and conditions may take: the service's limit, less room for its framing. */
export const maxTransactionBytes = 60 * 1024;

/** A key with its value and the revision of its last change. */
export interface Item {
  key: string;
  value: unknown;
  version: number;
}

/** A change seen by a watch; without a value the key was deleted. */
export interface Change {
  key: string;
  value: unknown;
  version: number;
  deleted: boolean;
}

// One root for all our keys, so that a single watch sees them all.
const keyRoot = 'sk/';

/** The path of a request for one key. */
export function keyPath(key: string): string {
  return `/keys/${keyRoot}${key}`;
}

/** The path of a list of keys with the prefix, beginning after a key, or with the first where this is empty. */
export function listPath(prefix: string, after: string, limit: number): string {
  const since = after === '' ? '' : `&since=${encodeURIComponent(keyRoot + after)}`;
  return `/keys?prefix=${encodeURIComponent(keyRoot + prefix)}${since}&most=${limit}`;
}

/** The path of a watch of all our keys: answered once one has changed after the revision `since`, or after `waitMs`. */
export function watchPath(since: number, waitMs: number): string {
  return `/changes?prefix=${encodeURIComponent(keyRoot)}&since=${since}&holdMs=${waitMs}`;
}

/** The body of a commit; without writes it only compares. */
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

/** The answer to a commit: the revision, and the keys whose conditions failed where it was refused. */
export function parseCommit(body: unknown): { revision: number; failed: string[] } {
  const fields = isFields(body) ? body : {};
  return {
    revision: number(fields['logline']),
    failed: list(fields['failed']).map((key) => text(key).slice(keyRoot.length)),
  };
}

/** The store's revision when it answered, where the answer names it. */
export function revisionOf(body: unknown): number | undefined {
  const revision = isFields(body) ? body['logline'] : undefined;
  return typeof revision === 'number' ? revision : undefined;
}

function parseItem(value: unknown): Item | undefined {
  if (!isFields(value)) return undefined;
  return {
    key: text(value['path']).slice(keyRoot.length),
    value: value['value'],
    version: number(value['stamp']),
  };
}

/** The answer to a request for one key. */
export function parseRead(body: unknown): Item | undefined {
  return parseItem(body);
}

/** One page of a list, in the order of the keys. */
export interface ListPage {
  items: Item[];
  /** There are further items after the last of these. */
  hasMore: boolean;
  revision: number;
}

/** The answer to a list. */
export function parseList(body: unknown): ListPage {
  const fields = isFields(body) ? body : {};
  return {
    items: list(fields['items'])
      .map(parseItem)
      .filter((item) => item !== undefined),
    hasMore: fields['hasNext'] === true,
    revision: number(fields['logline']),
  };
}

/** The answer to a watch: the changes in their order, and the revision that they lead up to. */
export function parseChanges(body: unknown): { changes: Change[]; revision: number } {
  const fields = isFields(body) ? body : {};
  return {
    changes: list(fields['news'])
      .filter(isFields)
      .map((change) => {
        const deleted = typeof change['drop'] === 'string';
        return {
          key: text(deleted ? change['drop'] : change['set']).slice(keyRoot.length),
          value: change['value'],
          version: number(change['stamp']),
          deleted,
        };
      }),
    revision: number(fields['logline']),
  };
}

/** The body of a request for a lease, in whole ms. */
export function createLeaseBody(ttlMs: number): unknown {
  return { lifeMs: Math.round(ttlMs) };
}

/** The number of a new lease; -1 where the answer names none. */
export function parseLeaseId(body: unknown): number {
  return number(isFields(body) ? body['tenure'] : undefined, -1);
}

/** The path of a lease; `/touch` behind it renews the lease. */
export function leasePath(id: number): string {
  return `/grants/${id}`;
}
