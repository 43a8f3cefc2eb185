import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { TaskState, WorkerCommand } from '../model/types.js';
import { emptyHeartbeat, machineToken } from '../testing/block-fixture.js';
import { jobSpec } from '../testing/job-specs.js';
import { addPlacedJob, createBlockWithMachine } from '../testing/job-states.js';
import { findStragglers } from './straggler-detection.js';

// Guards against a job that waits minutes for its final task. All other tasks of the job have ended, but the
// machine of the final task is many times slower than other machines of its type.
test('a task that runs several times as long as the other tasks of its job is stopped', () => {
  let now = 0;
  const { blockState, machine } = createBlockWithMachine(() => now);
  addPlacedJob(blockState, jobSpec('req-1', { tasks: 4 }), machine);
  const applyHeartbeat = (sequence: number, states: TaskState[]): WorkerCommand[] => {
    const tasks = states.map((state, index) => ({
      job: 'req-1',
      index,
      attempt: 1,
      state,
      cause: state === 'ended' ? 'done' : '',
    }));
    const heartbeat = { ...emptyHeartbeat('m1', sequence), fencingToken: machineToken, tasks };
    return blockState.applyHeartbeat(machine, heartbeat, true).commands;
  };
  applyHeartbeat(1, ['running', 'running', 'running', 'running']);
  now = 12_000;
  applyHeartbeat(2, ['ended', 'ended', 'ended', 'running']);
  // The limit is three times the run time of the other tasks, 12 s, and not of the estimate, 10 s.
  assert.deepEqual(findStragglers(machine, 36_000), []);
  const [straggler] = findStragglers(machine, 36_001);
  assert.equal(straggler?.index, 3);
  straggler.stopping = true;
  const commands = applyHeartbeat(3, ['ended', 'ended', 'ended', 'running']);
  assert.deepEqual(
    commands.filter((command) => command.kind === 'stop').map((command) => command.index),
    [3],
  );
});
