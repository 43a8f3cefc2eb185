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

test('assigned blocks stay: nothing is written while nothing has changed', () => {
  assert.equal(assign({}).size, 0);
});

test("a dead controller's block goes to another with new fencing tokens, the other blocks keep theirs", () => {
  const next = assign({ liveMembers: members.slice(1) });
  assert.deepEqual([...next.keys()], [0]);
  assert.equal(next.get(0)?.owner, 'k1');
  assert.deepEqual(
    next.get(0)?.machines.map((m) => m.fencingToken),
    [0],
  );
});

test('a controller that is back gets a block again only once it has been alive for a while', () => {
  const blocks = new Map([
    [0, ownedBlock('k1', leasedMachine('m1'))],
    [1, ownedBlock('k1', leasedMachine('m2'), leasedMachine('m3'))],
    [2, ownedBlock('k2')],
  ]);
  assert.equal(assign({ blocks, stableMembers: new Set(['k1', 'k2']) }).size, 0);
  assert.equal(assign({ blocks }).get(0)?.owner, 'k0');
});

test('a new machine goes to a controller of its zone, or to where alone work waits', () => {
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

test('a terminated machine stays in its block until its tasks have left it', () => {
  assert.equal(assign({ terminatedMachines: new Set(['m1']), machinesWithTasks: new Set(['m1']) }).size, 0);
  assert.deepEqual(assign({ terminatedMachines: new Set(['m1']) }).get(0)?.machines, []);
});
