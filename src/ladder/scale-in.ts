/** Selects the machines to drain when a pool is scaled in. */
import type { Resources } from '../model/types.js';
import type { LeasedMachine } from '../wire/block-records.js';
import type { Pool } from './pools.js';
import { slotsOf } from './slots.js';

/** Minimum charge period in ms. If a machine is released earlier, the whole period is charged anyway. */
const minChargeMs = 60_000;

/** The state from which the machines to drain are selected. */
export interface ScaleInState {
  /** Resources occupied by tasks, by machine id. Machines without tasks are not included. */
  loads: ReadonlyMap<string, Resources>;
  /** The share of a machine's dominant resource that one slot represents. */
  slotShare: number;
  /** Wall-clock time in ms since the epoch. */
  now: number;
}

/**
 * Selects at most `count` machines of the pool, the least loaded first. Machines within their minimum charge
 * period are not selected. Of equally loaded machines, the last by name is selected first, because tasks are
 * placed on machines in the order of their names.
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
