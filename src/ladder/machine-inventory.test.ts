import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { CloudMachine } from '../model/types.js';
import { leasedMachine } from '../testing/pools.js';
import { testSettings } from '../testing/settings.js';
import type { LeasedMachine } from '../wire/block-records.js';
import { MachineInventory } from './machine-inventory.js';

function listed(id: string, change: Partial<CloudMachine> = {}): CloudMachine {
  return { id, address: 'h:1', type: 'c8', zone: 'a', spot: false, state: 'running', ageS: 10, ...change };
}

/** An inventory at an adjustable time, beside adjustable leases. The list lags by 4 s. */
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

test('a listed machine that no block has is unassigned, rented as long ago as the list tells', () => {
  const { inventory, leased } = setUp();
  leased.set('m1', leasedMachine('m1'));
  assert.equal(inventory.lastListAt, -Infinity);
  inventory.applyMachineList([listed('m1'), listed('m2', { spot: true })]);
  assert.equal(inventory.lastListAt, 0);
  const expected = leasedMachine('m2', { fencingToken: 0, spot: true, rentedAt: 990_000 });
  assert.deepEqual([...inventory.unassigned.values()], [expected]);
  assert.deepEqual([...inventory.currentMachines().keys()], ['m1', 'm2']);
  leased.set('m2', leasedMachine('m2'));
  inventory.dropAssigned();
  assert.equal(inventory.unassigned.size, 0);
});

test('a failed machine and one that is long missing are presumed terminated, until a list names them as running', () => {
  const { inventory, leased, setTime } = setUp();
  leased.set('m1', leasedMachine('m1'));
  leased.set('m2', leasedMachine('m2'));
  inventory.applyMachineList([listed('m1', { state: 'failed' }), listed('m2')]);
  assert.deepEqual([...inventory.presumedTerminated], ['m1']);
  setTime(5000);
  inventory.applyMachineList([listed('m1')]);
  assert.deepEqual([...inventory.presumedTerminated], []);
  setTime(9000);
  inventory.applyMachineList([listed('m1')]);
  assert.deepEqual([...inventory.presumedTerminated], ['m2']);
  assert.deepEqual([inventory.isDraining('m2'), inventory.canKeep('m2')], [true, false]);
});

test('a terminated machine is no longer current, whatever the list and the leases still name', () => {
  const { inventory, leased } = setUp();
  leased.set('m1', leasedMachine('m1'));
  inventory.addRented(['m2'], { type: 'c8', zone: 'a', spot: false });
  inventory.drain('m1');
  inventory.markTerminated(['m1', 'm2']);
  inventory.applyMachineList([listed('m1'), listed('m2', { state: 'failed' })]);
  assert.equal(inventory.currentMachines().size, 0);
  assert.equal(inventory.unassigned.size, 0);
  assert.deepEqual([inventory.isDraining('m1'), inventory.isDraining('m2')], [false, false]);
});

// Guards against a release under a task that the block's owner has just placed.
test('a leased machine is due for release only once it is empty and its record calls it draining', () => {
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

test('a machine cannot be kept while its release is under way, and can again once that has failed', async () => {
  const { inventory } = setUp();
  inventory.drain('m1');
  const release = inventory.whileReleasing(['m1'], () => {
    assert.equal(inventory.canKeep('m1'), false);
    return Promise.reject(new Error('no answer'));
  });
  await assert.rejects(release, /no answer/);
  assert.equal(inventory.canKeep('m1'), true);
  inventory.keep('m1');
  assert.equal(inventory.isDraining('m1'), false);
});
