import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { BlockRecord } from '../wire/block-records.js';
import { storeRole } from './store-role.js';

function registry(labels: string[], machines: Record<string, number>): Parameters<typeof storeRole>[0] {
  const blocks = Object.entries(machines).map(
    ([owner, count], block) =>
      [
        block,
        { owner, machines: Array.from({ length: count }, () => ({})) } as unknown as BlockRecord,
      ] as const,
  );
  return {
    liveMembers: () => labels.map((label) => ({ label, incarnation: '', zone: 'a' })),
    blocks: () => new Map(blocks),
  };
}

test('the machine share of a controller is the fraction of all machines that are in its blocks', () => {
  const role = storeRole(registry(['k0', 'k1'], { k0: 1, k1: 3 }), 'k0', true);
  assert.deepEqual(role, { isLeader: true, aliveControllers: 2, machineShare: 0.25 });
});

test('without machines, the share is equal for all live controllers, and 1 if no controller is known to be alive', () => {
  assert.deepEqual(storeRole(registry(['k0', 'k1'], { k0: 0 }), 'k0', false), {
    isLeader: false,
    aliveControllers: 2,
    machineShare: 0.5,
  });
  assert.deepEqual(storeRole(registry([], {}), 'k0', false), {
    isLeader: false,
    aliveControllers: 1,
    machineShare: 1,
  });
});
