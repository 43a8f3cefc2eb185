import { type JobSpec, type MachineType, type Resources, fits, taskKind } from '../model/types.js';
import type { JobIndex } from '../placement/job-index.js';
import type { BlockRecord, LeasedMachine } from '../wire/block-records.js';
import type { Part } from '../wire/job-records.js';

/** What a block can still take of a job. */
export interface BlockRoom {
  block: number;
  /** Tasks that fit into what is free now, less what already waits there. */
  free: number;
  /** Tasks that fit into its empty machines: its size. */
  size: number;
}

export interface CapacityFacts {
  blocks: ReadonlyMap<number, BlockRecord>;
  alive: (label: string) => boolean;
  types: ReadonlyMap<string, MachineType>;
  jobIndex: JobIndex;
  /** It has come up: tasks can start on it. */
  up: (machine: LeasedMachine) => boolean;
  /** How much more than fits now a block may hold, as a share of its size, so that it need not wait to be dispatched to. */
  lookahead: number;
}

/** What waits in a block at the most, as a share of its size, beside what it has room for. */
const mostAhead = 1;
const none: Resources = { cpus: 0, accelerators: 0, memoryGb: 0 };

/** The blocks' room for jobs at one moment; what is dispatched in the meantime is taken off it. */
export class BlockCapacity {
  private readonly used: ReadonlyMap<string, Resources>;
  /** Room by kind of task, before what waits: walking all machines for each of many jobs would take too long. */
  private readonly byKind = new Map<string, (BlockRoom & { spot: boolean })[]>();
  /** CPUs of tasks that wait in a block, by the kind of machine that they wait for. */
  private readonly waitingCpus = new Map<string, number>();

  constructor(private readonly facts: CapacityFacts) {
    this.used = facts.jobIndex.loads();
    for (const job of facts.jobIndex.jobs.values()) {
      for (const { block, count } of facts.jobIndex.waiting(job)) {
        if (block !== undefined) this.take(job.spec, block, count);
      }
    }
  }

  /** Roomiest first. Blocks whose owner is gone have none, unless all owners are. */
  of(spec: JobSpec): BlockRoom[] {
    const key = taskKind(spec);
    let kind = this.byKind.get(key);
    if (!kind) this.byKind.set(key, (kind = this.measure(spec)));
    const capacities = kind.map(({ block, free, size }) => {
      const waiting = (this.waitingCpus.get(kindKey(spec, block)) ?? 0) / Math.max(spec.cpus, 1e-3);
      return { block, free: Math.floor(free - waiting), size };
    });
    return capacities.sort((a, b) => b.free - a.free || b.size - a.size || a.block - b.block);
  }

  private measure(spec: JobSpec): (BlockRoom & { spot: boolean })[] {
    const { blocks, alive, types, lookahead, up } = this.facts;
    const all = [...blocks];
    const served = all.filter(([, record]) => alive(record.owner));
    return (served.length > 0 ? served : all).map(([block, record]) => {
      const machines = record.machines.filter((m) => !m.leaving && mayUse(spec, m));
      // Work that may use cheap machines leaves the others alone as long as there are cheap ones.
      const cheap = spec.spot ? machines.filter((m) => m.spot) : [];
      let free = 0;
      let size = 0;
      for (const machine of cheap.length > 0 ? cheap : machines) {
        const type = types.get(machine.type);
        if (!type) continue;
        size += tasksIn(spec, type);
        const used = this.used.get(machine.id) ?? none;
        if (used === none && !up(machine)) continue;
        free += tasksIn(spec, {
          cpus: type.cpus - used.cpus,
          accelerators: type.accelerators - used.accelerators,
          memoryGb: type.memoryGb - used.memoryGb,
        });
      }
      return { block, free: free + size * lookahead, size, spot: spec.spot };
    });
  }

  /**
   * The more waits beyond what all blocks have room for, the more each is given ahead: there is work for all of them until
   * it is done, and each dispatch is a change of the store.
   */
  deepen(backlog: Iterable<{ spec: JobSpec; tasks: number }>): void {
    const waiting = new Map<boolean, number>();
    const sizes = new Map<boolean, number>();
    for (const { spec, tasks } of backlog) {
      const size = this.of(spec).reduce((sum, room) => sum + room.size, 0);
      waiting.set(spec.spot, (waiting.get(spec.spot) ?? 0) + tasks / Math.max(1, size));
      sizes.set(spec.spot, size);
    }
    const { lookahead } = this.facts;
    for (const kind of this.byKind.values()) {
      for (const room of kind) {
        const depth = Math.min(mostAhead, waiting.get(room.spot) ?? 0);
        if (depth > lookahead) room.free += room.size * (depth - lookahead);
      }
    }
  }

