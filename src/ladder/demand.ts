/**
 * Computes the demand on each pool, in slots, from running and waiting tasks. A pool contains the machines of
 * one type and kind (spot or ordinary). A slot is the unit of the ladder, a fixed share of a machine's
 * dominant resource (see `slots.ts`), and not the space for one task as in `blocks/capacity-estimate.ts`.
 */
import { type JobSpec, type Resources, taskRequirementsKey, withinLimit } from '../model/types.js';
import type { IndexedJob, JobIndex } from '../placement/job-index.js';
import { taskResourcesOf } from '../placement/ledger-index.js';
import type { QueueOrder } from '../placement/queue-order.js';
import { TeamUsage } from '../placement/team-usage.js';
import type { Team } from '../settings/settings.js';
import type { LeasedMachine } from '../wire/block-records.js';
import { eligiblePools, type Pool, poolKey } from './pools.js';
import { slotsOf, slotsPerMachine } from './slots.js';

/** The inputs of one demand count. */
export interface DemandInputs {
  jobIndex: JobIndex;
  order: QueueOrder;
  /** Wall-clock time in ms since the epoch. */
  now: number;
  machines: ReadonlyMap<string, LeasedMachine>;
  /** The pools whose slot counts are computed. All slot counts must be zero before the count. */
  pools: ReadonlyMap<string, Pool>;
  teams: ReadonlyMap<string, Team>;
  /** The share of a machine that one slot represents. */
  slotShare: number;
}

/**
 * Sets the slot counts of each pool. Counts the tasks on the machines of the pool, and the waiting tasks
 * that are within the limit of their team. Waiting tasks count for the cheapest eligible pool. If the cloud
 * refuses more machines for that pool, the tasks that exceed the pool's free slots count for the next
 * cheapest pool.
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
  // Eligible pools are cached by the requirements of a task, because many jobs have the same requirements.
  const poolsByKind = new Map<string, Pool[]>();
  const poolsFor = (spec: JobSpec): Pool[] => {
    const kind = taskRequirementsKey(spec);
    let eligible = poolsByKind.get(kind);
    if (!eligible) poolsByKind.set(kind, (eligible = eligiblePools(spec, pools.values())));
    return eligible;
  };
  for (const job of jobsToCount(inputs)) {
    const need = taskResourcesOf(job.spec);
    let remaining = admittedTasks(job, inputs, usage);
    usage.add(job.spec.team, need, remaining);
    const eligible = poolsFor(job.spec);
    for (const { block, count } of jobIndex.waitingByBlock(job)) {
      const tasks = Math.min(remaining, count);
      distributeOverPools({ need, tasks, block }, eligible, slotShare);
      remaining -= tasks;
    }
  }
}

/**
 * Returns the jobs to count. The jobs are sorted only if a team has a limit, because the order then
 * determines which tasks are within the limit.
 */
function jobsToCount({ jobIndex, order, now, teams }: DemandInputs): Iterable<IndexedJob> {
  const anyLimit = [...teams.values()].some((team) => team.cpusMax > 0 || team.acceleratorsMax > 0);
  return anyLimit ? jobIndex.inQueueOrder(order, now) : jobIndex.jobs.values();
}

interface WaitingTasks {
  need: Resources;
  tasks: number;
  /** The block that the tasks were dispatched to; undefined if they are not dispatched yet. */
  block: number | undefined;
}

/** Counts waiting tasks for the eligible pools, in the order of the array. */
function distributeOverPools(
  { need, tasks, block }: WaitingTasks,
  eligible: Pool[],
  slotShare: number,
): void {
  let remaining = tasks;
  for (const pool of eligible) {
    if (remaining <= 0) break;
    const slotsPerTask = slotsOf(need, pool.type, slotShare);
    // If all eligible pools are full, the remaining tasks count for the last pool, so that this pool is not
    // scaled in while the tasks wait.
    const counted =
      pool === eligible.at(-1)
        ? remaining
        : Math.min(remaining, Math.floor(freeSlots(pool, slotShare) / slotsPerTask));
    addWaitingSlots(pool, block, counted * slotsPerTask);
    remaining -= counted;
  }
}

/** Returns the free slots of the pool's machines, or Infinity if the cloud does not refuse more machines. */
function freeSlots(pool: Pool, slotShare: number): number {
  if (!pool.exhausted) return Infinity;
  return Math.max(0, pool.machines.length * slotsPerMachine(slotShare) - pool.countedSlots);
}

function addWaitingSlots(pool: Pool, block: number | undefined, slots: number): void {
  pool.countedSlots += slots;
  if (block === undefined) pool.undispatchedSlots += slots;
  else pool.waitingSlotsByBlock.set(block, (pool.waitingSlotsByBlock.get(block) ?? 0) + slots);
}

/** Returns how many waiting tasks of the job fit into the unused part of the team's limit. */
function admittedTasks(job: IndexedJob, { teams, jobIndex }: DemandInputs, usage: TeamUsage): number {
  const { spec } = job;
  const team = teams.get(spec.team);
  if (!team) return 0;
  const used = usage.usedBy(team.name);
  const { done, active } = jobIndex.progress(job.id);
  let count = Math.max(0, spec.tasks - done - active);
  if (!withinLimit(used.cpus, spec.cpus * count, team.cpusMax)) {
    count = tasksThatFit(team.cpusMax - used.cpus, spec.cpus);
  }
  if (!withinLimit(used.accelerators, spec.accelerators * count, team.acceleratorsMax)) {
    count = Math.min(count, tasksThatFit(team.acceleratorsMax - used.accelerators, spec.accelerators));
  }
  return count;
}

function tasksThatFit(free: number, perTask: number): number {
  return perTask > 0 ? Math.max(0, Math.floor(free / perTask)) : 0;
}
