import {
  type JobSpec,
  type MachineType,
  type Resources,
  fits,
  taskKind,
  withinLimit,
} from '../model/types.js';
import { type JobIndex, type IndexedJob, needOf } from '../placement/job-index.js';
import type { QueueOrder } from '../placement/queue-order.js';
import { TeamUsage } from '../placement/placement-round.js';
import type { Team } from '../settings/settings.js';
import type { LeasedMachine } from '../wire/block-records.js';
import { type LadderShape, slotsOf, slotsPerMachine } from './ladder.js';

/** All machines of one type and kind: each such pool has a ladder of its own. */
export interface Pool {
  key: string;
  type: MachineType;
  spot: boolean;
  /** Up or booting, and not on their way out. */
  machines: LeasedMachine[];
  leaving: LeasedMachine[];
  /** The cloud refuses more of it, in every zone, for now. */
  exhausted: boolean;
  counted: number;
  /** Counted slots of waiting tasks, by block; work that no block has yet counts as block -1. */
  waiting: Map<number, number>;
}

export function poolKey(type: string, spot: boolean): string {
  return `${type}/${spot ? 'spot' : 'ordinary'}`;
}

export function buildPools(
  types: Iterable<MachineType>,
  machines: Iterable<LeasedMachine>,
  leaving: (machine: LeasedMachine) => boolean,
  exhausted: (type: MachineType, spot: boolean) => boolean,
): Map<string, Pool> {
  const pools = new Map<string, Pool>();
  for (const type of types) {
    for (const spot of [false, true]) {
      const key = poolKey(type.name, spot);
      const none = { machines: [], leaving: [], counted: 0, waiting: new Map<number, number>() };
      pools.set(key, { key, type, spot, exhausted: exhausted(type, spot), ...none });
    }
  }
  for (const machine of machines) {
    const pool = pools.get(poolKey(machine.type, machine.spot));
    if (pool) (leaving(machine) ? pool.leaving : pool.machines).push(machine);
  }
  return pools;
}

/** Pools that may serve the job, cheapest first. Cheap machines leave ordinary ones to work that needs them. */
export function eligiblePools(spec: JobSpec, pools: Iterable<Pool>): Pool[] {
  const eligible = [...pools].filter(
    (pool) =>
      (spec.spot || !pool.spot) &&
      (spec.machineTypes === null || spec.machineTypes.includes(pool.type.name)) &&
      (spec.zone === null || pool.type.zones.includes(spec.zone)) &&
      fits(spec, pool.type),
  );
  const cost = (pool: Pool): number => {
    const price = pool.spot ? pool.type.spotPrice : pool.type.price;
    return price * Math.max(spec.cpus / pool.type.cpus, spec.memoryGb / pool.type.memoryGb);
  };
  const spot = eligible.filter((pool) => pool.spot);
  const dry = spot.every((pool) => pool.exhausted && pool.machines.length === 0);
  const chosen = spec.spot && !dry ? spot : eligible;
  return chosen.sort((a, b) => cost(a) - cost(b) || (a.key < b.key ? -1 : 1));
}

export interface DemandInputs {
  jobIndex: JobIndex;
  order: QueueOrder;
  /** The time of day. */
  now: number;
  machines: ReadonlyMap<string, LeasedMachine>;
  pools: ReadonlyMap<string, Pool>;
  teams: ReadonlyMap<string, Team>;
  shape: LadderShape;
}

/** Fills in each pool's counted slots: tasks on machines, and waiting ones that their team's limit admits. */
export function countDemand(inputs: DemandInputs): void {
  const { pools, shape, jobIndex } = inputs;
  const usage = new TeamUsage();
  for (const { page, machine: id } of jobIndex.activeTasks()) {
    usage.add(page.team, page);
    const machine = inputs.machines.get(id);
    const pool = machine && pools.get(poolKey(machine.type, machine.spot));
    if (pool) pool.counted += slotsOf(page, pool.type, shape);
  }
  // The order decides only who is admitted below a limit.
  const limited = [...inputs.teams.values()].some((team) => team.cpusMax > 0 || team.acceleratorsMax > 0);
  // There are far fewer kinds of tasks than jobs.
  const choicesByKind = new Map<string, Pool[]>();
  for (const job of limited ? jobIndex.inQueueOrder(inputs.order, inputs.now) : jobIndex.jobs.values()) {
    const need = needOf(job.spec);
    let left = admittedTasks(job, inputs, usage);
    usage.add(job.spec.team, need, left);
    const kind = taskKind(job.spec);
    const choices = choicesByKind.get(kind) ?? eligiblePools(job.spec, pools.values());
    choicesByKind.set(kind, choices);
    for (const { block, count } of jobIndex.waitingByBlock(job)) {
      left -= countWaiting(choices, need, Math.min(left, count), block ?? -1, shape);
    }
  }
}

function countWaiting(
  choices: Pool[],
  need: Resources,
  count: number,
  block: number,
  shape: LadderShape,
): number {
  let left = count;
  for (const pool of choices) {
    if (left <= 0) break;
    const each = slotsOf(need, pool.type, shape);
    const room = pool.exhausted
      ? Math.max(0, pool.machines.length * slotsPerMachine(shape) - pool.counted)
      : Infinity;
    // What no pool has room for still counts somewhere, so that the ladder does not give back under it.
    const take = pool === choices.at(-1) ? left : Math.min(left, Math.floor(room / each));
    pool.counted += take * each;
    pool.waiting.set(block, (pool.waiting.get(block) ?? 0) + take * each);
    left -= take;
  }
  return count;
}

function admittedTasks(job: IndexedJob, inputs: DemandInputs, usage: TeamUsage): number {
  const { spec } = job;
  const team = inputs.teams.get(spec.team);
  if (!team) return 0;
  const used = usage.usedBy(team.name);
  const { done, active } = inputs.jobIndex.progress(job.id);
  let count = Math.max(0, spec.tasks - done - active);
  if (!withinLimit(used.cpus, spec.cpus * count, team.cpusMax))
    count = tasksWithin(team.cpusMax - used.cpus, spec.cpus);
  if (!withinLimit(used.accelerators, spec.accelerators * count, team.acceleratorsMax)) {
    count = Math.min(count, tasksWithin(team.acceleratorsMax - used.accelerators, spec.accelerators));
  }
  return count;
}

function tasksWithin(free: number, each: number): number {
  return each > 0 ? Math.max(0, Math.floor(free / each)) : 0;
}
