/**
 * Creates machine types, machines, pools and jobs for the tests of the autoscaler. A pool consists of the
 * machines of one type and kind (spot or ordinary) and of the tasks that count as demand for these machines.
 */
import type { Pool } from '../ladder/pools.js';
import type { JobSpec, MachineType } from '../model/types.js';
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

/**
 * Creates a job of team `red`. A slot, the unit of demand, is an eighth of a machine of the type above. Each
 * task needs two slots.
 */
export function jobSpec(id: string, change: Partial<JobSpec> = {}): JobSpec {
  return {
    id,
    jobClass: 'x',
    team: 'red',
    urgency: 'standard',
    tasks: 4,
    cpus: 2,
    accelerators: 0,
    memoryGb: 2,
    image: 'i',
    imageGb: 1,
    machineTypes: null,
    zone: null,
    colocated: false,
    spread: false,
    spot: false,
    estimatedRunS: 10,
    checkpointIntervalS: 0,
    checkpointSaveS: 0,
    deadlineS: null,
    acceptedAt: 0,
    ...change,
  };
}
