/**
 * Computes, without side effects, which controller owns each block and which machines belong to each block. A
 * block is a set of machines with the tasks placed on them, leased to one controller.
 */
import {
  type BlockRecord,
  type LeasedMachine,
  type QuotaShares,
  tokenFromCommitRevision,
} from '../wire/block-records.js';
import type { Member } from './block-registry.js';

/** A set of machine ids. */
export interface MachineIdSet {
  has(machine: string): boolean;
}

/** The input of an assignment of blocks. */
export interface AssignmentInput {
  /** Target number of blocks: one for each controller in the settings. */
  blockCount: number;
  /** The current block records, by block. */
  blocks: ReadonlyMap<number, BlockRecord>;
  /** Controllers that are alive. */
  liveMembers: Member[];
  /** Labels of the controllers that have been alive long enough to take over a block of a live controller. */
  stableMembers: ReadonlySet<string>;
  /** Rented machines that have not been added to a block yet. */
  unassignedMachines: LeasedMachine[];
  /** Machines that are proven to be terminated. */
  terminatedMachines: MachineIdSet;
  /**
   * Machines on which tasks are or may be running, as of the current versions of the blocks. These machines
   * are not removed from their block.
   */
  machinesWithTasks: MachineIdSet;
  /** Machines on which no further tasks may be placed. */
  drainingMachines: ReadonlySet<string>;
  /**
   * Number of slots that the block's waiting tasks need on machines of the same type and kind (spot or
   * ordinary) as `machine`. Here a slot is the unit of the ladder, a fixed share of a machine's dominant
   * resource (see `ladder/slots.ts`), and not the space for one task.
   */
  waitingSlots: (block: number, machine: LeasedMachine) => number;
  /** The new quota shares of each block; a block without an entry keeps its current shares. */
  quotaShares: ReadonlyMap<number, QuotaShares>;
}

/**
 * Returns the record of a block without an owner. The `owner` field is the empty string, which is not the
 * label of any controller.
 */
export function unownedBlock(): BlockRecord {
  return { owner: '', incarnation: '', quotaShares: {}, machines: [] };
}

/**
 * Returns the records that the leader has to commit now, by block. Blocks whose record does not change have
 * no entry. Does not modify the input.
 */
export function assignBlocks(input: AssignmentInput): Map<number, BlockRecord> {
  const blocks = copyBlocks(input);
  assignOwners(blocks, input);
  for (const record of blocks.values()) updateMachines(record, input);
  addUnassignedMachines(blocks, input);
  for (const [block, record] of blocks) {
    if (isSameRecord(input.blocks.get(block), record)) blocks.delete(block);
  }
  return blocks;
}

/**
 * Leases the block to `owner` by changing `record` in place. The fencing token of each machine becomes the
 * store revision of the commit that writes the record. That revision is higher than every earlier fencing
 * token.
 */
export function leaseBlock(record: BlockRecord, owner: Member): void {
  record.owner = owner.label;
  record.incarnation = owner.incarnation;
  record.leaseFencingToken = tokenFromCommitRevision;
  for (const machine of record.machines) machine.fencingToken = tokenFromCommitRevision;
}

function copyBlocks(input: AssignmentInput): Map<number, BlockRecord> {
  const blocks = new Map<number, BlockRecord>();
  for (let block = 0; block < input.blockCount; block++) {
    const record = input.blocks.get(block) ?? unownedBlock();
    const machines = record.machines.map((machine) => ({ ...machine }));
    const quotaShares = input.quotaShares.get(block) ?? record.quotaShares;
    blocks.set(block, { ...record, quotaShares, machines });
  }
  return blocks;
}

/**
 * Leases each block whose owner is not alive to the live controller with the fewest blocks, even if that
 * controller is not stable yet. After that, leases a block to each stable controller that owns no block. This
 * block is the smallest, by number of machines, of all blocks whose owners own several blocks.
 */
