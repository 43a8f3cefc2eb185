import assert from 'node:assert/strict';
import { test } from 'node:test';

import { silentLog } from '../base/log.js';
import { Term } from '../leadership/term.js';
import type { Resources } from '../model/types.js';
import { testSettings } from '../testing/settings.js';
import { MachineInventory } from './machine-inventory.js';
import { MachineReleaser } from './machine-releaser.js';

/** Runs a releaser until the inventory has been looked at so many times; returns the batches that were released. */
async function runReleaser(
  inventory: MachineInventory,
  { looks, succeeds = true, reachable = true }: { looks: number; succeeds?: boolean; reachable?: boolean },
): Promise<string[][]> {
  const term = new Term(1, 0);
  const batches: string[][] = [];
  let left = looks;
  const countLook = (): void => {
    if (--left === 0) term.end({ kind: 'shutdown' });
  };
  const releaser = new MachineReleaser(
    {
      cloud: {
        release: (machines) => {
          batches.push(machines);
          return Promise.resolve(succeeds);
        },
      },
      jobIndex: { machineLoads: () => new Map<string, Resources>() },
      log: silentLog,
      term,
      isStoreReachable: () => {
        countLook();
        return reachable;
      },
    },
    inventory,
    1,
  );
  await releaser.run();
  return batches;
}

function inventoryOf(...toDrain: string[]): MachineInventory {
  const inventory = new MachineInventory({
    clock: () => 0,
    wallClock: () => 0,
    settings: testSettings(),
    leasedMachines: () => new Map(),
  });
  for (const id of toDrain) inventory.drain(id);
  return inventory;
}

test('drained machines are released a hundred at a time, and are terminated from then on', async () => {
  const ids = Array.from({ length: 130 }, (_, i) => `m${i}`);
  const inventory = inventoryOf(...ids);
  const batches = await runReleaser(inventory, { looks: 3 });
  assert.deepEqual(batches, [ids.slice(0, 100), ids.slice(100)]);
  assert.equal(inventory.toDrain.size, 0);
  assert.ok(ids.every((id) => inventory.terminated.has(id)));
});

test('machines whose release fails stay to be drained, and are released with the next try', async () => {
  const inventory = inventoryOf('m1');
  assert.deepEqual(await runReleaser(inventory, { looks: 2, succeeds: false }), [['m1'], ['m1']]);
  assert.deepEqual([...inventory.toDrain], ['m1']);
  assert.equal(inventory.terminated.has('m1'), false);
});

// Guards against releases by a leader whose term may be over.
test('nothing is released while the store does not answer', async () => {
  const inventory = inventoryOf('m1');
  assert.deepEqual(await runReleaser(inventory, { looks: 3, reachable: false }), []);
});
