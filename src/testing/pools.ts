/**
 * Creates machine types, machines and pools for the tests of the autoscaler. A pool consists of the
 * machines of one type and kind (spot or ordinary) and of the tasks that count as demand for these machines.
 */
import type { Pool } from '../ladder/pools.js';
import type { MachineType } from '../model/types.js';
import type { LeasedMachine } from '../wire/block-records.js';

export function machineType(change: Partial<MachineType> = {}): MachineType {
  return {
    name: 'c8',
    cpus: 8,
    accelerators: 0,
    memoryGb: 32,
    fetchGbPerS: 1,
    price: 4,
    spotPrice: 1,
    bootS: 40,
    zones: ['a', 'b'],
    ...change,
  };
}

export function leasedMachine(id: string, change: Partial<LeasedMachine> = {}): LeasedMachine {
  return {
    id,
    fencingToken: 1,
    type: 'c8',
    zone: 'a',
    spot: false,
    draining: false,
    rentedAt: 0,
    ...change,
  };
}

export function pool(change: Partial<Pool> = {}): Pool {
  return {
    key: 'c8/ordinary',
    type: machineType(),
    spot: false,
    machines: [],
    draining: [],
    exhausted: false,
    countedSlots: 0,
    waitingSlotsByBlock: new Map(),
    undispatchedSlots: 0,
    ...change,
  };
}
