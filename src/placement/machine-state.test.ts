import assert from 'node:assert/strict';
import { test } from 'node:test';

import { taskKey } from '../model/types.js';
import { emptyHeartbeat, jobSpec, machineToken } from '../testing/block-fixture.js';
import { addPlacedJob, createBlockWithMachine } from '../testing/job-states.js';
import type { Verdict } from './reconciliation.js';

// Guards against tasks that are placed for ever on a machine which sends heartbeats but receives no
// responses: its heartbeats arrive, so it never counts as silent.
test('a machine that sends heartbeats without executing commands counts as behind a one-way partition, others do not', () => {
  let now = 0;
  const { blockState, machine } = createBlockWithMachine(() => now);
  const sendHeartbeat = (
    sequence: number,
    fencingToken: number,
    taskStates: Record<string, 'running'> = {},
  ): Verdict => {
    const tasks = Object.entries(taskStates).map(([index, state]) => ({
      job: 'req-1',
      index: Number(index),
      attempt: 1,
      state,
      cause: '',
    }));
    const heartbeat = { ...emptyHeartbeat('m1', sequence), fencingToken, tasks };
    return blockState.applyHeartbeat(machine, heartbeat, true).verdict;
  };
  // The machine's heartbeat does not carry the fencing token of this owner.
  assert.equal(sendHeartbeat(1, machineToken - 4), 'unreconciled');
  machine.fencingTokenOfferedAt = 100;
  assert.equal(machine.oneWayPartitionSince(), 100);
  assert.equal(sendHeartbeat(2, machineToken), 'reconciled');
  assert.equal(machine.oneWayPartitionSince(), undefined);
  // A start command was sent, but no heartbeat reports the task.
  const job = addPlacedJob(blockState, jobSpec('req-1', 1), machine);
  const task = job.tasks.get(0);
  assert.ok(task);
  assert.equal(machine.oneWayPartitionSince(), undefined);
  task.startSentAt = now = 500;
  sendHeartbeat(3, machineToken);
  assert.equal(machine.oneWayPartitionSince(), 500);
  // The task stays assigned to the machine and counted in the team's usage until there is evidence that it is
  // gone.
  assert.deepEqual(
    [machine.tasks.has(taskKey({ job: 'req-1', index: 0 })), blockState.teamUsage().usedBy('red').cpus],
    [true, 2],
  );
  sendHeartbeat(4, machineToken, { 0: 'running' });
  assert.equal(machine.oneWayPartitionSince(), undefined);
});