  take(spec: JobSpec, block: number, count: number): void {
    const key = kindKey(spec, block);
    this.waitingCpus.set(key, (this.waitingCpus.get(key) ?? 0) + count * spec.cpus);
  }

  /** The one block that has room for the whole job now, or none; of several a preferred one, else the roomiest. */
  whole(spec: JobSpec, prefers: (block: number) => boolean = () => false): Part[] | undefined {
    const fitting = this.of(spec).filter((room) => room.free >= spec.tasks);
    const best = fitting.find((room) => prefers(room.block)) ?? fitting[0];
    return best && [{ block: best.block, first: 0, count: spec.tasks }];
  }

  /** All tasks over all blocks by their sizes, whether or not there is room. */
  bySize(spec: JobSpec): Part[] {
    const capacities = this.of(spec);
    const best = capacities[0];
    if (!best) return [];
    if (bound(spec)) return [{ block: best.block, first: 0, count: spec.tasks }];
    const total = capacities.reduce((sum, room) => sum + room.size + 1, 0);
    const parts: Part[] = [];
    let first = 0;
    for (const [i, room] of capacities.entries()) {
      const rest = spec.tasks - first;
      const count =
        i === capacities.length - 1
          ? rest
          : Math.min(rest, Math.round((spec.tasks * (room.size + 1)) / total));
      if (count > 0) parts.push({ block: room.block, first, count });
      first += count;
    }
    return parts;
  }

  /**
   * Dispatches tasks that no block has yet to where there is room for them, and takes that room. Undefined: there is none.
   * `most`: how many parts the job may have.
   */
  dispatch(spec: JobSpec, parts: Part[], most = Infinity): Part[] | undefined {
    const capacities = this.of(spec);
    if (bound(spec)) {
      const best = capacities[0];
      // Tasks that are bound to each other by zone go to one block, all of them, as soon as any could start.
      if (parts.length > 0 || !best || best.free <= 0) return undefined;
      this.take(spec, best.block, spec.tasks);
      return [{ block: best.block, first: 0, count: spec.tasks }];
    }
    const gaps = undispatched(parts, spec.tasks);
    const more: Part[] = [];
    for (const room of capacities) {
      let free = room.free;
      while (free > 0) {
        const gap = gaps[0];
        if (!gap) break;
        const count = Math.min(free, gap.count);
        more.push({ block: room.block, first: gap.first, count });
        this.take(spec, room.block, count);
        free -= count;
        gap.first += count;
        gap.count -= count;
        if (gap.count === 0) gaps.shift();
      }
    }
    return more.length > 0 ? withinMost(parts, more, most, spec.tasks) : undefined;
  }
}

/** The parts with as many of the further ones as there may be; where there is no place for any, a neighbour gets a gap. */
function withinMost(parts: Part[], more: Part[], most: number, tasks: number): Part[] {
  for (let taken = more.length; taken > 0; taken--) {
    const merged = mergeParts([...parts, ...more.slice(0, taken)]);
    if (merged.length <= most) return merged;
  }
  const [gap] = undispatched(parts, tasks);
  const neighbour = parts.find((part) => part.first + part.count === gap?.first) ?? parts[0];
  return gap && neighbour ? mergeParts([...parts, { block: neighbour.block, ...gap }]) : parts;
}

/** Tasks whose zones depend on each other. */
export function bound(spec: Pick<JobSpec, 'oneZone' | 'spread'>): boolean {
  return spec.oneZone || spec.spread;
}

/** The tasks that no range covers. */
export function undispatched(parts: Part[], tasks: number): { first: number; count: number }[] {
  const gaps: { first: number; count: number }[] = [];
  let at = 0;
  for (const { first, count } of [...parts].sort((a, b) => a.first - b.first)) {
    if (first > at) gaps.push({ first: at, count: first - at });
    at = Math.max(at, first + count);
  }
  if (at < tasks) gaps.push({ first: at, count: tasks - at });
  return gaps;
}

export function undispatchedTasks(parts: Part[], tasks: number): number {
  return undispatched(parts, tasks).reduce((sum, gap) => sum + gap.count, 0);
}

/** Joins neighbouring ranges of the same block; the order of the first stays, since its block asks for the end. */
export function mergeParts(parts: Part[]): Part[] {
  const merged: Part[] = [];
  for (const part of parts) {
    const before = merged.find((m) => m.block === part.block && m.first + m.count === part.first);
    const after = merged.find((m) => m.block === part.block && part.first + part.count === m.first);
    if (before) before.count += part.count;
    else if (after) {
      after.first = part.first;
      after.count += part.count;
    } else merged.push({ ...part });
  }
  return merged;
}

function kindKey(spec: JobSpec, block: number): string {
  return `${block}/${spec.spot ? 'spot' : 'ordinary'}`;
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