function assignOwners(blocks: ReadonlyMap<number, BlockRecord>, input: AssignmentInput): void {
  const members = new Map(input.liveMembers.map((member) => [member.label, member]));
  const labels = [...members.keys()].sort();
  const countOwned = (label: string): number =>
    [...blocks.values()].filter((record) => record.owner === label).length;
  const memberWithFewest = (): Member | undefined => {
    const [label] = [...labels].sort((a, b) => countOwned(a) - countOwned(b) || (a < b ? -1 : 1));
    return label === undefined ? undefined : members.get(label);
  };
  for (const record of blocks.values()) {
    if (members.has(record.owner)) continue;
    const owner = memberWithFewest();
    if (owner) leaseBlock(record, owner);
  }
  for (const label of labels) {
    if (countOwned(label) > 0 || !input.stableMembers.has(label)) continue;
    const [smallest] = [...blocks.values()]
      .filter((record) => countOwned(record.owner) > 1)
      .sort((a, b) => a.machines.length - b.machines.length);
    const owner = members.get(label);
    if (smallest && owner) leaseBlock(smallest, owner);
  }
}

/**
 * Removes terminated machines that no task uses any more, and updates the draining flag of the remaining
 * machines.
 */
function updateMachines(record: BlockRecord, input: AssignmentInput): void {
  const { terminatedMachines, machinesWithTasks, drainingMachines } = input;
  record.machines = record.machines.filter(
    ({ id }) => !terminatedMachines.has(id) || machinesWithTasks.has(id),
  );
  for (const machine of record.machines) machine.draining = drainingMachines.has(machine.id);
}

function addUnassignedMachines(blocks: ReadonlyMap<number, BlockRecord>, input: AssignmentInput): void {
  const { unassignedMachines, terminatedMachines } = input;
  if (unassignedMachines.length === 0) return;
  const assigned = new Set([...blocks.values()].flatMap((record) => record.machines.map(({ id }) => id)));
  for (const machine of unassignedMachines) {
    if (assigned.has(machine.id) || terminatedMachines.has(machine.id)) continue;
    chooseBlock(machine, blocks, input)?.machines.push(machine);
  }
}

/**
 * Chooses a block whose owner is in the zone of the machine, so that both sides of a network partition
 * between zones keep working. If tasks wait for such a machine only in blocks whose owners are in other
 * zones, chooses one of those blocks.
 */
function chooseBlock(
  machine: LeasedMachine,
  blocks: ReadonlyMap<number, BlockRecord>,
  input: AssignmentInput,
): BlockRecord | undefined {
  const zoneOf = new Map(input.liveMembers.map((member) => [member.label, member.zone]));
  const candidates = [...blocks].map(([block, record]) => ({
    record,
    isLocal: zoneOf.get(record.owner) === machine.zone,
    waitingSlots: input.waitingSlots(block, machine),
    sameKindCount: record.machines.filter(({ type, spot }) => type === machine.type && spot === machine.spot)
      .length,
  }));
  const isWanted = candidates.some(({ waitingSlots }) => waitingSlots > 0);
  const isWantedLocally = candidates.some(({ isLocal, waitingSlots }) => isLocal && waitingSlots > 0);
  const isWantedElsewhereOnly = isWanted && !isWantedLocally;
  candidates.sort(
    (a, b) =>
      (isWantedElsewhereOnly ? b.waitingSlots - a.waitingSlots : 0) ||
      Number(b.isLocal) - Number(a.isLocal) ||
      b.waitingSlots - a.waitingSlots ||
      a.sameKindCount - b.sameKindCount,
  );
  return candidates[0]?.record;
}

function isSameRecord(a: BlockRecord | undefined, b: BlockRecord): boolean {
  return (
    a !== undefined &&
    a.owner === b.owner &&
    a.incarnation === b.incarnation &&
    a.machines.length === b.machines.length &&
    a.machines.every((machine, i) => isSameMachine(machine, b.machines[i])) &&
    JSON.stringify(a.quotaShares) === JSON.stringify(b.quotaShares)
  );
}

/** Compares the ids and the fields that can change. */
function isSameMachine(a: LeasedMachine, b: LeasedMachine | undefined): boolean {
  return a.id === b?.id && a.fencingToken === b.fencingToken && a.draining === b.draining;
}
