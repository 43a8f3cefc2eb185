import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { JobSpec } from '../model/types.js';
import type { IndexedEntry } from '../placement/ledger-index.js';
import { jobSpec } from '../testing/block-stage.js';
import type { TaskRange } from '../wire/job-records.js';
import { recallTasks, restoreStartedTasks } from './task-recall.js';

const spec = (id: string, tasks: number, change: Partial<JobSpec> = {}): JobSpec => ({
  ...jobSpec(id, tasks),
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

// Guards against work that waits in a full block for ever while another block has room for it.
test('waiting tasks are recalled from the ends of their block, never one that is on a machine or done', () => {
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
  // Also one that waits between others that are done.
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

// Guards against two blocks that start one task: its intent was committed just before it was recalled,
// unseen.
test("a task that is on a block's ledger goes back to that block before anything of its job is dispatched", () => {
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
  // Tasks that depend on each other's zones go back to it all together.
  assert.deepEqual(restoreStartedTasks(job({ spread: true }, []), [entry(0, [3])]), [
    { block: 0, first: 0, count: 6 },
  ]);
});
