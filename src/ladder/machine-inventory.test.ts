import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { CloudMachine } from '../model/types.js';
import { leasedMachine } from '../testing/pools.js';
import { testSettings } from '../testing/settings.js';
import type { LeasedMachine } from '../wire/block-records.js';
import { MachineInventory } from './machine-inventory.js';

function listedMachine(id: string, overrides: Partial<CloudMachine> = {}): CloudMachine {
  return { id, address: 'h:1', type: 'c8', zone: 'a', spot: false, state: 'running', ageS: 10, ...overrides };
}

/**
 * Creates an inventory whose clock and leased machines the test sets. The cloud's machine list lags by 4 s.
 */
function setUp(): {
  inventory: MachineInventory;
  leased: Map<string, LeasedMachine>;
  setTime: (ms: number) => void;
} {
  let now = 0;
  const leased = new Map<string, LeasedMachine>();
  const inventory = new MachineInventory({
    clock: () => now,
    wallClock: () => 1_000_000 + now,
    settings: testSettings(),
    leasedMachines: () => leased,
  });
  return { inventory, leased, setTime: (ms) => (now = ms) };
}

test('a listed machine that is in no block is unassigned, and its rental time is computed from its listed age', () => {
  const { inventory, leased } = setUp();
  leased.set('m1', leasedMachine('m1'));
  assert.equal(inventory.lastListAt, -Infinity);
  inventory.applyMachineList([listedMachine('m1'), listedMachine('m2', { spot: true })]);
  assert.equal(inventory.lastListAt, 0);
  const expected = leasedMachine('m2', { fencingToken: 0, spot: true, rentedAt: 990_000 });
  assert.deepEqual([...inventory.unassigned.values()], [expected]);
  assert.deepEqual([...inventory.currentMachines().keys()], ['m1', 'm2']);
  leased.set('m2', leasedMachine('m2'));
  inventory.removeAssigned();
  assert.equal(inventory.unassigned.size, 0);
});

test('a machine that has failed or is missing from the list is presumed terminated until it is listed as running', () => {
  const { inventory, leased, setTime } = setUp();
  leased.set('m1', leasedMachine('m1'));
  leased.set('m2', leasedMachine('m2'));
  inventory.applyMachineList([listedMachine('m1', { state: 'failed' }), listedMachine('m2')]);
  assert.deepEqual([...inventory.presumedTerminated], ['m1']);
  setTime(5000);
  inventory.applyMachineList([listedMachine('m1')]);
  assert.deepEqual([...inventory.presumedTerminated], []);
  setTime(9000);
  inventory.applyMachineList([listedMachine('m1')]);
  assert.deepEqual([...inventory.presumedTerminated], ['m2']);
  assert.deepEqual([inventory.isDraining('m2'), inventory.canCancelDrain('m2')], [true, false]);
});

test('a terminated machine is not current, even if the machine list or a block still contains the machine', () => {
  const { inventory, leased } = setUp();
  leased.set('m1', leasedMachine('m1'));
  inventory.addRented(['m2'], { type: 'c8', zone: 'a', spot: false });
  inventory.drain('m1');
  inventory.markTerminated(['m1', 'm2']);
  inventory.applyMachineList([listedMachine('m1'), listedMachine('m2', { state: 'failed' })]);
  assert.equal(inventory.currentMachines().size, 0);
  assert.equal(inventory.unassigned.size, 0);
  assert.deepEqual([inventory.isDraining('m1'), inventory.isDraining('m2')], [false, false]);
});

// The leader drains a machine without tasks. Until the machine's record is marked draining, the owner of its
// block may still place a task on it. If the leader released the machine earlier, the task would be
// interrupted.
test('a leased machine is due for release only after its record is marked draining and no tasks are left', () => {
  const { inventory, leased } = setUp();
  leased.set('m1', leasedMachine('m1'));
  leased.set('m2', leasedMachine('m2', { draining: true }));
  leased.set('m3', leasedMachine('m3', { draining: true }));
  for (const id of ['m1', 'm2', 'm3', 'm4']) inventory.drain(id);
  assert.deepEqual(
    inventory.dueForRelease((id) => id === 'm3'),
    ['m2', 'm4'],
  );
});

test('the drain of a machine cannot be cancelled during its release, but can after the release has failed', async () => {
  const { inventory } = setUp();
  inventory.drain('m1');
  const release = inventory.whileReleasing(['m1'], () => {
    assert.equal(inventory.canCancelDrain('m1'), false);
    return Promise.reject(new Error('no answer'));
  });
  await assert.rejects(release, /no answer/);
  assert.equal(inventory.canCancelDrain('m1'), true);
  inventory.cancelDrain('m1');
  assert.equal(inventory.isDraining('m1'), false);
});
