import assert from 'node:assert/strict';
import { test } from 'node:test';

import { jobSpec } from '../testing/job-specs.js';
import { createJobState, placeAll } from '../testing/job-states.js';
import { QueueOrder } from './queue-order.js';
import { WaitingQueue } from './waiting-queue.js';

test('the queue lists open jobs with waiting tasks, and is sorted again if it is invalidated or too old', () => {
  let now = 0;
  const jobs = new Map(
    ['req-1', 'req-2', 'req-3'].map((id) => [id, createJobState(jobSpec(id, { tasks: 2 }))]),
  );
  const queue = new WaitingQueue({
    jobs,
    order: new QueueOrder([]),
    dependencyConstraintsOf: undefined,
    clock: () => now,
    wallClock: () => now,
    maxAgeMs: 250,
  });
  const ids = (): string[] => queue.jobs().map(({ id }) => id);
  const [firstJob, secondJob] = [...jobs.values()];
  assert.ok(firstJob && secondJob);
  assert.deepEqual(ids(), ['req-1', 'req-2', 'req-3']);
  firstJob.outcome = 'cancelled';
  now = 249;
  assert.deepEqual(ids(), ['req-1', 'req-2', 'req-3']);
  now = 250;
  assert.deepEqual(ids(), ['req-2', 'req-3']);
  placeAll(secondJob, 'm1');
  queue.invalidate();
  assert.deepEqual(ids(), ['req-3']);
});
