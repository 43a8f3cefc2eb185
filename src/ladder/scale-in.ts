/** Choice of the machines to drain when a pool is scaled in. */
import type { Resources } from '../model/types.js';
import type { LeasedMachine } from '../wire/block-records.js';
import type { Pool } from './pools.js';
import { slotsOf } from './slots.js';

/** A machine that is released earlier is charged for this long all the same. */
const minChargeMs = 60_000;

/** What the choice is made from. */
export interface ScaleInState {
  /** What the tasks on each machine take; empty machines are not in it. */
  loads: ReadonlyMap<string, Resources>;
  slotShare: number;
  /** Time of day in ms. */
  now: number;
}

/**
 * At most `count` machines of the pool, the least loaded first. Machines that are still within their minimum charge are
 * kept. Placement fills machines in the order of their names, so of equally loaded ones the last goes first.
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
