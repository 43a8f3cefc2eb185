import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { JobSpec } from '../model/types.js';
import { JobIndex } from '../placement/job-index.js';
import { QueueOrder } from '../placement/queue-order.js';
import { jobSpec, leasedMachine, machineType } from '../testing/pools.js';
import { testSettings } from '../testing/settings.js';
import type { LeasedMachine } from '../wire/block-records.js';
import { jobRecord, type TaskRange } from '../wire/job-records.js';
import { jobKey, ledgerKey } from '../wire/keys.js';
import { type LedgerEntry, ledgerPage } from '../wire/ledger-records.js';
import { countDemand } from './demand.js';
import { buildPools, eligiblePools, type Pool } from './pools.js';

const slotShare = 0.125;

interface Scene {
  jobs: { spec: JobSpec; taskRanges?: TaskRange[] }[];
  entries?: LedgerEntry[];
  machines?: LeasedMachine[];
  /** Keys of pools of which the cloud gives no more. */
  exhausted?: string[];
}

/** The pools of one type of machine, with eight slots each, after the count. */
function countedPools({ jobs, entries = [], machines = [], exhausted = [] }: Scene): Map<string, Pool> {
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

function slots(pool: Pool | undefined): unknown {
  return [pool?.countedSlots, [...(pool?.waitingSlotsByBlock ?? [])], pool?.undispatchedSlots];
}

test('tasks count on machines, waiting in their block, and before they are dispatched', () => {
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
  // Two slots a task: one task runs, two wait in block 0, two are not dispatched.
  assert.deepEqual(slots(pools.get('c8/ordinary')), [10, [[0, 4]], 4]);
  assert.deepEqual(slots(pools.get('c8/spot')), [0, [], 0]);
});

test("waiting tasks beyond their team's limit do not count", () => {
  // The team `red` may use 32 cores, which is room for sixteen tasks.
  const pools = countedPools({
    jobs: [{ spec: jobSpec('req-1', { tasks: 10 }) }, { spec: jobSpec('req-2', { tasks: 10 }) }],
  });
  assert.deepEqual(slots(pools.get('c8/ordinary')), [32, [], 32]);
});

test('what the cheapest pool cannot take counts for the next, and what none can for the last', () => {
  const spec = jobSpec('req-1', { tasks: 10, spot: true });
  const machines = [leasedMachine('m1', { spot: true })];
  const open = countedPools({ jobs: [{ spec }], machines });
  assert.deepEqual(slots(open.get('c8/spot')), [20, [], 20]);
  const spotOnly = countedPools({ jobs: [{ spec }], machines, exhausted: ['c8/spot'] });
  // Work that may use spot machines waits for them as long as there are any.
  assert.deepEqual(slots(spotOnly.get('c8/spot')), [20, [], 20]);
  const none = countedPools({ jobs: [{ spec }], exhausted: ['c8/spot', 'c8/ordinary'] });
  assert.deepEqual(slots(none.get('c8/spot')), [0, [], 0]);
  assert.deepEqual(slots(none.get('c8/ordinary')), [20, [], 20]);
});

test('a job may run on the pools of its types, zones and kind that its tasks fit, cheapest first', () => {
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
