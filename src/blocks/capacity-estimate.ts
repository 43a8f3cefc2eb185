import { type JobSpec, type MachineType, type Resources, fits, taskKind } from '../model/types.js';
import type { JobIndex } from '../placement/job-index.js';
import type { BlockRecord, LeasedMachine } from '../wire/block-records.js';
import type { TaskRange } from '../wire/job-records.js';

/** What a block can still take of a job. */
export interface BlockSlots {
  block: number;
  /** Tasks that fit into what is free now, less what already waits there. */
  freeSlots: number;
  /** Tasks that fit into its empty machines: its size. */
  totalSlots: number;
}

export interface CapacityInput {
  blocks: ReadonlyMap<number, BlockRecord>;
  isAlive: (label: string) => boolean;
  machineTypes: ReadonlyMap<string, MachineType>;
  jobIndex: JobIndex;
  /** It has come up: tasks can start on it. */
  isBooted: (machine: LeasedMachine) => boolean;
  /** How much more than fits now a block may hold, as a share of its size, so that it need not wait to be dispatched to. */
  lookahead: number;
}

/** What waits in a block at the most, as a share of its size, beside what it has room for. */
const maxLookahead = 1;
const noResources: Resources = { cpus: 0, accelerators: 0, memoryGb: 0 };

/** The blocks' room for jobs at one moment; what is dispatched in the meantime is taken off it. */
export class CapacityEstimate {
  private readonly usedByMachine: ReadonlyMap<string, Resources>;
  /** Room by kind of task, before what waits: walking all machines for each of many jobs would take too long. */
  private readonly slotsByTaskKind = new Map<string, (BlockSlots & { spot: boolean })[]>();
  /** CPUs of tasks that wait in a block, by the kind of machine that they wait for. */
  private readonly waitingCpus = new Map<string, number>();

  constructor(private readonly facts: CapacityInput) {
    this.usedByMachine = facts.jobIndex.machineLoads();
    for (const job of facts.jobIndex.jobs.values()) {
      for (const { block, count } of facts.jobIndex.waitingByBlock(job)) {
        if (block !== undefined) this.reserve(job.spec, block, count);
      }
    }
  }

  /** Roomiest first. Blocks whose owner is gone have none, unless all owners are. */
  slotsByBlock(spec: JobSpec): BlockSlots[] {
    const key = taskKind(spec);
    let kind = this.slotsByTaskKind.get(key);
    if (!kind) this.slotsByTaskKind.set(key, (kind = this.measureSlots(spec)));
    const capacities = kind.map(({ block, freeSlots, totalSlots }) => {
      const waiting = (this.waitingCpus.get(waitingKey(spec, block)) ?? 0) / Math.max(spec.cpus, 1e-3);
      return { block, freeSlots: Math.floor(freeSlots - waiting), totalSlots: totalSlots };
    });
    return capacities.sort(
      (a, b) => b.freeSlots - a.freeSlots || b.totalSlots - a.totalSlots || a.block - b.block,
    );
  }

  private measureSlots(spec: JobSpec): (BlockSlots & { spot: boolean })[] {
    const { blocks, isAlive, machineTypes, lookahead, isBooted } = this.facts;
    const all = [...blocks];
    const served = all.filter(([, record]) => isAlive(record.owner));
    return (served.length > 0 ? served : all).map(([block, record]) => {
      const machines = record.machines.filter((m) => !m.draining && isEligible(spec, m));
      // Work that may use cheap machines leaves the others alone as long as there are cheap ones.
      const cheap = spec.spot ? machines.filter((m) => m.spot) : [];
      let freeSlots = 0;
      let totalSlots = 0;
      for (const machine of cheap.length > 0 ? cheap : machines) {
        const type = machineTypes.get(machine.type);
        if (!type) continue;
        totalSlots += slotsIn(spec, type);
        const used = this.usedByMachine.get(machine.id) ?? noResources;
        if (used === noResources && !isBooted(machine)) continue;
        freeSlots += slotsIn(spec, {
          cpus: type.cpus - used.cpus,
          accelerators: type.accelerators - used.accelerators,
          memoryGb: type.memoryGb - used.memoryGb,
        });
      }
      return { block, freeSlots: freeSlots + totalSlots * lookahead, totalSlots, spot: spec.spot };
    });
  }

  /**
   * The more waits beyond what all blocks have room for, the more each is given ahead: there is work for all of them until
   * it is done, and each dispatch is a change of the store.
   */
  extendLookahead(backlog: Iterable<{ spec: JobSpec; tasks: number }>): void {
    const waiting = new Map<boolean, number>();
    const sizes = new Map<boolean, number>();
    for (const { spec, tasks } of backlog) {
      const size = this.slotsByBlock(spec).reduce((sum, room) => sum + room.totalSlots, 0);
      waiting.set(spec.spot, (waiting.get(spec.spot) ?? 0) + tasks / Math.max(1, size));
      sizes.set(spec.spot, size);
    }
    const { lookahead } = this.facts;
    for (const kind of this.slotsByTaskKind.values()) {
      for (const room of kind) {
        const depth = Math.min(maxLookahead, waiting.get(room.spot) ?? 0);
        if (depth > lookahead) room.freeSlots += room.totalSlots * (depth - lookahead);
      }
    }
  }

  reserve(spec: JobSpec, block: number, count: number): void {
    const key = waitingKey(spec, block);
    this.waitingCpus.set(key, (this.waitingCpus.get(key) ?? 0) + count * spec.cpus);
  }

