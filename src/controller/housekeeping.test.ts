import assert from 'node:assert/strict';
import { test } from 'node:test';

import { Housekeeping } from './housekeeping.js';

test('housekeeping retries block lease renewals, records machine events, sets the store role and logs the usage', () => {
  const calls: unknown[][] = [];
  const housekeeping = new Housekeeping({
    label: 'k0',
    ownedBlocks: { applyChanges: (changes) => calls.push(['blocks', changes]) },
    machineEvents: { terminated: () => ['vm-1'], booted: () => ['vm-2'] },
    bootedMachines: { markBooted: (machines) => calls.push(['booted', ...machines]) },
    leaderDuties: { markTerminated: (machines) => calls.push(['terminated', ...machines]) },
    registry: { liveMembers: () => [], blocks: () => new Map() },
    store: { setRole: (role) => calls.push(['role', role]) },
    isLeading: () => true,
    usageLog: { logIfDue: () => calls.push(['log']) },
  });
  housekeeping.runOnce();
  assert.deepEqual(calls, [
    ['blocks', []],
    ['booted', 'vm-2'],
    ['terminated', 'vm-1'],
    ['role', { isLeader: true, aliveControllers: 1, machineShare: 1 }],
    ['log'],
  ]);
});
