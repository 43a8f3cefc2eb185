/** Which controller owns which block and which machines belong to it: the leader's decision, without any side effects. */
import {
  type BlockRecord,
  type LeasedMachine,
  type QuotaShares,
  tokenOfOwnCommit,
} from '../wire/block-records.js';
import type { Member } from './block-registry.js';

/** Ids of machines. */
export interface MachineSet {
  has(machine: string): boolean;
}

/** What an assignment is decided from. */
export interface AssignmentInput {
  /** How many blocks there are to be: one for each controller of the settings. */
  blockCount: number;
  /** The blocks' records as they stand. */
  blocks: ReadonlyMap<number, BlockRecord>;
  /** Controllers that are alive. */
  liveMembers: Member[];
  /** Labels of those that have been alive for long enough to be leased a block again. */
  stableMembers: ReadonlySet<string>;
  /** Rented machines that belong to no block yet. */
  unassignedMachines: LeasedMachine[];
  /** Machines that are proven terminated. */
  terminatedMachines: MachineSet;
  /** Machines with tasks, as of the blocks' present versions: these stay in their block. */
  machinesWithTasks: MachineSet;
  /** Machines that nothing more may be placed on. */
  drainingMachines: ReadonlySet<string>;
  /** Slots that wait in the block for machines like this one. */
  waitingSlots: (block: number, machine: LeasedMachine) => number;
  /** The next shares of the teams' limits; a block that is missing keeps its own. */
  quotaShares: ReadonlyMap<number, QuotaShares>;
}

/** The record of a block that nobody owns: an empty owner, as the record is stored, is no controller's label. */
export function unownedBlock(): BlockRecord {
  return { owner: '', incarnation: '', quotaShares: {}, machines: [] };
}

/** The records that the leader is to commit now; blocks that stay as they are do not appear. The input is left as it is. */
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
 * Leases the block to the owner, in place. All its machines get the revision of the lease's commit as their fencing token,
 * which is higher than every earlier one.
 */
export function transferBlock(record: BlockRecord, owner: Member): void {
  record.owner = owner.label;
  record.incarnation = owner.incarnation;
  record.leaseFencingToken = tokenOfOwnCommit;
  for (const machine of record.machines) machine.fencingToken = tokenOfOwnCommit;
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
 * Blocks whose owner is not alive are leased to others at once. A live controller without a block gets one of another that
 * has several, once it has been alive for a while.
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
    if (owner) transferBlock(record, owner);
  }
  for (const label of labels) {
    if (countOwned(label) > 0 || !input.stableMembers.has(label)) continue;
    const [smallest] = [...blocks.values()]
      .filter((record) => countOwned(record.owner) > 1)
      .sort((a, b) => a.machines.length - b.machines.length);
    const owner = members.get(label);
    if (smallest && owner) transferBlock(smallest, owner);
  }
}

/** A terminated machine stays in its block until its tasks have left it. */
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
 * A new machine goes to a controller of its own zone, so that a partition between zones leaves both sides working, unless
 * only other controllers have work waiting for such a machine.
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
    alike: record.machines.filter(({ type, spot }) => type === machine.type && spot === machine.spot).length,
  }));
  const isWanted = candidates.some(({ waitingSlots }) => waitingSlots > 0);
  const isWantedLocally = candidates.some(({ isLocal, waitingSlots }) => isLocal && waitingSlots > 0);
  const isWantedElsewhereOnly = isWanted && !isWantedLocally;
  candidates.sort(
    (a, b) =>
      (isWantedElsewhereOnly ? b.waitingSlots - a.waitingSlots : 0) ||
      Number(b.isLocal) - Number(a.isLocal) ||
      b.waitingSlots - a.waitingSlots ||
      a.alike - b.alike,
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

/** Whether the fields are the same that can change. */
function isSameMachine(a: LeasedMachine, b: LeasedMachine | undefined): boolean {
  return a.id === b?.id && a.fencingToken === b.fencingToken && a.draining === b.draining;
}
