/**
 * The keys under which controllers store records in the state service. `state.ts` adds a common root as a
 * prefix to all keys. `<n>` is the number of a block, a set of machines that is leased to one controller.
 *
 * | key | record | form in | written by |
 * | --- | --- | --- | --- |
 * | `lead` | the leader | `controller-records.ts` | `Election` |
 * | `alive/<label>` | a live controller | `controller-records.ts` | `Membership` |
 * | `formats/<label>` | the record format that a controller reads | `controller-records.ts` | `Membership` |
 * | `ladder/<pool>` | thresholds that the leader has changed | `ladder-records.ts` | `ThresholdStore` |
 * | `block/<n>` | the lease of a block | `block-records.ts` | `BlockWriter` |
 * | `machines/<n>/<page>` | machines of a block | `block-records.ts` | `BlockWriter` |
 * | `job/<id>` | an open job | `job-records.ts` | `Submissions`, `DispatchWriter` |
 * | `run/<n>/<page>` | a page of a block's ledger | `ledger-records.ts` | `LedgerWriter` |
 * | `end/<id>` | the outcome of a job | `job-records.ts` | `outcomeTransaction`, `Submissions` |
 */

/**
 * The record of the leader. The version of this record is the leader's fencing token, and the leader's
 * commits are conditioned on this version.
 */
export const leaderKey = 'lead';
/** The record of a live controller, bound to the controller's lease in the store. */
export const aliveKey = (label: string): string => `alive/${label}`;
/** The lease record of a block. Blocks are numbered from 0. */
export const blockKey = (block: number): string => `block/${block}`;
/** The prefix of the pages of a block's machines. */
export const machinesPrefix = (block: number): string => `machines/${block}/`;
/** A page of a block's machines. Pages are numbered from 0. */
export const machinesKey = (block: number, page: number): string => `${machinesPrefix(block)}${page}`;
/**
 * The record format that a controller reads and writes. The record is bound to no lease, so it is kept after
 * the controller has stopped.
 */
export const formatKey = (label: string): string => `formats/${label}`;
/**
 * The scale-out thresholds of a pool that the leader has moved from their initial values. A pool consists of
 * the machines of one type, spot or not.
 */
export const ladderKey = (pool: string): string => `ladder/${pool}`;
/**
 * The record of an open job. It is stored when the job is accepted and deleted when the job has an outcome.
 */
export const jobKey = (id: string): string => `job/${id}`;
/** The prefix of the outcomes of jobs. */
export const outcomePrefix = 'end/';
/** The outcome of a job, which never changes. */
export const outcomeKey = (id: string): string => `${outcomePrefix}${id}`;

/** The id of the job whose outcome is stored under the key. Undefined for keys of other records. */
export const jobOfOutcomeKey = (key: string): string | undefined =>
  key.startsWith(outcomePrefix) ? key.slice(outcomePrefix.length) : undefined;

/** The prefix of the pages of a block's ledger, which records the progress of the tasks in the block. */
export const ledgerPrefix = (block: number): string => `run/${block}/`;
/** A page of a block's ledger. */
export const ledgerKey = (block: number, page: number): string => `${ledgerPrefix(block)}${page}`;

/** The block number and the page number in the key of a ledger page. Undefined for keys of other records. */
export function parseLedgerKey(key: string): { block: number; page: number } | undefined {
  const [root, block, page] = key.split('/');
  if (root !== 'run' || block === undefined || page === undefined) return undefined;
  return { block: Number(block), page: Number(page) };
}

/** A value in the store and its version, which is the store revision of its latest change. */
export interface StoredValue {
  value: unknown;
  version: number;
}
