import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { JobSpec } from '../model/types.js';
import { JobIndex } from '../placement/job-index.js';
import { type QueuedJob, QueueOrder, withoutDependencies } from '../placement/queue-order.js';
import { leasedMachine, ownedBlock } from '../testing/block-records.js';
import { machineType } from '../testing/cloud-standin.js';
import { jobSpec } from '../testing/job-specs.js';
import { parseMachineTypes } from '../wire/cloud.js';
import type { TaskRange } from '../wire/job-records.js';
import { CapacityEstimate } from './capacity-estimate.js';
import { dispatchToFreeSlots, dispatchToOneBlock } from './job-dispatch.js';

const spec = (id: string, tasks: number, change: Partial<JobSpec> = {}): JobSpec => ({
  ...jobSpec(id, { tasks }),
  ...change,
});

function estimate(isBooted: (id: string) => boolean = () => true): CapacityEstimate {
  const jobIndex = new JobIndex(() => 0);
  const machineTypes = new Map(parseMachineTypes({ hulls: [machineType] }).map((type) => [type.name, type]));
  const blocks = new Map([
    [0, ownedBlock('k0', leasedMachine('m1'))],
    [1, ownedBlock('k1', leasedMachine('m2'), leasedMachine('m3'))],
  ]);
  return new CapacityEstimate({
    blocks,
    isAlive: () => true,
    machineTypes,
    jobIndex,
    lookahead: 0,
    isBooted: ({ id }) => isBooted(id),
  });
}

test('a job is dispatched to the block with the most free slots, or to no block if none has enough for all tasks', () => {
  assert.deepEqual(dispatchToOneBlock(estimate(), spec('req-1', 8)), { block: 1, first: 0, count: 8 });
  assert.equal(dispatchToOneBlock(estimate(), spec('req-1', 9)), undefined);
});

// Guards against dispatching a job to a block whose machines are still booting. The job would wait there
// although another block has free slots.
test('machines that are still booting have no free slots, and a preferred block with enough free slots is chosen', () => {
  const capacity = estimate((id) => id === 'm1');
  assert.deepEqual(dispatchToOneBlock(capacity, spec('req-1', 4)), { block: 0, first: 0, count: 4 });
  assert.equal(dispatchToOneBlock(capacity, spec('req-2', 5)), undefined);
  assert.deepEqual(
    dispatchToOneBlock(estimate(), spec('req-3', 4), (block) => block === 0),
    { block: 0, first: 0, count: 4 },
  );
});

test('a job that is too large for one block fills the free slots of all blocks, and its tasks reserve those slots', () => {
  const capacity = estimate();
  assert.deepEqual(dispatchToFreeSlots(capacity, spec('req-1', 11), []), [
    { block: 1, first: 0, count: 8 },
    { block: 0, first: 8, count: 3 },
  ]);
  assert.deepEqual(dispatchToFreeSlots(capacity, spec('req-2', 4), []), [{ block: 0, first: 0, count: 1 }]);
  assert.equal(dispatchToFreeSlots(capacity, spec('req-3', 4), []), undefined);
});

test('the tasks of a zone-constrained job are all dispatched to one block', () => {
  assert.deepEqual(dispatchToFreeSlots(estimate(), spec('req-1', 20, { colocated: true }), []), [
    { block: 1, first: 0, count: 20 },
  ]);
});

// Guards against starvation of large jobs. A large job needs free slots on many machines, but a small job
// fits on any machine. If small jobs always took the free slots first, the large job would never start.
test('a large job starts within four minutes and is dispatched completely, although enough small jobs arrive to fill all slots', () => {
  const large = { spec: spec('req-1', 60, { acceptedAt: 0 }), taskRanges: [] as TaskRange[] };
  const order = new QueueOrder([]);
  const jobs = [large];
  const dispatched = (job: { taskRanges: TaskRange[] }): number =>
    job.taskRanges.reduce((sum, range) => sum + range.count, 0);
  const queued = (job: (typeof jobs)[number]): QueuedJob => {
    return {
      spec: job.spec,
      dependencyConstraints: withoutDependencies(job.spec),
      waitingCount: job.spec.tasks - dispatched(job),
      started: dispatched(job) > 0,
    };
  };
  let startedAtS = Infinity;
  let nowS = 0;
  for (; dispatched(large) < 60 && nowS < 900; nowS += 10) {
    // In each round all tasks of the previous round have ended, and enough small jobs arrive to fill all
    // slots.
    for (let i = 0; i < 3; i++) {
      jobs.push({ spec: spec(`req-${100 + nowS + i}`, 4, { acceptedAt: nowS * 1000 }), taskRanges: [] });
    }
    const capacity = estimate();
    const open = jobs.filter((job) => dispatched(job) < job.spec.tasks);
    for (const job of order.sorted(open, queued, nowS * 1000)) {
      job.taskRanges = dispatchToFreeSlots(capacity, job.spec, job.taskRanges) ?? job.taskRanges;
    }
    if (dispatched(large) > 0) startedAtS = Math.min(startedAtS, nowS);
  }
  assert.ok(startedAtS < 240, `started after ${startedAtS} s`);
  assert.ok(nowS < 400, `all dispatched after ${nowS} s`);
});

// Guards against a separate commit for each dispatched task. If the number of tasks dispatched beyond the
// free slots did not grow with the backlog, each task that ended would allow the dispatch of only one further
// task. While this fault existed, with a limit of 25 writes per second, a third of the writes dispatched
// tasks for which no slot was free.
test('if the backlog is larger, more tasks are dispatched beyond the free slots of a block, up to the size of the block', () => {
  const large = spec('req-1', 500);
  const dispatchedTasks = (backlog: number): number => {
    const capacity = estimate();
    if (backlog > 0) capacity.extendLookahead([{ spec: large, tasks: backlog }]);
    return (dispatchToFreeSlots(capacity, large, []) ?? []).reduce((sum, range) => sum + range.count, 0);
  };
  const [noBacklog, smallBacklog, largeBacklog] = [
    dispatchedTasks(0),
    dispatchedTasks(12),
    dispatchedTasks(500),
  ];
  assert.equal(noBacklog, 12);
  assert.ok(smallBacklog > noBacklog && smallBacklog <= noBacklog * 2, `${smallBacklog} of ${noBacklog}`);
  assert.equal(largeBacklog, noBacklog * 2);
});

// Guards against a job record that contains so many task ranges that it exceeds the value limit of the store.
// The store would refuse every later write of that record.
test('a job gets no more ranges than its record can hold; further tasks are dispatched to a block that already has tasks of the job', () => {
  const taskRanges = [{ block: 0, first: 2, count: 2 }];
  const dispatch = (maxRanges: number): TaskRange[] | undefined =>
    dispatchToFreeSlots(estimate(), spec('req-1', 14), taskRanges, maxRanges);
  const [all, two, one] = [dispatch(3), dispatch(2), dispatch(1)];
  assert.deepEqual(all, [
    { block: 0, first: 2, count: 2 },
    { block: 1, first: 0, count: 2 },
    { block: 1, first: 4, count: 6 },
  ]);
  assert.deepEqual(two, [
    { block: 0, first: 2, count: 2 },
    { block: 1, first: 0, count: 2 },
  ]);
  assert.deepEqual(one, [{ block: 0, first: 0, count: 4 }]);
});