  /** The one block that has room for the whole job now, or none; of several a preferred one, else the roomiest. */
  findWholeJobBlock(
    spec: JobSpec,
    prefers: (block: number) => boolean = () => false,
  ): TaskRange[] | undefined {
    const fitting = this.slotsByBlock(spec).filter((room) => room.freeSlots >= spec.tasks);
    const best = fitting.find((room) => prefers(room.block)) ?? fitting[0];
    return best && [{ block: best.block, first: 0, count: spec.tasks }];
  }

  /** All tasks over all blocks by their sizes, whether or not there is room. */
  divideBySize(spec: JobSpec): TaskRange[] {
    const capacities = this.slotsByBlock(spec);
    const best = capacities[0];
    if (!best) return [];
    if (isZoneConstrained(spec)) return [{ block: best.block, first: 0, count: spec.tasks }];
    const total = capacities.reduce((sum, room) => sum + room.totalSlots + 1, 0);
    const parts: TaskRange[] = [];
    let first = 0;
    for (const [i, room] of capacities.entries()) {
      const rest = spec.tasks - first;
      const count =
        i === capacities.length - 1
          ? rest
          : Math.min(rest, Math.round((spec.tasks * (room.totalSlots + 1)) / total));
      if (count > 0) parts.push({ block: room.block, first, count });
      first += count;
    }
    return parts;
  }

  /**
   * Dispatches tasks that no block has yet to where there is room for them, and takes that room. Undefined: there is none.
   * `most`: how many parts the job may have.
   */
  dispatch(spec: JobSpec, parts: TaskRange[], most = Infinity): TaskRange[] | undefined {
    const capacities = this.slotsByBlock(spec);
    if (isZoneConstrained(spec)) {
      const best = capacities[0];
      // Tasks that are bound to each other by zone go to one block, all of them, as soon as any could start.
      if (parts.length > 0 || !best || best.freeSlots <= 0) return undefined;
      this.reserve(spec, best.block, spec.tasks);
      return [{ block: best.block, first: 0, count: spec.tasks }];
    }
    const gaps = undispatchedRanges(parts, spec.tasks);
    const more: TaskRange[] = [];
    for (const room of capacities) {
      let free = room.freeSlots;
      while (free > 0) {
        const gap = gaps[0];
        if (!gap) break;
        const count = Math.min(free, gap.count);
        more.push({ block: room.block, first: gap.first, count });
        this.reserve(spec, room.block, count);
        free -= count;
        gap.first += count;
        gap.count -= count;
        if (gap.count === 0) gaps.shift();
      }
    }
    return more.length > 0 ? limitTaskRanges(parts, more, most, spec.tasks) : undefined;
  }
}

/** The parts with as many of the further ones as there may be; where there is no place for any, a neighbour gets a gap. */
function limitTaskRanges(parts: TaskRange[], more: TaskRange[], most: number, tasks: number): TaskRange[] {
  for (let taken = more.length; taken > 0; taken--) {
    const merged = mergeTaskRanges([...parts, ...more.slice(0, taken)]);
    if (merged.length <= most) return merged;
  }
  const [gap] = undispatchedRanges(parts, tasks);
  const neighbour = parts.find((part) => part.first + part.count === gap?.first) ?? parts[0];
  return gap && neighbour ? mergeTaskRanges([...parts, { block: neighbour.block, ...gap }]) : parts;
}

/** Tasks whose zones depend on each other. */
export function isZoneConstrained(spec: Pick<JobSpec, 'colocated' | 'spread'>): boolean {
  return spec.colocated || spec.spread;
}

/** The tasks that no range covers. */
export function undispatchedRanges(parts: TaskRange[], tasks: number): { first: number; count: number }[] {
  const gaps: { first: number; count: number }[] = [];
  let at = 0;
  for (const { first, count } of [...parts].sort((a, b) => a.first - b.first)) {
    if (first > at) gaps.push({ first: at, count: first - at });
    at = Math.max(at, first + count);
  }
  if (at < tasks) gaps.push({ first: at, count: tasks - at });
  return gaps;
}

export function countUndispatchedTasks(parts: TaskRange[], tasks: number): number {
  return undispatchedRanges(parts, tasks).reduce((sum, gap) => sum + gap.count, 0);
}

/** Joins neighbouring ranges of the same block; the order of the first stays, since its block asks for the end. */
export function mergeTaskRanges(parts: TaskRange[]): TaskRange[] {
  const merged: TaskRange[] = [];
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

function waitingKey(spec: JobSpec, block: number): string {
  return `${block}/${spec.spot ? 'spot' : 'ordinary'}`;
}

function slotsIn(need: Resources, free: Resources): number {
  if (!fits(need, free)) return 0;
  const ratios = [
    need.cpus > 0 ? free.cpus / need.cpus : Infinity,
    need.accelerators > 0 ? free.accelerators / need.accelerators : Infinity,
    need.memoryGb > 0 ? free.memoryGb / need.memoryGb : Infinity,
  ];
  return Math.min(1e6, Math.floor(Math.min(...ratios) + 1e-6));
}

function isEligible(spec: JobSpec, machine: LeasedMachine): boolean {
  return (
    (spec.machineTypes === null || spec.machineTypes.includes(machine.type)) &&
    (spec.zone === null || spec.zone === machine.zone) &&
    (spec.spot || !machine.spot)
  );
}
