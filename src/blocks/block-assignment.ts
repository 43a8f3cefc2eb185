import {
  type BlockRecord,
  type LeasedMachine,
  type QuotaShares,
  tokenOfOwnCommit,
} from '../wire/block-records.js';

export interface Member {
  label: string;
  incarnation: string;
  zone: string;
}

export function unownedBlock(): BlockRecord {
  return { owner: '', incarnation: '', quotaShares: {}, machines: [] };
}

export interface AssignmentInput {
  blockCount: number;
  blocks: ReadonlyMap<number, BlockRecord>;
  /** Controllers whose grant is alive. */
  liveMembers: Member[];
  /** Those of them that have been alive for long enough to be given a block back. */
  stableMembers: ReadonlySet<string>;
  /** Rented machines that belong to no block yet. */
  unassignedMachines: LeasedMachine[];
  terminatedMachines: { has: (machine: string) => boolean };
  /** Machines with tasks, as of the blocks' present versions: these cannot be dropped. */
  machinesWithTasks: { has: (machine: string) => boolean };
  /** Machines that are to be given back. */
  drainingMachines: ReadonlySet<string>;
  /** Waiting work by block for machines like this one, in slots. */
  waitingSlots: (block: number, machine: LeasedMachine) => number;
  quotaShares: ReadonlyMap<number, QuotaShares>;
}

/** The records that the leader is to commit now; blocks that stay as they are do not appear. */
export function assignBlocks(facts: AssignmentInput): Map<number, BlockRecord> {
  const blocks = new Map<number, BlockRecord>();
  for (let block = 0; block < facts.blockCount; block++) {
    const record = facts.blocks.get(block) ?? unownedBlock();
    blocks.set(block, { ...record, machines: record.machines.map((m) => ({ ...m })) });
  }
  for (const [block, record] of blocks)
    record.quotaShares = facts.quotaShares.get(block) ?? record.quotaShares;
  assignOwners(blocks, facts);
  for (const record of blocks.values()) {
    record.machines = record.machines.filter(
      (m) => !facts.terminatedMachines.has(m.id) || facts.machinesWithTasks.has(m.id),
    );
    for (const machine of record.machines) {
      machine.draining = facts.drainingMachines.has(machine.id);
    }
  }
  const known = new Set(
    facts.unassignedMachines.length > 0
      ? [...blocks.values()].flatMap((record) => record.machines.map((m) => m.id))
      : [],
  );
  for (const machine of facts.unassignedMachines) {
    if (!known.has(machine.id) && !facts.terminatedMachines.has(machine.id))
      chooseBlock(machine, blocks, facts)?.machines.push(machine);
  }
  for (const [block, record] of blocks) {
    if (sameRecord(facts.blocks.get(block), record)) blocks.delete(block);
  }
  return blocks;
}

/** Blocks of controllers that are gone are leased anew at once; a controller without one gets one back later. */
function assignOwners(blocks: Map<number, BlockRecord>, facts: AssignmentInput): void {
  const alive = new Map(facts.liveMembers.map((member) => [member.label, member]));
  const countOwned = (label: string): number => [...blocks.values()].filter((r) => r.owner === label).length;
  const fewest = [...alive.keys()].sort();
  const next = (): string | undefined =>
    fewest.sort((a, b) => countOwned(a) - countOwned(b) || (a < b ? -1 : 1))[0];
  for (const record of blocks.values()) {
    if (alive.has(record.owner)) continue;
    const owner = alive.get(next() ?? '');
    if (owner) transferBlock(record, owner);
  }
  for (const label of [...alive.keys()].sort()) {
    if (countOwned(label) > 0 || !facts.stableMembers.has(label)) continue;
    const spare = [...blocks.values()]
      .filter((record) => countOwned(record.owner) > 1)
      .sort((a, b) => a.machines.length - b.machines.length)[0];
    const member = alive.get(label);
    if (spare && member) transferBlock(spare, member);
  }
}

/** Every machine of the block gets the revision of this lease as its token, which outranks all before. */
export function transferBlock(record: BlockRecord, owner: Member): void {
  record.owner = owner.label;
  record.incarnation = owner.incarnation;
  record.leaseFencingToken = tokenOfOwnCommit;
  for (const machine of record.machines) machine.fencingToken = tokenOfOwnCommit;
}

/**
 * A new machine goes to the controller of its own zone, so that a cut between zones leaves both halves working,
 * unless only others have work waiting for it.
 */
function chooseBlock(
  machine: LeasedMachine,
  blocks: Map<number, BlockRecord>,
  facts: AssignmentInput,
): BlockRecord | undefined {
  const zoneOf = new Map(facts.liveMembers.map((member) => [member.label, member.zone]));
  const like = (record: BlockRecord): number =>
    record.machines.filter((m) => m.type === machine.type && m.spot === machine.spot).length;
  const ranked = [...blocks].map(([block, record]) => ({
    record,
    local: zoneOf.get(record.owner) === machine.zone,
    waiting: facts.waitingSlots(block, machine),
    like: like(record),
  }));
  const lacking = ranked.some((r) => r.waiting > 0);
  const localLacks = ranked.some((r) => r.local && r.waiting > 0);
  ranked.sort(
    (a, b) =>
      (lacking && !localLacks ? b.waiting - a.waiting : 0) ||
      Number(b.local) - Number(a.local) ||
      b.waiting - a.waiting ||
      a.like - b.like,
  );
  return ranked[0]?.record;
}

function sameRecord(a: BlockRecord | undefined, b: BlockRecord): boolean {
  return (
    a !== undefined &&
    a.owner === b.owner &&
    a.incarnation === b.incarnation &&
    a.machines.length === b.machines.length &&
    a.machines.every((machine, i) => sameMachine(machine, b.machines[i])) &&
    JSON.stringify(a.quotaShares) === JSON.stringify(b.quotaShares)
  );
}

/** Its other facts never change. */
function sameMachine(a: LeasedMachine, b: LeasedMachine | undefined): boolean {
  return a.id === b?.id && a.fencingToken === b.fencingToken && a.draining === b.draining;
}
