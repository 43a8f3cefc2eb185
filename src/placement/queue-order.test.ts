import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { JobSpec } from '../model/types.js';
import { lateClasses } from './lateness.js';
import { type QueuedJob, QueueOrder, withoutDependencies } from './queue-order.js';

const objectives = [
  { kind: 'wait', jobClass: 'quick', share: 0.9, withinS: 60, deadlineMultiple: undefined },
  { kind: 'deadline', jobClass: 'due', share: 0.9, withinS: undefined, deadlineMultiple: 1 },
];

function queuedJob(
  id: string,
  waiting: number,
  acceptedS: number,
  overrides: Partial<JobSpec> = {},
): QueuedJob {
  const spec = {
    id,
    jobClass: 'quick',
    urgency: 'high',
    tasks: waiting,
    estimatedRunS: 10,
    deadlineS: null,
    acceptedAt: acceptedS * 1000,
    ...overrides,
  } as JobSpec;
  return { spec, dependencyConstraints: withoutDependencies(spec), waitingCount: waiting, started: false };
}

function ids(jobs: QueuedJob[], nowS: number): string[] {
  return new QueueOrder(objectives).sorted(jobs, (job) => job, nowS * 1000).map(({ spec }) => spec.id);
}

// During a burst of submissions, more jobs wait than can start. If jobs were started in order of arrival,
// each job would wait for the whole backlog, and every job would be late.
test('small jobs start before large jobs, but a large job starts before small jobs that arrive much later', () => {
  const large = queuedJob('req-1', 90, 0);
  const small = (acceptedS: number): QueuedJob => queuedJob('req-2', 10, acceptedS);
  assert.deepEqual(ids([large, small(1)], 2), ['req-2', 'req-1']);
  assert.deepEqual(ids([large, small(50)], 50), ['req-1', 'req-2']);
});

test('starved jobs start first, then jobs that can still meet an objective, then jobs that have missed all objectives', () => {
  const late = queuedJob('req-1', 5, 0);
  const fresh = queuedJob('req-2', 50, 80);
  assert.deepEqual(ids([late, fresh], 81), ['req-2', 'req-1']);
  assert.deepEqual(ids([late, queuedJob('req-2', 50, 150)], 151), ['req-1', 'req-2']);
});

test('jobs are ordered by urgency first, then by the time left until the deadline', () => {
  const urgent = queuedJob('req-3', 50, 0);
  const soon = queuedJob('req-1', 4, 0, { urgency: 'standard', jobClass: 'due', deadlineS: 40 });
  const later = queuedJob('req-2', 4, 0, { urgency: 'standard', jobClass: 'due', deadlineS: 90 });
  assert.deepEqual(ids([later, soon, urgent], 1), ['req-3', 'req-1', 'req-2']);
});

// If an objective of a few seconds were used, only the newest jobs could still meet it, so these jobs would
// start first. With this order, half of the jobs of a busy day waited until the end of the burst.
test('an objective of a few seconds does not put new jobs before jobs that have waited slightly longer', () => {
  const shortWaitObjectives = [
    { ...objectives[0], kind: 'wait', jobClass: 'quick', withinS: 4 } as (typeof objectives)[number],
  ];
  const jobs = [queuedJob('req-1', 20, 0), queuedJob('req-2', 20, 8)];
  const sorted = new QueueOrder([...shortWaitObjectives, ...objectives], 16_000).sorted(
    jobs,
    (job) => job,
    9000,
  );
  assert.deepEqual(
    sorted.map(({ spec }) => spec.id),
    ['req-1', 'req-2'],
  );
});

test('a job class is reported as late if more of its open jobs miss an objective than the objective allows', () => {
  const waiting = (id: string, acceptedS: number): QueuedJob => queuedJob(id, 3, acceptedS);
  const jobs = [...Array(9).keys()].map((i) => waiting(`req-${i}`, 50));
  const allowed = [...jobs, waiting('req-9', 0)];
  assert.deepEqual(lateClasses(objectives, allowed, 61_000), []);
  const late = { jobClass: 'quick', objective: 'wait 60 s', open: 11, late: 2 };
  assert.deepEqual(lateClasses(objectives, [...allowed, waiting('req-10', 0)], 61_000), [late]);
  // A wait objective does not apply to a job whose tasks are all on machines. A deadline applies until the
  // job ends.
  const started = { ...queuedJob('req-1', 0, 0), started: true };
  assert.deepEqual(lateClasses(objectives, [started], 61_000), []);
  const due = queuedJob('req-1', 0, 0, { jobClass: 'due', deadlineS: 40 });
  assert.deepEqual(
    lateClasses(objectives, [due], 61_000).map(({ objective }) => objective),
    ['deadline 1x'],
  );
});
