import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { JobSpec } from '../model/types.js';
import type { IndexedEntry } from '../placement/ledger-index.js';
import { jobSpec } from '../testing/job-specs.js';
import type { TaskRange } from '../wire/job-records.js';
import { recallTasks, restoreStartedTasks } from './task-recall.js';

const spec = (id: string, tasks: number, change: Partial<JobSpec> = {}): JobSpec => ({
  ...jobSpec(id, { tasks }),
  ...change,
});

const entry = (blockNumber: number, active: number[], done: number[] = []): IndexedEntry => ({
  id: 'req-1',
  chunk: 0,
  team: 'red',
  cpus: 1,
  accelerators: 0,
  memoryGb: 1,
  waiting: [],
  doneCount: 0,
  block: blockNumber,
  active: active.map((index) => [index, 1, 'm1']),
  done,
});

// Guards against tasks that are not recalled from a full block. They would wait there forever, although
// another block has free slots for them.
test('waiting tasks are recalled from the ends of the ranges of a block, and tasks that are active or done are not recalled', () => {
  const taskRanges = [
    { block: 0, first: 0, count: 6 },
    { block: 1, first: 6, count: 4 },
    { block: 0, first: 10, count: 5 },
  ];
  const entries = [entry(0, [0, 11], [10, 10]), entry(1, [14])];
  assert.deepEqual(recallTasks(taskRanges, entries, { block: 0, maxTasks: 2 }), [
    { block: 0, first: 0, count: 6 },
    { block: 1, first: 6, count: 4 },
    { block: 0, first: 10, count: 3 },
  ]);
  assert.deepEqual(recallTasks(taskRanges, entries, { block: 0, maxTasks: 100 }), [
    { block: 0, first: 0, count: 1 },
    { block: 1, first: 6, count: 4 },
    { block: 0, first: 10, count: 2 },
  ]);
  // A waiting task between tasks that are done is recalled as well.
  assert.deepEqual(
    recallTasks([{ block: 0, first: 0, count: 3 }], [entry(0, [], [0, 0, 2, 2])], { block: 0, maxTasks: 5 }),
    [
      { block: 0, first: 0, count: 1 },
      { block: 0, first: 2, count: 1 },
    ],
  );
  assert.deepEqual(recallTasks([{ block: 2, first: 0, count: 3 }], [], { block: 2, maxTasks: 3 }), []);
  assert.equal(
    recallTasks([{ block: 0, first: 0, count: 1 }], entries, { block: 0, maxTasks: 1 }),
    undefined,
  );
});

// Guards against a task that is started by two blocks. The first block commits an intent to start the task.
// The leader, whose replica has not received that commit yet, recalls the task. If the leader then dispatched
// the task to a second block, both blocks would start it.
test('a recalled task that a block has already started is returned to that block before other tasks are dispatched', () => {
  const taskRanges = [{ block: 1, first: 0, count: 2 }];
  const job = (
    change: Partial<JobSpec> = {},
    ranges = taskRanges,
  ): { taskRanges: TaskRange[]; spec: JobSpec } => ({
    taskRanges: ranges,
    spec: spec('req-1', 6, change),
  });
  assert.deepEqual(restoreStartedTasks(job(), [entry(0, [3, 4], [5, 5]), entry(1, [0])]), [
    { block: 1, first: 0, count: 2 },
    { block: 0, first: 3, count: 3 },
  ]);
  assert.equal(restoreStartedTasks(job(), [entry(1, [0])]), undefined);
  assert.equal(restoreStartedTasks(job({}, [{ block: 1, first: 0, count: 6 }]), [entry(0, [3])]), undefined);
  // All tasks of a zone-constrained job are returned to the block together.
  assert.deepEqual(restoreStartedTasks(job({ spread: true }, []), [entry(0, [3])]), [
    { block: 0, first: 0, count: 6 },
  ]);
});
