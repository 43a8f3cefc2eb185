import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { JobSpec } from '../model/types.js';
import { JobIndex } from '../placement/job-index.js';
import { QueueOrder } from '../placement/queue-order.js';
import { jobSpec } from '../testing/job-specs.js';
import { leasedMachine, machineType } from '../testing/pools.js';
import { testSettings } from '../testing/settings.js';
import type { LeasedMachine } from '../wire/block-records.js';
import { jobRecord, type TaskRange } from '../wire/job-records.js';
import { jobKey, ledgerKey } from '../wire/keys.js';
import { type LedgerEntry, ledgerPage } from '../wire/ledger-records.js';
import { countDemand } from './demand.js';
import { buildPools, eligiblePools, type Pool } from './pools.js';

const slotShare = 0.125;

interface DemandCase {
  jobs: { spec: JobSpec; taskRanges?: TaskRange[] }[];
  entries?: LedgerEntry[];
  machines?: LeasedMachine[];
  /** Keys of the pools for which the cloud refuses more machines. */
  exhausted?: string[];
}

/** Counts the demand and returns the pools of one machine type. Each machine provides eight slots. */
function countedPools({ jobs, entries = [], machines = [], exhausted = [] }: DemandCase): Map<string, Pool> {
  const jobIndex = new JobIndex(() => 0);
  const isRefused = (spot: boolean): boolean => exhausted.includes(spot ? 'c8/spot' : 'c8/ordinary');
  const pools = buildPools(
    [machineType()],
    machines,
    () => false,
    (_type, spot) => isRefused(spot),
  );
  const records = jobs.map(({ spec, taskRanges = [] }) => ({
    key: jobKey(spec.id),
    value: jobRecord({ spec, taskRanges }),
  }));
  const page = { key: ledgerKey(0, 0), value: ledgerPage(entries) };
  jobIndex.applyChanges([...records, page].map((item) => ({ ...item, version: 1, deleted: false })));
  countDemand({
    jobIndex,
    order: new QueueOrder([]),
    now: 0,
    machines: new Map(machines.map((machine) => [machine.id, machine])),
    pools,
    teams: testSettings().teams,
    slotShare,
  });
  return pools;
}

function slotCounts(pool: Pool | undefined): unknown {
  return [pool?.countedSlots, [...(pool?.waitingSlotsByBlock ?? [])], pool?.undispatchedSlots];
}

test('running tasks, tasks that wait in a block, and tasks not yet dispatched to a block are all counted', () => {
  const pools = countedPools({
    jobs: [{ spec: jobSpec('req-1', { tasks: 5 }), taskRanges: [{ block: 0, first: 0, count: 3 }] }],
    entries: [
      {
        id: 'req-1',
        chunk: 0,
        team: 'red',
        cpus: 2,
        accelerators: 0,
        memoryGb: 2,
        active: [[0, 1, 'm1']],
        waiting: [],
        done: [],
      },
    ],
    machines: [leasedMachine('m1')],
  });
  // Each task occupies two slots. One task runs, two tasks wait in block 0, and two tasks are not dispatched.
  assert.deepEqual(slotCounts(pools.get('c8/ordinary')), [10, [[0, 4]], 4]);
  assert.deepEqual(slotCounts(pools.get('c8/spot')), [0, [], 0]);
});

test('waiting tasks that exceed the limit of their team are not counted', () => {
  // The limit of team `red` is 32 cores, enough for sixteen tasks.
  const pools = countedPools({
    jobs: [{ spec: jobSpec('req-1', { tasks: 10 }) }, { spec: jobSpec('req-2', { tasks: 10 }) }],
  });
  assert.deepEqual(slotCounts(pools.get('c8/ordinary')), [32, [], 32]);
});

test('tasks that exceed the free slots of an exhausted pool count for the next pool, or for the last pool if all are full', () => {
  const spec = jobSpec('req-1', { tasks: 10, spot: true });
  const machines = [leasedMachine('m1', { spot: true })];
  const withSpotCapacity = countedPools({ jobs: [{ spec }], machines });
  assert.deepEqual(slotCounts(withSpotCapacity.get('c8/spot')), [20, [], 20]);
  const spotExhausted = countedPools({ jobs: [{ spec }], machines, exhausted: ['c8/spot'] });
  // Tasks that may use spot machines count only for spot pools, as long as a spot pool contains machines.
  assert.deepEqual(slotCounts(spotExhausted.get('c8/spot')), [20, [], 20]);
  const bothExhausted = countedPools({ jobs: [{ spec }], exhausted: ['c8/spot', 'c8/ordinary'] });
  assert.deepEqual(slotCounts(bothExhausted.get('c8/spot')), [0, [], 0]);
  assert.deepEqual(slotCounts(bothExhausted.get('c8/ordinary')), [20, [], 20]);
});

test('pools are eligible if their type, zones and kind match the job and the tasks fit, the cheapest pool first', () => {
  const types = [
    machineType(),
    machineType({ name: 'c16', cpus: 16, price: 7, zones: ['b'] }),
    machineType({ name: 'c1', cpus: 1 }),
  ];
  const pools = buildPools(
    types,
    [],
    () => false,
    () => false,
  );
  const keysFor = (change: Partial<JobSpec>): string[] =>
    eligiblePools(jobSpec('req-1', change), pools.values()).map(({ key }) => key);
  assert.deepEqual(keysFor({}), ['c16/ordinary', 'c8/ordinary']);
  assert.deepEqual(keysFor({ spot: true }), ['c16/spot', 'c8/spot']);
  assert.deepEqual(keysFor({ zone: 'a' }), ['c8/ordinary']);
  assert.deepEqual(keysFor({ machineTypes: ['c16'] }), ['c16/ordinary']);
  assert.deepEqual(keysFor({ memoryGb: 64 }), []);
});
