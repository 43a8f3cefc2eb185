import assert from 'node:assert/strict';
import { test } from 'node:test';

import { taskKey } from '../model/types.js';
import { emptyHeartbeat, machineToken } from '../testing/block-fixture.js';
import { jobSpec } from '../testing/job-specs.js';
import { addPlacedJob, createBlockWithMachine } from '../testing/job-states.js';
import type { ReconciliationStatus } from './reconciliation.js';

// If a machine's heartbeats arrive but the responses do not reach the machine, the machine never counts as
// silent. Without a separate check for this one-way partition, tasks would be placed on the machine
// indefinitely and would never start.
test('a machine counts as behind a one-way partition only while it sends heartbeats without executing commands', () => {
  let now = 0;
  const { blockState, machine } = createBlockWithMachine(() => now);
  const sendHeartbeat = (
    sequence: number,
    fencingToken: number,
    taskStates: Record<string, 'running'> = {},
  ): ReconciliationStatus => {
    const tasks = Object.entries(taskStates).map(([index, state]) => ({
      job: 'req-1',
      index: Number(index),
      attempt: 1,
      state,
      cause: '',
    }));
    const heartbeat = { ...emptyHeartbeat('m1', sequence), fencingToken, tasks };
    return blockState.applyHeartbeat(machine, heartbeat, true).status;
  };
  // The machine's heartbeat contains an older fencing token than that of this owner.
  assert.equal(sendHeartbeat(1, machineToken - 4), 'unreconciled');
  machine.fencingTokenOfferedAt = 100;
  assert.equal(machine.oneWayPartitionSince(), 100);
  assert.equal(sendHeartbeat(2, machineToken), 'reconciled');
  assert.equal(machine.oneWayPartitionSince(), undefined);
  // A start command was sent, but the next heartbeat does not report the task.
  const job = addPlacedJob(blockState, jobSpec('req-1', { tasks: 1 }), machine);
  const task = job.tasks.get(0);
  assert.ok(task);
  assert.equal(machine.oneWayPartitionSince(), undefined);
  task.startSentAt = now = 500;
  sendHeartbeat(3, machineToken);
  assert.equal(machine.oneWayPartitionSince(), 500);
  // The task stays assigned to the machine and counts towards the team's usage until there is proof that the
  // task is not on the machine.
  assert.deepEqual(
    [machine.tasks.has(taskKey({ job: 'req-1', index: 0 })), blockState.teamUsage().usedBy('red').cpus],
    [true, 2],
  );
  sendHeartbeat(4, machineToken, { 0: 'running' });
  assert.equal(machine.oneWayPartitionSince(), undefined);
});
