/**
 * The lease of a block: its owner, its machines, and what teams may use in it.
 *
 * `block/<n>` and `machines/<n>/<page>`, written by the leader (`LeaseWriter`) and by the owner where it renews its own lease
 * (`LeaseRenewals`), both through `BlockWriter`. Read by every controller, in `BlockRegistry`.
 *
 * `block/<n>`:
 *
 * | stored | ours | unit |
 * | --- | --- | --- |
 * | `owner` | `owner` | label of a controller |
 * | `boot` | `incarnation` | opaque, one for each life of a process |
 * | `shares` | `quotaShares` | by team: [cpus, accelerators] |
 * | `machines` | `machines` | groups, see below; missing where pages hold them |
 * | `leaseToken` | `leaseFencingToken` | revision, 0: that of the record itself; only where pages hold the machines |
 *
 * `machines/<n>/<page>` is a list of groups. A group is [type, zone, spot, machines]: two names, a boolean and a list. A
 * machine in it is a list:
 *
 * | place | ours | unit |
 * | --- | --- | --- |
 * | 0 | `id` | name |
 * | 1 | `fencingToken` | revision, 0: that of the record itself |
 * | 2 | `rentedAt` | time of day, stored in s, ours in ms |
 * | 3 | `draining` | 1; missing where the machine is not draining |
 */
import { type Fields, isFields, list, number, text } from './codec.js';
import { machinesPrefix, type StoredValue } from './keys.js';

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

/** What each team's tasks in one block may use; a team without an entry has no limit. */
export type QuotaShares = Record<string, [cpus: number, accelerators: number]>;

/** The lease of a block, read from its record and its pages. */
export interface BlockRecord {
  /** The label of the controller that places tasks on the machines and answers their heartbeats. */
  owner: string;
  /** The life of the owner's process that it is leased to: a later life renews the lease, and with it the tokens. */
  incarnation: string;
  machines: LeasedMachine[];
  quotaShares: QuotaShares;
  /** The least token of the machines that pages name: the revision of the lease to the present owner. */
  leaseFencingToken?: number;
}

/** The stored form of machines: grouped by kind, each type and zone named once a group. */
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

/** A key of what the machines of a group share. */
export function machineKind({ type, zone, spot }: LeasedMachine): string {
  return `${type}/${zone}/${spot}`;
}

/** The stored form with all machines in the record itself, which earlier versions can read. */
export function blockRecord(record: BlockRecord): unknown {
  return { ...leaseFields(record), machines: machineGroups(record.machines) };
}

/** The stored form of a block whose machines are in pages of their own. */
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

/** The lease; undefined where the block has no record. `version` is the record's; `pages` are the block's pages by number. */
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
