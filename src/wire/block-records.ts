/**
 * Stored form of a block's lease: the owner, the machines and the quota share of each team.
 *
 * The keys are `block/<n>` and `machines/<n>/<page>`. The leader writes them (`LeaseWriter`), and so does the
 * owner when it renews its own lease (`LeaseRenewals`); both write through `BlockWriter`. Every controller
 * reads them, in `BlockRegistry`.
 *
 * `block/<n>`:
 *
 * | stored | in the code | unit |
 * | --- | --- | --- |
 * | `owner` | `owner` | label of a controller |
 * | `boot` | `incarnation` | opaque, a new one at each process start |
 * | `shares` | `quotaShares` | by team: [cpus, accelerators] |
 * | `machines` | `machines` | groups, see below; missing where the machines are on pages |
 * | `leaseToken` | `leaseFencingToken` | revision, 0: of the record itself; only with machines on pages |
 *
 * `machines/<n>/<page>` is a list of groups. A group is [type, zone, spot, machines]: two names, a boolean
 * and a list. Each machine in that list is a list of its own:
 *
 * | place | in the code | unit |
 * | --- | --- | --- |
 * | 0 | `id` | name |
 * | 1 | `fencingToken` | revision, 0: that of the record itself |
 * | 2 | `rentedAt` | time of day, stored in s, in the code in ms |
 * | 3 | `draining` | 1; missing where the machine is not draining |
 */
import { asList, asNumber, asText, type Fields, isFieldMap } from './codec.js';
import { machinesPrefix, type StoredValue } from './keys.js';

/** A machine as it is listed in the record or on a page of its block. */
export interface LeasedMachine {
  id: string;
  /** The revision of the commit that leased the machine to its current owner. */
  fencingToken: number;
  type: string;
  zone: string;
  spot: boolean;
  /** No further task may be placed on the machine: it is about to be released or leased to another owner. */
  draining: boolean;
  /** Time of day of the machine's rental in ms, as far as known. */
  rentedAt: number;
  /** The page that lists the machine; undefined before one is assigned or if the block's record lists it. */
  page?: number;
}

/** The resources that the tasks of each team may use in one block; a team without an entry has no limit. */
export type QuotaShares = Record<string, [cpus: number, accelerators: number]>;

/** The lease of a block, assembled from its record and its pages. */
export interface BlockRecord {
  /** The label of the controller that places tasks on the machines and answers their heartbeats. */
  owner: string;
  /**
   * The incarnation of the owner that holds the lease. After a process restart the new incarnation renews the
   * lease, which also renews the fencing tokens.
   */
  incarnation: string;
  machines: LeasedMachine[];
  quotaShares: QuotaShares;
  /**
   * The minimum fencing token of machines on pages: the revision at which the block was leased to its current
   * owner.
   */
  leaseFencingToken?: number;
}

/** The stored form of machines: grouped by type, zone and spot, which are stored once for each group. */
export function machineGroups(machines: Iterable<LeasedMachine>): unknown[] {
  const groups = new Map<string, unknown[]>();
  for (const machine of machines) {
    const key = machineGroupKey(machine);
    let group = groups.get(key);
    if (!group) groups.set(key, (group = [machine.type, machine.zone, machine.spot, []]));
    (group[3] as unknown[]).push([
      machine.id,
      machine.fencingToken,
      Math.round(machine.rentedAt / 1000),
      ...(machine.draining ? [1] : []),
    ]);
  }
  return [...groups.values()];
}

/** The group of a machine in the stored form: its type, zone and spot flag joined to one key. */
export function machineGroupKey({ type, zone, spot }: LeasedMachine): string {
  return `${type}/${zone}/${spot}`;
}

/** The stored form with all machines in the block's record itself, which earlier versions can read. */
export function blockRecord(record: BlockRecord): unknown {
  return { ...leaseFields(record), machines: machineGroups(record.machines) };
}

/** The stored form of a block whose machines are on pages of their own. */
export function pagedBlockRecord(record: BlockRecord): unknown {
  return { ...leaseFields(record), leaseToken: record.leaseFencingToken ?? minFencingToken };
}

function leaseFields(record: BlockRecord): Fields {
  return { owner: record.owner, boot: record.incarnation, shares: record.quotaShares };
}

/** The `leaseFencingToken` of a lease that raises the fencing token of no machine. */
const minFencingToken = 1;

/**
 * Stored in place of a fencing token that is the revision of the commit that writes it, since that revision
 * is unknown until the commit is applied.
 */
export const tokenFromCommitRevision = 0;

/** Whether the block's record lists the machines itself; if so, any pages of the block are ignored. */
export function hasInlineMachines(value: unknown): boolean {
  return isFieldMap(value) && Array.isArray(value['machines']);
}

/** The pages of a block's machines in order of their numbers, from the keys with the pages' prefix. */
export function machinePages(
  block: number,
  entries: Iterable<readonly [string, StoredValue]>,
): Map<number, StoredValue> {
  const { length } = machinesPrefix(block);
  const pages = [...entries].map(([key, entry]): [number, StoredValue] => [Number(key.slice(length)), entry]);
  return new Map(pages.sort(([a], [b]) => a - b));
}

/**
 * Parses the lease of a block; undefined if the block has no record. `version` is the version of the record,
 * `pages` are the block's pages by page number.
 */
export function parseBlock(
  value: unknown,
  version: number,
  pages: Iterable<[number, StoredValue]> = [],
): BlockRecord | undefined {
  if (!isFieldMap(value)) return undefined;
  const shares: QuotaShares = {};
  if (isFieldMap(value['shares'])) {
    for (const [team, share] of Object.entries(value['shares'])) {
      const [cpus, accelerators] = asList(share);
      shares[team] = [asNumber(cpus), asNumber(accelerators)];
    }
  }
  const lease: Pick<BlockRecord, 'owner' | 'incarnation' | 'quotaShares'> = {
    owner: asText(value['owner']),
    incarnation: asText(value['boot']),
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
  return asNumber(value) === tokenFromCommitRevision ? version : asNumber(value);
}

function parseMachines(groups: unknown, version: number): LeasedMachine[] {
  return asList(groups).flatMap((group) => {
    const [type, zone, spot, machines] = asList(group);
    return asList(machines).map((machine) => {
      const [id, token, rentedAt, draining] = asList(machine);
      return {
        id: asText(id),
        fencingToken: resolveToken(token, version),
        type: asText(type),
        zone: asText(zone),
        spot: spot === true,
        draining: draining === 1,
        rentedAt: asNumber(rentedAt) * 1000,
      };
    });
  });
}
