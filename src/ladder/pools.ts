/**
 * Pools: a pool contains the machines of one type and kind (spot or ordinary). Each pool is scaled by its own
 * ladder of thresholds.
 */
import { fits, type JobSpec, type MachineType } from '../model/types.js';
import type { LeasedMachine } from '../wire/block-records.js';

/** The machines of one type and kind and the demand counted for them, at one evaluation of the autoscaler. */
export interface Pool {
  /** Identifies the pool. Also part of the key of the pool's ladder record in the store. */
  key: string;
  type: MachineType;
  spot: boolean;
  /** Machines that are booting or running, and are not draining. */
  machines: LeasedMachine[];
  draining: LeasedMachine[];
  /**
   * True if the cloud has refused machines for this pool in every zone. No rental request is sent until the
   * back-off in one of the zones ends.
   */
  exhausted: boolean;
  /**
   * Slots of the tasks on the pool's machines and of all waiting tasks that count for the pool, dispatched or
   * not.
   */
  countedSlots: number;
  /** Slots of the waiting tasks that were dispatched to a block, by block number. */
  waitingSlotsByBlock: Map<number, number>;
  /** Slots of the waiting tasks that are not dispatched to a block yet. */
  undispatchedSlots: number;
}

/** Returns the key of the pool for this machine type and kind. */
export function poolKey(type: string, spot: boolean): string {
  return `${type}/${spot ? 'spot' : 'ordinary'}`;
}

/**
 * Creates two pools for each type, ordinary and spot, with slot counts of zero. Machines of unknown types are
 * ignored.
 */
export function buildPools(
  types: Iterable<MachineType>,
  machines: Iterable<LeasedMachine>,
  isDraining: (machine: LeasedMachine) => boolean,
  isExhausted: (type: MachineType, spot: boolean) => boolean,
): Map<string, Pool> {
  const pools = new Map<string, Pool>();
  for (const type of types) {
    for (const spot of [false, true]) {
      pools.set(poolKey(type.name, spot), emptyPool(type, spot, isExhausted(type, spot)));
    }
  }
  for (const machine of machines) {
    const pool = pools.get(poolKey(machine.type, machine.spot));
    if (!pool) continue;
    const group = isDraining(machine) ? pool.draining : pool.machines;
    group.push(machine);
  }
  return pools;
}

function emptyPool(type: MachineType, spot: boolean, exhausted: boolean): Pool {
  return {
    key: poolKey(type.name, spot),
    type,
    spot,
    machines: [],
    draining: [],
    exhausted,
    countedSlots: 0,
    waitingSlotsByBlock: new Map(),
    undispatchedSlots: 0,
  };
}

/**
 * Returns the pools whose machines may run the job's tasks, sorted by the price of one task, the cheapest
 * first. For a job that may use spot machines, only spot pools are returned, unless all of them are exhausted
 * and contain no machines. Ordinary machines thus remain available for the jobs that need them.
 */
export function eligiblePools(spec: JobSpec, pools: Iterable<Pool>): Pool[] {
  const eligible = [...pools].filter((pool) => mayRunOn(spec, pool));
  const spotPools = eligible.filter((pool) => pool.spot);
  const noSpotAvailable = spotPools.every((pool) => pool.exhausted && pool.machines.length === 0);
  const chosen = spec.spot && !noSpotAvailable ? spotPools : eligible;
  return chosen.sort((a, b) => taskPrice(spec, a) - taskPrice(spec, b) || (a.key < b.key ? -1 : 1));
}

function mayRunOn(spec: JobSpec, { type, spot }: Pool): boolean {
  return (
    (spec.spot || !spot) &&
    (spec.machineTypes === null || spec.machineTypes.includes(type.name)) &&
    (spec.zone === null || type.zones.includes(spec.zone)) &&
    fits(spec, type)
  );
}

/** Returns the price of the share of a machine that one task of the job occupies. */
function taskPrice(spec: JobSpec, { type, spot }: Pool): number {
  const price = spot ? type.spotPrice : type.price;
  return price * Math.max(spec.cpus / type.cpus, spec.memoryGb / type.memoryGb);
}
