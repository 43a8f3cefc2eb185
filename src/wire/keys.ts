/**
 * The keys under which controllers keep records in the state service, below the root that `state.ts` adds. `<n>` is the
 * number of a block.
 *
 * | key | record | form in | written by |
 * | --- | --- | --- | --- |
 * | `lead` | the leader | `controller-records.ts` | `Election` |
 * | `alive/<label>` | a live controller | `controller-records.ts` | `Membership` |
 * | `formats/<label>` | the format that a controller reads | `controller-records.ts` | `Membership` |
 * | `ladder/<pool>` | moved thresholds | `ladder-records.ts` | `ThresholdStore` |
 * | `block/<n>` | the lease of a block | `block-records.ts` | `BlockWriter` |
 * | `machines/<n>/<page>` | machines of a block | `block-records.ts` | `BlockWriter` |
 * | `job/<id>` | an open job | `job-records.ts` | `Submissions`, `DispatchWriter` |
 * | `run/<n>/<page>` | a page of a block's ledger | `ledger-records.ts` | `LedgerWriter` |
 * | `end/<id>` | the outcome of a job | `job-records.ts` | `outcomeTransaction`, `Submissions` |
 */

/** The record of the leader; commits of the leader are conditioned on its version, the fencing token. */
export const leaderKey = 'lead';
/** The record of a live controller, bound to its lease. */
export const aliveKey = (label: string): string => `alive/${label}`;
/** The record of a block. Blocks are numbered from 0. */
export const blockKey = (block: number): string => `block/${block}`;
/** Below it are the pages of a block's machines. */
export const machinesPrefix = (block: number): string => `machines/${block}/`;
/** A page of a block's machines. Pages are numbered from 0. */
export const machinesKey = (block: number, page: number): string => `${machinesPrefix(block)}${page}`;
/** The format that a controller's version reads and writes, kept for good once it has run. */
export const formatKey = (label: string): string => `formats/${label}`;
/** The moved thresholds of a pool: a type of machine, spot or not. */
export const ladderKey = (pool: string): string => `ladder/${pool}`;
/** The record of a job, from its acceptance to its outcome. */
export const jobKey = (id: string): string => `job/${id}`;
/** Below it are the outcomes of all jobs that have one. */
export const outcomePrefix = 'end/';
/** The outcome of a job; it never changes. */
export const outcomeKey = (id: string): string => `${outcomePrefix}${id}`;

/** The job whose end the key holds, if it is such a key. */
export const jobOfOutcomeKey = (key: string): string | undefined =>
  key.startsWith(outcomePrefix) ? key.slice(outcomePrefix.length) : undefined;

/** Below it are the pages of a block's ledger. */
export const ledgerPrefix = (block: number): string => `run/${block}/`;
/** A page of a block's ledger. */
export const ledgerKey = (block: number, page: number): string => `${ledgerPrefix(block)}${page}`;

/** The block and the page of a key of a ledger; undefined for other keys. */
export function parseLedgerKey(key: string): { block: number; page: number } | undefined {
  const [root, block, page] = key.split('/');
  if (root !== 'run' || block === undefined || page === undefined) return undefined;
  return { block: Number(block), page: Number(page) };
}

/** A value of the store and the revision of its last change. */
export interface StoredValue {
  value: unknown;
  version: number;
}
