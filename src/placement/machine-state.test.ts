import assert from 'node:assert/strict';
import { test } from 'node:test';

import { taskKey } from '../model/types.js';
import { emptyReport, jobSpec, machineToken } from '../testing/block-stage.js';
import { addPlacedJob, createBlockWithMachine } from '../testing/job-states.js';
import type { Verdict } from './reconciliation.js';

// Its heartbeats arrive, so it is never silent, while responses and commands do not reach it.
test('a machine that is told and told again without doing it counts as behind a one-way partition, others do not', () => {
  let now = 0;
  const { blockState, machine } = createBlockWithMachine(() => now);
  const hear = (sequence: number, fencingToken: number, states: Record<string, 'running'> = {}): Verdict => {
    const tasks = Object.entries(states).map(([index, state]) => ({
      job: 'req-1',
      index: Number(index),
      attempt: 1,
      state,
      cause: '',
    }));
    const heartbeat = { ...emptyReport('m1', sequence), fencingToken, tasks };
    return blockState.applyHeartbeat(machine, heartbeat, true).verdict;
  };
  // Our token never comes back.
  assert.equal(hear(1, machineToken - 4), 'unreconciled');
  machine.fencingTokenOfferedAt = 100;
  assert.equal(machine.oneWayPartitionSince(), 100);
  assert.equal(hear(2, machineToken), 'reconciled');
  assert.equal(machine.oneWayPartitionSince(), undefined);
  // A start that was sent and does not show.
  const job = addPlacedJob(blockState, jobSpec('req-1', 1), machine);
  const task = job.tasks.get(0);
  assert.ok(task);
  assert.equal(machine.oneWayPartitionSince(), undefined);
  task.startSentAt = now = 500;
  hear(3, machineToken);
  assert.equal(machine.oneWayPartitionSince(), 500);
  // Its task and its place in the team's usage stay until there is evidence.
  assert.deepEqual(
    [machine.tasks.has(taskKey({ job: 'req-1', index: 0 })), blockState.teamUsage().usedBy('red').cpus],
    [true, 2],
  );
  hear(4, machineToken, { 0: 'running' });
  assert.equal(machine.oneWayPartitionSince(), undefined);
});
