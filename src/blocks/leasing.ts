import {
  type BlockRecord,
  type LeasedMachine,
  type Shares,
  tokenOfThisCommit,
} from '../wire/block-records.js';

export interface Member {
  label: string;
  boot: string;
  zone: string;
}

export function emptyBlock(): BlockRecord {
  return { owner: '', boot: '', shares: {}, machines: [] };
}

export interface LeaseFacts {
  count: number;
  blocks: ReadonlyMap<number, BlockRecord>;
  /** Controllers whose grant is alive. */
  alive: Member[];
  /** Those of them that have been alive for long enough to be given a block back. */
  settled: ReadonlySet<string>;
  /** Rented machines that belong to no block yet. */
  fresh: LeasedMachine[];
  gone: { has: (machine: string) => boolean };
  /** Machines with tasks, as of the blocks' present versions: these cannot be dropped. */
  busy: { has: (machine: string) => boolean };
  /** Machines that are to be given back. */
  unwanted: ReadonlySet<string>;
  /** Waiting work by block for machines like this one, in slots. */
  waiting: (block: number, machine: LeasedMachine) => number;
  shares: ReadonlyMap<number, Shares>;
}

/** The records that the leader is to commit now; blocks that stay as they are do not appear. */
export function nextBlocks(facts: LeaseFacts): Map<number, BlockRecord> {
  const blocks = new Map<number, BlockRecord>();
  for (let block = 0; block < facts.count; block++) {
    const record = facts.blocks.get(block) ?? emptyBlock();
    blocks.set(block, { ...record, machines: record.machines.map((m) => ({ ...m })) });
  }
  for (const [block, record] of blocks) record.shares = facts.shares.get(block) ?? record.shares;
  lease(blocks, facts);
  for (const record of blocks.values()) {
    record.machines = record.machines.filter((m) => !facts.gone.has(m.id) || facts.busy.has(m.id));
    for (const machine of record.machines) {
      machine.leaving = facts.unwanted.has(machine.id);
    }
  }
  const known = new Set(
    facts.fresh.length > 0 ? [...blocks.values()].flatMap((record) => record.machines.map((m) => m.id)) : [],
  );
  for (const machine of facts.fresh) {
    if (!known.has(machine.id) && !facts.gone.has(machine.id))
      homeOf(machine, blocks, facts)?.machines.push(machine);
  }
  for (const [block, record] of blocks) {
    if (sameRecord(facts.blocks.get(block), record)) blocks.delete(block);
  }
  return blocks;
}

/** Blocks of controllers that are gone are leased anew at once; a controller without one gets one back later. */
function lease(blocks: Map<number, BlockRecord>, facts: LeaseFacts): void {
  const alive = new Map(facts.alive.map((member) => [member.label, member]));
  const held = (label: string): number => [...blocks.values()].filter((r) => r.owner === label).length;
  const fewest = [...alive.keys()].sort();
  const next = (): string | undefined => fewest.sort((a, b) => held(a) - held(b) || (a < b ? -1 : 1))[0];
  for (const record of blocks.values()) {
    if (alive.has(record.owner)) continue;
    const owner = alive.get(next() ?? '');
    if (owner) giveTo(record, owner);
  }
  for (const label of [...alive.keys()].sort()) {
    if (held(label) > 0 || !facts.settled.has(label)) continue;
    const spare = [...blocks.values()]
      .filter((record) => held(record.owner) > 1)
      .sort((a, b) => a.machines.length - b.machines.length)[0];
    const member = alive.get(label);
    if (spare && member) giveTo(spare, member);
  }
}

/** Every machine of the block gets the revision of this lease as its token, which outranks all before. */
export function giveTo(record: BlockRecord, owner: Member): void {
  record.owner = owner.label;
  record.boot = owner.boot;
  record.leaseToken = tokenOfThisCommit;
  for (const machine of record.machines) machine.token = tokenOfThisCommit;
}

/**
 * A new machine goes to the controller of its own zone, so that a cut between zones leaves both halves working,
 * unless only others have work waiting for it.
 */
function homeOf(
  machine: LeasedMachine,
  blocks: Map<number, BlockRecord>,
  facts: LeaseFacts,
): BlockRecord | undefined {
  const zoneOf = new Map(facts.alive.map((member) => [member.label, member.zone]));
  const like = (record: BlockRecord): number =>
    record.machines.filter((m) => m.type === machine.type && m.spot === machine.spot).length;
  const ranked = [...blocks].map(([block, record]) => ({
    record,
    local: zoneOf.get(record.owner) === machine.zone,
    waiting: facts.waiting(block, machine),
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
    a.boot === b.boot &&
    a.machines.length === b.machines.length &&
    a.machines.every((machine, i) => sameMachine(machine, b.machines[i])) &&
    JSON.stringify(a.shares) === JSON.stringify(b.shares)
  );
}

/** Its other facts never change. */
function sameMachine(a: LeasedMachine, b: LeasedMachine | undefined): boolean {
  return a.id === b?.id && a.token === b.token && a.leaving === b.leaving;
}
