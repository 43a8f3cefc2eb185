import { type Fields, isFields, list, number, text } from './codec.js';

export interface Condition {
  key: string;
  /** 0: the key does not exist. */
  version: number;
}

export type Write = { put: string; value: unknown; lease?: number } | { drop: string };

export function writtenKey(write: Write): string {
  return 'drop' in write ? write.drop : write.put;
}

/** What a transaction is limited to in the JSON form that limits are measured in, less room for its own framing. */
export const maxTransactionBytes = 60 * 1024;

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

export function keyPath(key: string): string {
  return `/keys/${keyRoot}${key}`;
}

export function listPath(prefix: string, after: string, limit: number): string {
  const since = after === '' ? '' : `&since=${encodeURIComponent(keyRoot + after)}`;
  return `/keys?prefix=${encodeURIComponent(keyRoot + prefix)}${since}&most=${limit}`;
}

export function watchPath(since: number, waitMs: number): string {
  return `/changes?prefix=${encodeURIComponent(keyRoot)}&since=${since}&holdMs=${waitMs}`;
}

export function commitBody(conditions: Condition[], writes: Write[]): unknown {
  const body: Fields = { when: conditions.map((c) => ({ path: keyRoot + c.key, stamp: c.version })) };
  if (writes.length > 0) {
    body['writes'] = writes.map((w) => {
      if ('drop' in w) return { drop: keyRoot + w.drop };
      const put: Fields = { set: keyRoot + w.put, value: w.value };
      if (w.lease !== undefined) put['tenure'] = w.lease;
      return put;
    });
  }
  return body;
}

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

export function parseRead(body: unknown): Item | undefined {
  return parseItem(body);
}

export interface ListPage {
  items: Item[];
  /** There are further items after the last of these. */
  hasMore: boolean;
  revision: number;
}

export function parseList(body: unknown): ListPage {
  const fields = isFields(body) ? body : {};
  return {
    items: list(fields['items'])
      .map(parseItem)
      .filter((i) => i !== undefined),
    hasMore: fields['hasNext'] === true,
    revision: number(fields['logline']),
  };
}

export function parseChanges(body: unknown): { changes: Change[]; revision: number } {
  const fields = isFields(body) ? body : {};
  return {
    changes: list(fields['news'])
      .filter(isFields)
      .map((n) => {
        const deleted = typeof n['drop'] === 'string';
        return {
          key: text(deleted ? n['drop'] : n['set']).slice(keyRoot.length),
          value: n['value'],
          version: number(n['stamp']),
          deleted,
        };
      }),
    revision: number(fields['logline']),
  };
}

export function createLeaseBody(ttlMs: number): unknown {
  return { lifeMs: Math.round(ttlMs) };
}

export function parseLeaseId(body: unknown): number {
  return number(isFields(body) ? body['tenure'] : undefined, -1);
}

export function leasePath(id: number): string {
  return `/grants/${id}`;
}
