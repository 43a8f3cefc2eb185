import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { type CheckOptions, check } from './checker.js';
import type { TimedEvent, HistoryEvent, JobRequest, UserAnswer } from './history.js';

const job: JobRequest = {
  team: 'red',
  tasks: 2,
  cpus: 4,
  machineTypes: null,
  zone: null,
  colocated: false,
  spread: false,
  spot: false,
  dependencies: [],
};
const options: CheckOptions = {
  teamCpuLimits: new Map([['red', 8]]),
  cancelDeadlineMs: 5000,
  startGraceMs: 500,
  maxUnansweredMs: 7500,
  maxWaitMs: 9000,
  faultsEndedAt: 0,
  historyEndsAt: 7000,
};

type AnswerEvent = Extract<HistoryEvent, { kind: 'told' }>;
/** An answer to a user. The request was sent at `sentAt`, by default at the time of the answer. */
type TestAnswer = Omit<AnswerEvent, 'sentAt'> & { sentAt?: number };
type TestEvent = (Exclude<HistoryEvent, AnswerEvent> | TestAnswer) & { at?: number };

/**
 * Returns the violations in a history of these events. The event with index n has the time n * 100 ms unless
 * it specifies a time.
 */
function violationsOf(events: TestEvent[], change: Partial<CheckOptions> = {}): string[] {
  const timedEvents = events.map((event, i): TimedEvent => {
    const at = event.at ?? i * 100;
    return event.kind === 'told' ? { sentAt: at, ...event, at } : { ...event, at };
  });
  return check(timedEvents, { ...options, ...change }).map(({ rule, subject }) => `${rule} ${subject}`);
}

const machine = (id: string, zone = 'a', spot = false, type = 'c8'): HistoryEvent => {
  return { kind: 'machine', machine: id, type, zone, spot };
};
const submitted = (id: string, change: Partial<JobRequest> = {}): HistoryEvent => {
  return { kind: 'submitted', id, job: { ...job, ...change } };
};
const answered = (
  id: string,
  requestKind: 'submission' | 'question' | 'cancel',
  answer: UserAnswer,
): TestAnswer => {
  return { kind: 'told', id, requestKind, answer };
};
const started = (task: string, machineId: string): HistoryEvent => ({
  kind: 'started',
  task,
  machine: machineId,
});
const left = (task: string, machineId: string, completed = false): HistoryEvent => {
  return { kind: 'left', task, machine: machineId, completed };
};
const baseEvents: TestEvent[] = [
  machine('m1'),
  machine('m2', 'b'),
  submitted('a'),
  answered('a', 'submission', 'pending'),
];

