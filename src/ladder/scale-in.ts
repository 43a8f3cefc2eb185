/** Choice of the machines to drain when a pool is scaled in. */
import type { Resources } from '../model/types.js';
import type { LeasedMachine } from '../wire/block-records.js';
import type { Pool } from './pools.js';
import { slotsOf } from './slots.js';

/** Minimum charge period: a machine that is released earlier is still charged for this time. */
const minChargeMs = 60_000;

/** The inputs of the choice. */
export interface ScaleInState {
  /** Resources that tasks occupy, by machine id. Machines without tasks have no entry. */
  loads: ReadonlyMap<string, Resources>;
  /** The share of a machine's dominant resource that one slot represents. */
  slotShare: number;
  /** Time of day in ms. */
  now: number;
}

/**
 * Chooses at most `count` machines of the pool, the least loaded first. Machines within their minimum charge
 * period are not chosen. Placement fills machines in the order of their names, so of equally loaded machines
 * the last by name is chosen first.
 */
export function machinesToDrain(pool: Pool, count: number, state: ScaleInState): LeasedMachine[] {
  const loadOf = ({ id }: LeasedMachine): number => {
    const load = state.loads.get(id);
    return load ? slotsOf(load, pool.type, state.slotShare) : 0;
  };
  return pool.machines
    .filter((machine) => state.now - machine.rentedAt >= minChargeMs)
    .sort((a, b) => loadOf(a) - loadOf(b) || (a.id < b.id ? 1 : -1))
    .slice(0, count);
}
