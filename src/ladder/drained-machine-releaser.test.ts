import assert from 'node:assert/strict';
import { test } from 'node:test';

import { silentLog } from '../base/log.js';
import { Term } from '../leadership/term.js';
import type { Resources } from '../model/types.js';
import { testSettings } from '../testing/settings.js';
import { DrainedMachineReleaser } from './drained-machine-releaser.js';
import { MachineInventory } from './machine-inventory.js';

/**
 * Runs a releaser for `checks` release checks and returns the batches of machines in its release requests.
 */
async function runReleaser(
  inventory: MachineInventory,
  { checks, succeeds = true, reachable = true }: { checks: number; succeeds?: boolean; reachable?: boolean },
): Promise<string[][]> {
  const term = new Term(1, 0);
  const batches: string[][] = [];
  let remainingChecks = checks;
  const countCheck = (): void => {
    if (--remainingChecks === 0) term.end({ kind: 'shutdown' });
  };
  const releaser = new DrainedMachineReleaser(
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
        countCheck();
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

test('drained machines are released in batches of at most 100 and then recorded as terminated', async () => {
  const ids = Array.from({ length: 130 }, (_, i) => `m${i}`);
  const inventory = inventoryOf(...ids);
  const batches = await runReleaser(inventory, { checks: 3 });
  assert.deepEqual(batches, [ids.slice(0, 100), ids.slice(100)]);
  assert.equal(inventory.toDrain.size, 0);
  assert.ok(ids.every((id) => inventory.terminated.has(id)));
});

test('machines whose release fails stay marked for draining, and the next check requests their release again', async () => {
  const inventory = inventoryOf('m1');
  assert.deepEqual(await runReleaser(inventory, { checks: 2, succeeds: false }), [['m1'], ['m1']]);
  assert.deepEqual([...inventory.toDrain], ['m1']);
  assert.equal(inventory.terminated.has('m1'), false);
});

// If the leader cannot reach the store, its term may already have ended. Guards against releases by such a
// leader.
test('nothing is released while the store does not answer', async () => {
  const inventory = inventoryOf('m1');
  assert.deepEqual(await runReleaser(inventory, { checks: 3, reachable: false }), []);
});