describe('the checker reports each violated rule in a constructed history', () => {
  const testViolations = (name: string, events: TestEvent[], expected: string[]): void => {
    test(name, () => assert.deepEqual(violationsOf([...baseEvents, ...events]), expected));
  };
  testViolations(
    'no violation in a history that keeps all rules',
    [
      ...[started('a/0', 'm1'), started('a/1', 'm2'), left('a/0', 'm1'), started('a/0', 'm2')],
      ...[left('a/0', 'm2', true), answered('a', 'question', 'running'), left('a/1', 'm2', true)],
      ...[
        answered('a', 'question', 'done'),
        answered('a', 'submission', 'done'),
        answered('b', 'question', 'unknown'),
      ],
    ],
    [],
  );
  testViolations(
    'ran_twice: a task starts on a machine while it still runs on another one',
    [started('a/0', 'm1'), started('a/0', 'm2')],
    ['ran_twice a/0'],
  );
  testViolations(
    'quota: the tasks of a team use more CPUs than the limit of the team',
    [submitted('b', { tasks: 3 }), ...['b/0', 'b/1', 'b/2'].map((t) => started(t, 'm1'))],
    ['quota b/2'],
  );
  const constrainedJob = (change: Partial<JobRequest>): HistoryEvent =>
    submitted('b', { ...change, tasks: 3, cpus: 1 });
  testViolations(
    'wrong_place: a task starts on a machine of a type that its job does not allow',
    [constrainedJob({ machineTypes: ['g8'] }), started('b/0', 'm1')],
    ['wrong_place b/0'],
  );
  testViolations(
    'wrong_place: a task starts in another zone than its job requires',
    [constrainedJob({ zone: 'b' }), started('b/0', 'm1')],
    ['wrong_place b/0'],
  );
  testViolations(
    'wrong_place: a task starts on a spot machine, which its job does not allow',
    [machine('m3', 'a', true), constrainedJob({}), started('b/0', 'm3')],
    ['wrong_place b/0'],
  );
  testViolations(
    'wrong_place: tasks of a colocated job start in two zones',
    [constrainedJob({ colocated: true }), started('b/0', 'm1'), started('b/1', 'm2')],
    ['wrong_place b/1'],
  );
  testViolations(
    'wrong_place: too many tasks of a spread job start in one zone',
    [constrainedJob({ spread: true }), started('b/0', 'm1'), started('b/1', 'm1'), started('b/2', 'm1')],
    ['wrong_place b/2'],
  );
  const cancelEvents: TestEvent[] = [
    { kind: 'asked to cancel', id: 'a' },
    answered('a', 'cancel', 'cancelled'),
  ];
  testViolations(
    'ran_cancelled: a task still executes after the cancel deadline',
    [started('a/0', 'm1'), ...cancelEvents, { ...left('a/0', 'm1'), at: 5601 }],
    ['ran_cancelled a/0'],
  );
  testViolations(
    'ran_cancelled: a task executes until the history ends',
    [started('a/0', 'm1'), ...cancelEvents],
    ['ran_cancelled a/0'],
  );
  testViolations(
    'ran_cancelled: a task starts after the cancel deadline',
    [...cancelEvents, { ...started('a/0', 'm1'), at: 6000 }, { ...left('a/0', 'm1'), at: 6100 }],
    ['ran_cancelled a/0'],
  );
  testViolations(
    'started_cancelled: a task starts after the grace time and within the cancel deadline',
    [...cancelEvents, { ...started('a/0', 'm1'), at: 1100 }, { ...left('a/0', 'm1'), at: 1200 }],
    ['started_cancelled a/0'],
  );
  testViolations(
    'no violation: a cancelled task ends within the cancel deadline',
    [started('a/0', 'm1'), ...cancelEvents, { ...left('a/0', 'm1'), at: 5599 }],
    [],
  );
  testViolations(
    'forgotten: a query for an accepted job is answered with unknown',
    [started('a/0', 'm1'), answered('a', 'question', 'unknown')],
    ['forgotten a'],
  );
  testViolations(
    'forgotten: a repeated submission of an accepted job is refused',
    [started('a/0', 'm1'), answered('a', 'submission', 'refused')],
    ['forgotten a'],
  );
  testViolations(
    'forgotten: queries for one job stay unanswered while queries for another are answered',
    [
      ...[submitted('b'), answered('b', 'submission', 'pending'), started('a/0', 'm1'), started('b/0', 'm2')],
      { ...answered('a', 'question', 'turned away'), at: 1000 },
      { ...answered('b', 'question', 'running'), at: 8000 },
      { ...answered('a', 'question', 'turned away'), at: 8501 },
    ],
    ['forgotten a'],
  );
  testViolations(
    'invented: a job that was never submitted is reported as pending',
    [started('a/0', 'm1'), answered('z', 'question', 'pending')],
    ['invented z'],
  );
  testViolations(
    'not_done: a job is reported as done although one of its tasks has not completed',
    [started('a/0', 'm1'), left('a/0', 'm1', true), answered('a', 'question', 'done')],
    ['not_done a'],
  );
  testViolations(
    'went_back: a cancelled job is reported as pending',
    [...cancelEvents, answered('a', 'question', 'pending')],
    ['went_back a'],
  );
  testViolations(
    'went_back: a submission repeated after the confirmed cancellation is answered with pending',
    [...cancelEvents, { ...answered('a', 'submission', 'pending'), sentAt: 501, at: 2000 }],
    ['went_back a'],
  );
  testViolations(
    'no violation: requests in flight when the cancellation is confirmed are answered with pending',
    [
      ...[...cancelEvents, { ...answered('a', 'question', 'pending'), sentAt: 499, at: 2000 }],
      { ...answered('a', 'submission', 'pending'), sentAt: 450, at: 2001 },
    ],
    [],
  );
  testViolations(
    'went_back: a job is reported as both cancelled and done by requests that were in flight together',
    [
      ...[started('a/0', 'm1'), started('a/1', 'm1'), left('a/0', 'm1', true), left('a/1', 'm1', true)],
      ...[...cancelEvents, { ...answered('a', 'question', 'done'), sentAt: 0 }],
    ],
    ['went_back a'],
  );
  testViolations(
    'forgotten: unknown is a wrong answer to a query sent after the acceptance of the job, but not before',
    [
      started('a/0', 'm1'),
      ...[submitted('b'), answered('b', 'submission', 'pending'), started('b/0', 'm2')],
      { ...answered('a', 'question', 'unknown'), sentAt: 301 },
      { ...answered('b', 'question', 'unknown'), sentAt: 599 },
    ],
    ['forgotten a'],
  );
  testViolations(
    'went_back: a job is reported as cancelled without a cancel request',
    [answered('a', 'question', 'cancelled')],
    ['went_back a'],
  );
  testViolations(
    'went_back: a done job is reported as pending',
    [
      ...[started('a/0', 'm1'), started('a/1', 'm1'), left('a/0', 'm1', true), left('a/1', 'm1', true)],
      ...[answered('a', 'question', 'done'), answered('a', 'submission', 'pending')],
    ],
    ['went_back a'],
  );
  const dependentJob = (id: string, ...dependencies: string[]): TestEvent[] => [
    submitted(id, { tasks: 1, cpus: 1, dependencies }),
    answered(id, 'submission', 'pending'),
  ];
  const completedA = [
    started('a/0', 'm1'),
    started('a/1', 'm1'),
    left('a/0', 'm1', true),
    left('a/1', 'm1', true),
  ];
  testViolations(
    'no violation: a job starts after its dependencies are done',
    [...dependentJob('b', 'a'), ...completedA, started('b/0', 'm1')],
    [],
  );
  testViolations(
    'too_early: a job starts when one of two tasks of its dependency is done',
    [...dependentJob('b', 'a'), ...completedA.slice(0, 3), started('b/0', 'm2')],
    ['too_early b/0'],
  );
  testViolations(
    'too_early: a job starts although its dependency was never submitted',
    [...dependentJob('b', 'z'), started('a/0', 'm1'), started('b/0', 'm1')],
    ['too_early b/0'],
  );
  testViolations(
    'orphaned: an indirect dependent of a cancelled job is still pending after the cancel deadline',
    [
      ...[...dependentJob('b', 'a'), ...dependentJob('c', 'b'), ...cancelEvents],
      { ...answered('c', 'question', 'pending'), at: 5900 },
      { ...answered('c', 'question', 'pending'), at: 5901 },
    ],
    ['orphaned c'],
  );
  testViolations(
    'no violation: a dependent of a cancelled job is cancelled without a cancel request of its own',
    [...dependentJob('b', 'a'), ...cancelEvents, answered('b', 'question', 'cancelled')],
    [],
  );
  testViolations(
    'went_back: a job is reported as cancelled without a cancel request for the job or its dependency',
    [...dependentJob('b', 'a'), started('a/0', 'm1'), answered('b', 'question', 'cancelled')],
    ['went_back b'],
  );
  testViolations(
    'accepted_bad: an invalid submission is accepted',
    [
      started('a/0', 'm1'),
      { kind: 'submitted', id: 'b', job: undefined },
      answered('b', 'submission', 'pending'),
    ],
    ['accepted_bad b'],
  );
  test('left_waiting: an accepted job that fits is not started within the maximum wait', () => {
    assert.deepEqual(violationsOf(baseEvents, { historyEndsAt: 9301 }), ['left_waiting a']);
    assert.deepEqual(violationsOf(baseEvents, { historyEndsAt: 9301, faultsEndedAt: 1000 }), []);
    const dependentJob = [
      submitted('b', { tasks: 1, dependencies: ['a'] }),
      answered('b', 'submission', 'pending'),
    ];
    assert.deepEqual(violationsOf([...baseEvents, ...dependentJob], { historyEndsAt: 19_301 }), [
      'left_waiting a',
    ]);
  });
});
