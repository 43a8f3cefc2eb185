/** Where our values are in the state service. */

export const leaderKey = 'lead';
export const aliveKey = (label: string): string => `alive/${label}`;
export const blockKey = (block: number): string => `block/${block}`;
export const machinesPrefix = (block: number): string => `machines/${block}/`;
export const machinesKey = (block: number, page: number): string => `${machinesPrefix(block)}${page}`;
/** The format that a controller's version reads and writes, kept for good once it has run. */
export const formatKey = (label: string): string => `formats/${label}`;
export const ladderKey = (pool: string): string => `ladder/${pool}`;
export const jobKey = (id: string): string => `job/${id}`;
export const outcomePrefix = 'end/';
export const outcomeKey = (id: string): string => `${outcomePrefix}${id}`;

/** The job whose end the key holds, if it is such a key. */
export const jobOfOutcomeKey = (key: string): string | undefined =>
  key.startsWith(outcomePrefix) ? key.slice(outcomePrefix.length) : undefined;

export const ledgerPrefix = (block: number): string => `run/${block}/`;
export const ledgerKey = (block: number, page: number): string => `${ledgerPrefix(block)}${page}`;

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
