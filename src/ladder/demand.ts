/** Counting of demand: which work counts for which pool, in slots. */
import { type JobSpec, type Resources, taskKind, withinLimit } from '../model/types.js';
import type { IndexedJob, JobIndex } from '../placement/job-index.js';
import { needOf } from '../placement/ledger-index.js';
import type { QueueOrder } from '../placement/queue-order.js';
import { TeamUsage } from '../placement/team-usage.js';
import type { Team } from '../settings/settings.js';
import type { LeasedMachine } from '../wire/block-records.js';
import { eligiblePools, type Pool, poolKey } from './pools.js';
import { slotsOf, slotsPerMachine } from './slots.js';

/** What the count is made from. */
export interface DemandInputs {
  jobIndex: JobIndex;
  order: QueueOrder;
  /** Time of day in ms. */
  now: number;
  machines: ReadonlyMap<string, LeasedMachine>;
  /** Fresh pools, of which nothing is counted yet. */
  pools: ReadonlyMap<string, Pool>;
  teams: ReadonlyMap<string, Team>;
  /** The share of a machine that one slot stands for. */
  slotShare: number;
}

/**
 * Fills in the counted slots of each pool: tasks on its machines, and waiting tasks that their team's limit admits.
 * Waiting tasks fill the eligible pools in the order of price and go on to the next where the cloud gives no more.
 */
export function countDemand(inputs: DemandInputs): void {
  const usage = new TeamUsage();
  countActiveTasks(inputs, usage);
  countWaitingTasks(inputs, usage);
}

function countActiveTasks({ jobIndex, machines, pools, slotShare }: DemandInputs, usage: TeamUsage): void {
  for (const { entry, machine: id } of jobIndex.activeTasks()) {
    usage.add(entry.team, entry);
    const machine = machines.get(id);
    const pool = machine && pools.get(poolKey(machine.type, machine.spot));
    if (pool) pool.countedSlots += slotsOf(entry, pool.type, slotShare);
  }
}

function countWaitingTasks(inputs: DemandInputs, usage: TeamUsage): void {
  const { jobIndex, pools, slotShare } = inputs;
  // There are far fewer kinds of tasks than jobs.
  const poolsByKind = new Map<string, Pool[]>();
  const poolsFor = (spec: JobSpec): Pool[] => {
    const kind = taskKind(spec);
    let eligible = poolsByKind.get(kind);
    if (!eligible) poolsByKind.set(kind, (eligible = eligiblePools(spec, pools.values())));
    return eligible;
  };
  for (const job of jobsToCount(inputs)) {
    const need = needOf(job.spec);
    let left = admittedTasks(job, inputs, usage);
    usage.add(job.spec.team, need, left);
    const eligible = poolsFor(job.spec);
    for (const { block, count } of jobIndex.waitingByBlock(job)) {
      const tasks = Math.min(left, count);
      countWaiting({ need, tasks, block }, eligible, slotShare);
      left -= tasks;
    }
  }
}

/** Sorted only where it matters: the order decides whose tasks are admitted below a limit. */
function jobsToCount({ jobIndex, order, now, teams }: DemandInputs): Iterable<IndexedJob> {
  const anyLimit = [...teams.values()].some((team) => team.cpusMax > 0 || team.acceleratorsMax > 0);
  return anyLimit ? jobIndex.inQueueOrder(order, now) : jobIndex.jobs.values();
}

interface WaitingTasks {
  need: Resources;
  tasks: number;
  /** Undefined: dispatched to no block yet. */
  block: number | undefined;
}

function countWaiting({ need, tasks, block }: WaitingTasks, eligible: Pool[], slotShare: number): void {
  let left = tasks;
  for (const pool of eligible) {
    if (left <= 0) break;
    const slotsPerTask = slotsOf(need, pool.type, slotShare);
    // What no pool has room for still counts for the last one, so that its ladder does not scale in under it.
    const counted =
      pool === eligible.at(-1) ? left : Math.min(left, Math.floor(freeSlots(pool, slotShare) / slotsPerTask));
    addWaiting(pool, block, counted * slotsPerTask);
    left -= counted;
  }
}

/** Unlimited where the cloud gives more machines. */
function freeSlots(pool: Pool, slotShare: number): number {
  if (!pool.exhausted) return Infinity;
  return Math.max(0, pool.machines.length * slotsPerMachine(slotShare) - pool.countedSlots);
}

function addWaiting(pool: Pool, block: number | undefined, slots: number): void {
  pool.countedSlots += slots;
  if (block === undefined) pool.undispatchedSlots += slots;
  else pool.waitingSlotsByBlock.set(block, (pool.waitingSlotsByBlock.get(block) ?? 0) + slots);
}

/** How many of the job's waiting tasks its team's limit admits beside what the team uses already. */
function admittedTasks(job: IndexedJob, { teams, jobIndex }: DemandInputs, usage: TeamUsage): number {
  const { spec } = job;
  const team = teams.get(spec.team);
  if (!team) return 0;
  const used = usage.usedBy(team.name);
  const { done, active } = jobIndex.progress(job.id);
  let count = Math.max(0, spec.tasks - done - active);
  if (!withinLimit(used.cpus, spec.cpus * count, team.cpusMax)) {
    count = tasksWithin(team.cpusMax - used.cpus, spec.cpus);
  }
  if (!withinLimit(used.accelerators, spec.accelerators * count, team.acceleratorsMax)) {
    count = Math.min(count, tasksWithin(team.acceleratorsMax - used.accelerators, spec.accelerators));
  }
  return count;
}

function tasksWithin(free: number, perTask: number): number {
  return perTask > 0 ? Math.max(0, Math.floor(free / perTask)) : 0;
}
