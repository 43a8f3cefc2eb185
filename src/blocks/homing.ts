import { type JobSpec, type MachineType, type Resources, fits } from '../model/types.js';
import type { Census } from '../placement/census.js';
import type { BlockRecord, LeasedMachine, Part } from '../wire/records.js';

/** What a block can still take of a job. */
export interface Room {
  block: number;
  /** Tasks that fit into what is free now, less what already waits there. */
  free: number;
  /** Tasks that fit into its empty machines: its size, for what has to wait. */
  size: number;
}

export interface RoomFacts {
  blocks: ReadonlyMap<number, BlockRecord>;
  alive: (label: string) => boolean;
  types: ReadonlyMap<string, MachineType>;
  census: Census;
  used: ReadonlyMap<string, Resources>;
}

/** What the tasks on each machine take of it. */
export function usedByMachine(census: Census): Map<string, Resources> {
  const used = new Map<string, Resources>();
  for (const { page, machine } of census.activeTasks()) {
    const entry = used.get(machine) ?? { cpus: 0, accelerators: 0, memoryGb: 0 };
    entry.cpus += page.cpus;
    entry.accelerators += page.accelerators;
    entry.memoryGb += page.memoryGb;
    used.set(machine, entry);
  }
  return used;
}

function tasksIn(need: Resources, free: Resources): number {
  if (!fits(need, free)) return 0;
  const ratios = [
    need.cpus > 0 ? free.cpus / need.cpus : Infinity,
    need.accelerators > 0 ? free.accelerators / need.accelerators : Infinity,
    need.memoryGb > 0 ? free.memoryGb / need.memoryGb : Infinity,
  ];
  return Math.min(1e6, Math.floor(Math.min(...ratios) + 1e-6));
}

function mayUse(spec: JobSpec, machine: LeasedMachine): boolean {
  return (
    (spec.types === null || spec.types.includes(machine.type)) &&
    (spec.zone === null || spec.zone === machine.zone) &&
    (spec.spot || !machine.spot)
  );
}

/** The room of each block whose owner is alive (of every block where none is), roomiest first. */
export function roomsFor(spec: JobSpec, facts: RoomFacts): Room[] {
  const all = [...facts.blocks];
  const served = all.filter(([, record]) => facts.alive(record.owner));
  const rooms = (served.length > 0 ? served : all).map(([block, record]) => {
    const machines = record.machines.filter((m) => !m.leaving && mayUse(spec, m));
    // Work that may use cheap machines is to leave the others alone, so they are room only where there are no cheap ones.
    const cheap = spec.spot ? machines.filter((m) => m.spot) : [];
    let free = 0;
    let size = 0;
    for (const machine of cheap.length > 0 ? cheap : machines) {
      const type = facts.types.get(machine.type);
      if (!type) continue;
      const used = facts.used.get(machine.id) ?? { cpus: 0, accelerators: 0, memoryGb: 0 };
      size += tasksIn(spec, type);
      free += tasksIn(spec, {
        cpus: type.cpus - used.cpus,
        accelerators: type.accelerators - used.accelerators,
        memoryGb: type.memoryGb - used.memoryGb,
      });
    }
    return { block, free: free - waitingBefore(spec, block, facts.census), size };
  });
  return rooms.sort((a, b) => b.free - a.free || b.size - a.size || a.block - b.block);
}

/** Waiting work of the same kind in the block, in tasks of this job's size. */
function waitingBefore(spec: JobSpec, block: number, census: Census): number {
  let tasks = 0;
  for (const job of census.jobs.values()) {
    if (job.id === spec.id || job.spec.spot !== spec.spot) continue;
    for (const waiting of census.waiting(job)) {
      if (waiting.block === block) tasks += waiting.count * (spec.cpus > 0 ? job.spec.cpus / spec.cpus : 1);
    }
  }
  return Math.ceil(tasks);
}

/** The one block that has room for the whole job now, or none. */
export function wholeIn(spec: JobSpec, rooms: Room[]): Part[] | undefined {
  const best = rooms[0];
  return best && best.free >= spec.tasks ? [{ block: best.block, first: 0, count: spec.tasks }] : undefined;
}

/**
 * Places a job that no single block has room for: what fits goes where there is room, what has to wait is spread
 * by the blocks' sizes. Jobs whose tasks are bound to each other by zone stay in one block.
 */
export function spread(spec: JobSpec, rooms: Room[]): Part[] {
  const best = rooms[0];
  if (!best) return [];
  if (spec.oneZone || spec.spread || spec.tasks === 1)
    return [{ block: best.block, first: 0, count: spec.tasks }];
  const counts = new Map<number, number>();
  let left = spec.tasks;
  for (const room of rooms) {
    const take = Math.min(left, Math.max(0, room.free));
    counts.set(room.block, take);
    left -= take;
  }
  const weight = (room: Room): number => room.size + 1;
  const total = rooms.reduce((sum, room) => sum + weight(room), 0);
  let rest = left;
  for (const [i, room] of rooms.entries()) {
    const take = i === rooms.length - 1 ? rest : Math.min(rest, Math.round((left * weight(room)) / total));
    counts.set(room.block, (counts.get(room.block) ?? 0) + take);
    rest -= take;
  }
  const parts: Part[] = [];
  let first = 0;
  for (const [block, count] of counts) {
    if (count > 0) parts.push({ block, first, count });
    first += count;
  }
  return parts;
}
