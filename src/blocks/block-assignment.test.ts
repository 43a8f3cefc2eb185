import assert from 'node:assert/strict';
import { test } from 'node:test';

import { leasedMachine, ownedBlock } from '../testing/block-records.js';
import type { BlockRecord } from '../wire/block-records.js';
import { assignBlocks, type AssignmentInput } from './block-assignment.js';

const members = ['k0', 'k1', 'k2'].map((label, i) => ({
  label,
  incarnation: 'b',
  zone: i === 0 ? 'a' : 'b',
}));

function assign(change: Partial<AssignmentInput>): Map<number, BlockRecord> {
  return assignBlocks({
    blockCount: 3,
    blocks: new Map([
      [0, ownedBlock('k0', leasedMachine('m1'))],
      [1, ownedBlock('k1', leasedMachine('m2', 'b'))],
      [2, ownedBlock('k2')],
    ]),
    liveMembers: members,
    stableMembers: new Set(['k0', 'k1', 'k2']),
    unassignedMachines: [],
    terminatedMachines: new Set<string>(),
    machinesWithTasks: new Set<string>(),
    drainingMachines: new Set<string>(),
    waitingSlots: () => 0,
    quotaShares: new Map(),
    ...change,
  });
}

test('a block keeps its assignment and is not written if nothing has changed', () => {
  assert.equal(assign({}).size, 0);
});

test('the block of a controller that is not alive is leased to another controller with new fencing tokens, and other blocks are not written', () => {
  const next = assign({ liveMembers: members.slice(1) });
  assert.deepEqual([...next.keys()], [0]);
  assert.equal(next.get(0)?.owner, 'k1');
  assert.deepEqual(
    next.get(0)?.machines.map((m) => m.fencingToken),
    [0],
  );
});

test('a controller that has restarted gets a block again only after the controller has been alive for a while', () => {
  const blocks = new Map([
    [0, ownedBlock('k1', leasedMachine('m1'))],
    [1, ownedBlock('k1', leasedMachine('m2'), leasedMachine('m3'))],
    [2, ownedBlock('k2')],
  ]);
  assert.equal(assign({ blocks, stableMembers: new Set(['k1', 'k2']) }).size, 0);
  assert.equal(assign({ blocks }).get(0)?.owner, 'k0');
});

test('a new machine is added to a block whose owner is in the zone of the machine, unless tasks wait for such a machine only in blocks with owners in other zones', () => {
  assert.ok(
    assign({ unassignedMachines: [leasedMachine('m9', 'a', { fencingToken: 0 })] })
      .get(0)
      ?.machines.some((m) => m.id === 'm9'),
  );
  const waiting = (b: number): number => (b === 2 ? 4 : 0);
  assert.ok(
    assign({ unassignedMachines: [leasedMachine('m9', 'a', { fencingToken: 0 })], waitingSlots: waiting })
      .get(2)
      ?.machines.some((m) => m.id === 'm9'),
  );
});

test('a terminated machine is removed from its block only after it has no tasks left', () => {
  assert.equal(assign({ terminatedMachines: new Set(['m1']), machinesWithTasks: new Set(['m1']) }).size, 0);
  assert.deepEqual(assign({ terminatedMachines: new Set(['m1']) }).get(0)?.machines, []);
});
