import assert from 'node:assert/strict';
import { test } from 'node:test';

import { jobSpec } from '../testing/job-specs.js';
import { createJobState, placeAll } from '../testing/job-states.js';
import type { BlockRecord, LeasedMachine } from '../wire/block-records.js';
import { BlockMachines } from './block-machines.js';
import { keyOfTask } from './job-state.js';

function recordOf(...ids: string[]): BlockRecord {
  const machines: LeasedMachine[] = ids.map((id) => ({
    id,
    fencingToken: 7,
    type: 'c8',
    zone: 'a',
    spot: false,
    rentedAt: 0,
    draining: false,
  }));
  return { owner: 'k', incarnation: 'b', quotaShares: {}, machines };
}

test("a machine missing from the block's record is removed if no tasks are assigned to it, and drained otherwise", () => {
  const machines = new BlockMachines(() => 0, 1000);
  machines.applyRecord(recordOf('m1', 'm2'));
  const job = createJobState(jobSpec('req-1', { tasks: 1 }));
  placeAll(job, 'm2');
  for (const task of job.tasks.values()) machines.ensure('m2').tasks.set(keyOfTask(task), task);
  machines.applyRecord(recordOf());
  assert.deepEqual([...machines.byId.keys()], ['m2']);
  assert.equal(machines.ensure('m2').draining, true);
});

test('a terminated machine is not added again when an outdated block record still lists the machine', () => {
  let now = 0;
  const machines = new BlockMachines(() => now, 1000);
  machines.applyRecord(recordOf('m1'));
  now = 500;
  machines.removeTerminated('m1');
  machines.applyRecord(recordOf('m1'));
  assert.equal(machines.byId.size, 0);
  assert.equal(machines.isTerminated('m1'), true);
  assert.deepEqual(machines.terminatedSince(500), ['m1']);
  assert.deepEqual(machines.terminatedSince(501), []);
});
