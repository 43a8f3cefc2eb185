/**
 * Stored form of a block's lease: the owner, the machines and the quota share of each team. A block is a set
 * of machines with the work placed on them. It is leased to one controller, the owner.
 *
 * The keys are `block/<n>` and `machines/<n>/<page>`. The leader writes the records under these keys
 * (`LeaseWriter`). The owner writes them too, when it renews its lease of the block (`LeaseRenewals`). Both
 * use `BlockWriter`. Every controller reads the records (`BlockRegistry`).
 *
 * `block/<n>`:
 *
 * | stored | in the code | unit or meaning |
 * | --- | --- | --- |
 * | `owner` | `owner` | label of a controller |
 * | `boot` | `incarnation` | opaque, a new one at each process start |
 * | `shares` | `quotaShares` | by team: [cpus, accelerators] |
 * | `machines` | `machines` | groups, see below; missing if the machines are on pages |
 * | `leaseToken` | `leaseFencingToken` | revision; 0: version of the record; only if machines are on pages |
 *
 * `machines/<n>/<page>` is a list of groups. A group is [type, zone, spot, machines]: two names, a boolean
 * and a list. Each machine in that list is a list of its own:
 *
 * | index | in the code | unit or meaning |
 * | --- | --- | --- |
 * | 0 | `id` | name |
 * | 1 | `fencingToken` | revision; 0: the version of the record or page that lists the machine |
 * | 2 | `rentedAt` | wall-clock time since the epoch, stored in s, in the code in ms |
 * | 3 | `draining` | 1; missing if the machine is not draining |
 */
import { asList, asNumber, asText, type Fields, isFieldMap } from './codec.js';
import { machinesPrefix, type StoredValue } from './keys.js';

/** A machine of a block, as listed in the record of the block or on a page of the block. */
export interface LeasedMachine {
  id: string;
  /** The revision of the commit that leased the machine to its current owner. */
  fencingToken: number;
  type: string;
  zone: string;
  spot: boolean;
  /**
   * Whether the machine is draining: no further task may be placed on it, because it is about to be released
   * or to be leased to another owner.
   */
  draining: boolean;
  /** Wall-clock time in ms since the epoch at which the machine was rented, as far as known. */
  rentedAt: number;
  /**
   * Number of the page that lists the machine. Undefined if no page has been assigned to the machine yet, or
   * if the record of the block lists the machine.
   */
  page?: number;
}

/** The resources that the tasks of each team may use in one block. A team without an entry has no limit. */
export type QuotaShares = Record<string, [cpus: number, accelerators: number]>;

/** The lease of a block, assembled from the record and the pages of the block. */
export interface BlockRecord {
  /** Label of the controller that places tasks on the machines and responds to their heartbeats. */
  owner: string;
  /**
   * The incarnation of the owner that holds the lease of the block. After a process restart, the new
   * incarnation renews the lease, and the machines get new, higher fencing tokens with the renewal.
   */
  incarnation: string;
  machines: LeasedMachine[];
  quotaShares: QuotaShares;
  /**
   * The minimum fencing token of machines on pages: a machine whose own fencing token is lower has this one
   * instead. It is the revision at which the block was leased to its current owner.
   */
  leaseFencingToken?: number;
}

/**
 * The stored form of machines. Machines are grouped by type, zone and spot flag, so that these are stored
 * once for each group.
 */
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

/** The key of a machine's group in the stored form: its type, zone and spot flag, joined by slashes. */
export function machineGroupKey({ type, zone, spot }: LeasedMachine): string {
  return `${type}/${zone}/${spot}`;
}

/**
 * The stored form of a block whose machines are all in the record of the block. Earlier versions can read
 * this form.
 */
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

/** A `leaseFencingToken` so low that it raises the fencing token of no machine. */
const minFencingToken = 1;

/**
 * Stored in place of a fencing token that equals the revision of the commit that stores it, because this
 * revision is unknown until the commit is applied.
 */
export const tokenFromCommitRevision = 0;

/** Whether the record of the block lists the machines itself. If so, any pages of the block are ignored. */
export function hasInlineMachines(value: unknown): boolean {
  return isFieldMap(value) && Array.isArray(value['machines']);
}

/**
 * The pages of a block's machines by page number, in ascending order. `entries` are the keys and values in
 * the store whose keys start with `machinesPrefix(block)`.
 */
export function machinePages(
  block: number,
  entries: Iterable<readonly [string, StoredValue]>,
): Map<number, StoredValue> {
  const { length } = machinesPrefix(block);
  const pages = [...entries].map(([key, entry]): [number, StoredValue] => [Number(key.slice(length)), entry]);
  return new Map(pages.sort(([a], [b]) => a - b));
}

/**
 * Parses the lease of a block. Returns undefined if the block has no record. `version` is the version of the
 * record, and `pages` are the pages of the block by page number.
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
