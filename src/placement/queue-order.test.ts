import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { JobSpec } from '../model/types.js';
import { lateClasses } from './lateness.js';
import { type QueuedJob, QueueOrder, withoutDependencies } from './queue-order.js';

const objectives = [
  { kind: 'wait', jobClass: 'quick', share: 0.9, withinS: 60, times: undefined },
  { kind: 'deadline', jobClass: 'due', share: 0.9, withinS: undefined, times: 1 },
];

function queued(id: string, waiting: number, acceptedS: number, change: Partial<JobSpec> = {}): QueuedJob {
  const spec = {
    id,
    jobClass: 'quick',
    urgency: 'high',
    tasks: waiting,
    estimatedRunS: 10,
    deadlineS: null,
    acceptedAt: acceptedS * 1000,
    ...change,
  } as JobSpec;
  return { spec, dependencyFacts: withoutDependencies(spec), waiting, started: false };
}

function ids(jobs: QueuedJob[], nowS: number): string[] {
  return new QueueOrder(objectives).sorted(jobs, (job) => job, nowS * 1000).map(({ spec }) => spec.id);
}

// Guards against a burst that makes every job late: in the order of arrival all of them wait for the backlog.
test('small jobs come before large ones, and a large one has its turn before its objective has passed', () => {
  const large = queued('req-1', 90, 0);
  const small = (acceptedS: number): QueuedJob => queued('req-2', 10, acceptedS);
  assert.deepEqual(ids([large, small(1)], 2), ['req-2', 'req-1']);
  assert.deepEqual(ids([large, small(50)], 50), ['req-1', 'req-2']);
});

test('what can still meet an objective comes before what cannot, and what has waited for minutes before both', () => {
  const late = queued('req-1', 5, 0);
  const fresh = queued('req-2', 50, 80);
  assert.deepEqual(ids([late, fresh], 81), ['req-2', 'req-1']);
  assert.deepEqual(ids([late, queued('req-2', 50, 150)], 151), ['req-1', 'req-2']);
});

test('urgency decides first, then the time that a deadline leaves', () => {
  const urgent = queued('req-3', 50, 0);
  const soon = queued('req-1', 4, 0, { urgency: 'standard', jobClass: 'due', deadlineS: 40 });
  const later = queued('req-2', 4, 0, { urgency: 'standard', jobClass: 'due', deadlineS: 90 });
  assert.deepEqual(ids([later, soon, urgent], 1), ['req-3', 'req-1', 'req-2']);
});

// Guards against the last to come being served first: on a busy day half of the jobs waited for the end of the burst.
test('an objective of a few seconds does not put what has just come before what has waited for a moment', () => {
  const quick = [
    { ...objectives[0], kind: 'wait', jobClass: 'quick', withinS: 4 } as (typeof objectives)[number],
  ];
  const jobs = [queued('req-1', 20, 0), queued('req-2', 20, 8)];
  const sorted = new QueueOrder([...quick, ...objectives], 16_000).sorted(jobs, (job) => job, 9000);
  assert.deepEqual(
    sorted.map(({ spec }) => spec.id),
    ['req-1', 'req-2'],
  );
});

test('a class is named as late once more of its open jobs miss an objective than that allows', () => {
  const waiting = (id: string, acceptedS: number): QueuedJob => queued(id, 3, acceptedS);
  const jobs = [...Array(9).keys()].map((i) => waiting(`req-${i}`, 50));
  const allowed = [...jobs, waiting('req-9', 0)];
  assert.deepEqual(lateClasses(objectives, allowed, 61_000), []);
  const late = { jobClass: 'quick', objective: 'wait 60 s', open: 11, late: 2 };
  assert.deepEqual(lateClasses(objectives, [...allowed, waiting('req-10', 0)], 61_000), [late]);
  // What has all its tasks on machines waits no more; a deadline counts for as long as the job is open.
  const started = { ...queued('req-1', 0, 0), started: true };
  assert.deepEqual(lateClasses(objectives, [started], 61_000), []);
  const due = queued('req-1', 0, 0, { jobClass: 'due', deadlineS: 40 });
  assert.deepEqual(
    lateClasses(objectives, [due], 61_000).map(({ objective }) => objective),
    ['deadline 1x'],
  );
});
