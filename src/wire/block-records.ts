/** The lease of a block: its owner, its machines, and what its teams may use. */
import { type Fields, isFields, list, number, text } from './codec.js';
import { type StoredValue, machinesPrefix } from './keys.js';

/** A machine as its block's record names it. */
export interface LeasedMachine {
  id: string;
  /** The revision of the commit that leased it to its present owner. */
  fencingToken: number;
  type: string;
  zone: string;
  spot: boolean;
  /** Nothing more may be placed on it: it is about to be given back or leased to another. */
  draining: boolean;
  /** Time of day of its rental in ms, as far as known. */
  rentedAt: number;
  /** The page of the block's machines that names it; none yet, or the block's record names it itself. */
  page?: number;
}

/** What a team's tasks in one block may use; a missing entry means that the team has no limit. */
export type QuotaShares = Record<string, [cpus: number, accelerators: number]>;

export interface BlockRecord {
  owner: string;
  /** The life of the owner's process that it is leased to: a later life renews the lease, and with it the tokens. */
  incarnation: string;
  machines: LeasedMachine[];
  quotaShares: QuotaShares;
  /** The least token of the machines that pages name: the revision of the lease to the present owner. */
  leaseFencingToken?: number;
}

/** Machines grouped by kind, with the names left once and times of day in seconds. */
export function machineGroups(machines: Iterable<LeasedMachine>): unknown[] {
  const groups = new Map<string, unknown[]>();
  for (const m of machines) {
    const key = machineKind(m);
    let group = groups.get(key);
    if (!group) groups.set(key, (group = [m.type, m.zone, m.spot, []]));
    (group[3] as unknown[]).push([
      m.id,
      m.fencingToken,
      Math.round(m.rentedAt / 1000),
      ...(m.draining ? [1] : []),
    ]);
  }
  return [...groups.values()];
}

export function machineKind({ type, zone, spot }: LeasedMachine): string {
  return `${type}/${zone}/${spot}`;
}

/** The record of a block with all its machines, which earlier versions can read. */
export function blockRecord(record: BlockRecord): unknown {
  return { ...leaseFields(record), machines: machineGroups(record.machines) };
}

/** The record of a block whose machines are named by pages of their own. */
export function pagedBlockRecord(record: BlockRecord): unknown {
  return { ...leaseFields(record), leaseToken: record.leaseFencingToken ?? minFencingToken };
}

function leaseFields(record: BlockRecord): Fields {
  return { owner: record.owner, boot: record.incarnation, shares: record.quotaShares };
}

/** A lease that raises no token. */
const minFencingToken = 1;

/** In the store, a token of 0 stands for the revision of the record itself: nobody knows it before the commit. */
export const tokenOfOwnCommit = 0;

/** True where the record names the machines itself; pages that are there as well mean nothing. */
export function hasInlineMachines(value: unknown): boolean {
  return isFields(value) && Array.isArray(value['machines']);
}

/** The pages of a block's machines by number, from the keys below their prefix. */
export function machinePages(
  block: number,
  entries: Iterable<readonly [string, StoredValue]>,
): Map<number, StoredValue> {
  const { length } = machinesPrefix(block);
  const pages = [...entries].map(([key, entry]): [number, StoredValue] => [Number(key.slice(length)), entry]);
  return new Map(pages.sort(([a], [b]) => a - b));
}

/** `pages`: the pages of the block's machines by number. */
export function parseBlock(
  value: unknown,
  version: number,
  pages: Iterable<[number, StoredValue]> = [],
): BlockRecord | undefined {
  if (!isFields(value)) return undefined;
  const shares: QuotaShares = {};
  if (isFields(value['shares'])) {
    for (const [team, share] of Object.entries(value['shares'])) {
      const [cpus, accelerators] = list(share);
      shares[team] = [number(cpus), number(accelerators)];
    }
  }
  const lease: Pick<BlockRecord, 'owner' | 'incarnation' | 'quotaShares'> = {
    owner: text(value['owner']),
    incarnation: text(value['boot']),
    quotaShares: shares,
  };
  if (hasInlineMachines(value)) return { ...lease, machines: parseMachines(value['machines'], version) };
  const leaseToken = resolveToken(value['leaseToken'], version);
  const machines: LeasedMachine[] = [];
  for (const [page, stored] of pages) {
    for (const machine of parseMachines(stored.value, stored.version)) {
      machines.push({ ...machine, fencingToken: Math.max(machine.fencingToken, leaseToken), page });
    }
  }
  return { ...lease, machines, leaseFencingToken: leaseToken };
}

function resolveToken(value: unknown, version: number): number {
  return number(value) === tokenOfOwnCommit ? version : number(value);
}

function parseMachines(groups: unknown, version: number): LeasedMachine[] {
  return list(groups).flatMap((group) => {
    const [type, zone, spot, machines] = list(group);
    return list(machines).map((machine) => {
      const [id, token, rentedAt, draining] = list(machine);
      return {
        id: text(id),
        fencingToken: resolveToken(token, version),
        type: text(type),
        zone: text(zone),
        spot: spot === true,
        draining: draining === 1,
        rentedAt: number(rentedAt) * 1000,
      };
    });
  });
}
