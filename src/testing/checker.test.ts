import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { type CheckFacts, check } from './checker.js';
import type { Dated, Happening, JobFacts, Told } from './history.js';

const job: JobFacts = {
  team: 'red',
  tasks: 2,
  cpus: 4,
  types: null,
  zone: null,
  oneZone: false,
  spread: false,
  spot: false,
  dependencies: [],
};
const facts: CheckFacts = {
  limits: new Map([['red', 8]]),
  cancelDeadlineMs: 5000,
  startGraceMs: 500,
  forgottenMs: 7500,
  waitsMs: 9000,
  calmAt: 0,
  endsAt: 7000,
};

type ToldHappening = Extract<Happening, { kind: 'told' }>;
/** A request is sent at the time given, or as late as its answer. */
type MadeUpAnswer = Omit<ToldHappening, 'sentAt'> & { sentAt?: number };
type MadeUp = (Exclude<Happening, ToldHappening> | MadeUpAnswer) & { at?: number };

/** A history in which a happening comes every 100 ms, or at the time given. */
function rulesOf(happenings: MadeUp[], change: Partial<CheckFacts> = {}): string[] {
  const dated = happenings.map((happening, i): Dated => {
    const at = happening.at ?? i * 100;
    return happening.kind === 'told' ? { sentAt: at, ...happening, at } : { ...happening, at };
  });
  return check(dated, { ...facts, ...change }).map(({ rule, subject }) => `${rule} ${subject}`);
}

const machine = (id: string, zone = 'a', spot = false, type = 'c8'): Happening => {
  return { kind: 'machine', machine: id, type, zone, spot };
};
const submitted = (id: string, change: Partial<JobFacts> = {}): Happening => {
  return { kind: 'submitted', id, job: { ...job, ...change } };
};
const told = (id: string, by: 'submission' | 'question' | 'cancel', what: Told): MadeUpAnswer => {
  return { kind: 'told', id, by, what };
};
const started = (task: string, on: string): Happening => ({ kind: 'started', task, machine: on });
const left = (task: string, on: string, completed = false): Happening => {
  return { kind: 'left', task, machine: on, completed };
};
const ground: MadeUp[] = [
  machine('m1'),
  machine('m2', 'b'),
  submitted('a'),
  told('a', 'submission', 'pending'),
];

describe('a made-up history that breaks a rule is caught', () => {
  const caught = (name: string, happenings: MadeUp[], expected: string[]): void => {
    test(name, () => assert.deepEqual(rulesOf([...ground, ...happenings]), expected));
  };
  caught(
    'none is broken',
    [
      ...[started('a/0', 'm1'), started('a/1', 'm2'), left('a/0', 'm1'), started('a/0', 'm2')],
      ...[left('a/0', 'm2', true), told('a', 'question', 'running'), left('a/1', 'm2', true)],
      ...[told('a', 'question', 'done'), told('a', 'submission', 'done'), told('b', 'question', 'unknown')],
    ],
    [],
  );
  caught('ran_twice', [started('a/0', 'm1'), started('a/0', 'm2')], ['ran_twice a/0']);
  caught(
    'quota',
    [submitted('b', { tasks: 3 }), ...['b/0', 'b/1', 'b/2'].map((t) => started(t, 'm1'))],
    ['quota b/2'],
  );
  const bound = (change: Partial<JobFacts>): Happening => submitted('b', { ...change, tasks: 3, cpus: 1 });
  caught('wrong_place: type', [bound({ types: ['g8'] }), started('b/0', 'm1')], ['wrong_place b/0']);
  caught('wrong_place: zone', [bound({ zone: 'b' }), started('b/0', 'm1')], ['wrong_place b/0']);
  caught(
    'wrong_place: kind',
    [machine('m3', 'a', true), bound({}), started('b/0', 'm3')],
    ['wrong_place b/0'],
  );
  caught(
    'wrong_place: one zone',
    [bound({ oneZone: true }), started('b/0', 'm1'), started('b/1', 'm2')],
    ['wrong_place b/1'],
  );
  caught(
    'wrong_place: apart',
    [bound({ spread: true }), started('b/0', 'm1'), started('b/1', 'm1'), started('b/2', 'm1')],
    ['wrong_place b/2'],
  );
  const cancelled: MadeUp[] = [{ kind: 'asked to cancel', id: 'a' }, told('a', 'cancel', 'cancelled')];
  caught(
    'ran_cancelled: it stays',
    [started('a/0', 'm1'), ...cancelled, { ...left('a/0', 'm1'), at: 5601 }],
    ['ran_cancelled a/0'],
  );
  caught('ran_cancelled: it never leaves', [started('a/0', 'm1'), ...cancelled], ['ran_cancelled a/0']);
  caught(
    'ran_cancelled: it starts late',
    [...cancelled, { ...started('a/0', 'm1'), at: 6000 }, { ...left('a/0', 'm1'), at: 6100 }],
    ['ran_cancelled a/0'],
  );
  caught(
    'a start after a confirmed cancellation',
    [...cancelled, { ...started('a/0', 'm1'), at: 1100 }, { ...left('a/0', 'm1'), at: 1200 }],
    ['started_cancelled a/0'],
  );
  caught('gone in time', [started('a/0', 'm1'), ...cancelled, { ...left('a/0', 'm1'), at: 5599 }], []);
  caught('forgotten: unknown', [started('a/0', 'm1'), told('a', 'question', 'unknown')], ['forgotten a']);
  caught('forgotten: refused', [started('a/0', 'm1'), told('a', 'submission', 'refused')], ['forgotten a']);
  caught(
    'forgotten: no question is answered',
    [
      ...[submitted('b'), told('b', 'submission', 'pending'), started('a/0', 'm1'), started('b/0', 'm2')],
      { ...told('a', 'question', 'turned away'), at: 1000 },
      { ...told('b', 'question', 'running'), at: 8000 },
      { ...told('a', 'question', 'turned away'), at: 8501 },
    ],
    ['forgotten a'],
  );
  caught('invented', [started('a/0', 'm1'), told('z', 'question', 'pending')], ['invented z']);
  caught(
    'not_done',
    [started('a/0', 'm1'), left('a/0', 'm1', true), told('a', 'question', 'done')],
    ['not_done a'],
  );
  caught('went_back: from cancelled', [...cancelled, told('a', 'question', 'pending')], ['went_back a']);
  caught(
    'went_back: a repetition that was sent after the end was told, and answered much later',
    [...cancelled, { ...told('a', 'submission', 'pending'), sentAt: 501, at: 2000 }],
    ['went_back a'],
  );
  caught(
    'no rule: requests that were under way when the end was told, in whatever order their answers come',
    [
      ...[...cancelled, { ...told('a', 'question', 'pending'), sentAt: 499, at: 2000 }],
      { ...told('a', 'submission', 'pending'), sentAt: 450, at: 2001 },
    ],
    [],
  );
  caught(
    'went_back: two ends, though the requests were under way together',
    [
      ...[started('a/0', 'm1'), started('a/1', 'm1'), left('a/0', 'm1', true), left('a/1', 'm1', true)],
      ...[...cancelled, { ...told('a', 'question', 'done'), sentAt: 0 }],
    ],
    ['went_back a'],
  );
  caught(
    'forgotten: unknown, asked after the acceptance; not where it was asked before',
    [
      started('a/0', 'm1'),
      ...[submitted('b'), told('b', 'submission', 'pending'), started('b/0', 'm2')],
      { ...told('a', 'question', 'unknown'), sentAt: 301 },
      { ...told('b', 'question', 'unknown'), sentAt: 599 },
    ],
    ['forgotten a'],
  );
  caught('went_back: nobody asked', [told('a', 'question', 'cancelled')], ['went_back a']);
  caught(
    'went_back: from done',
    [
      ...[started('a/0', 'm1'), started('a/1', 'm1'), left('a/0', 'm1', true), left('a/1', 'm1', true)],
      ...[told('a', 'question', 'done'), told('a', 'submission', 'pending')],
    ],
    ['went_back a'],
  );
  const needsA = (id: string, ...dependencies: string[]): MadeUp[] => [
    submitted(id, { tasks: 1, cpus: 1, dependencies }),
    told(id, 'submission', 'pending'),
  ];
  const doneA = [
    started('a/0', 'm1'),
    started('a/1', 'm1'),
    left('a/0', 'm1', true),
    left('a/1', 'm1', true),
  ];
  caught(
    'no rule: it starts after all that it needs are done',
    [...needsA('b', 'a'), ...doneA, started('b/0', 'm1')],
    [],
  );
  caught(
    'too_early: one of two tasks of the job that it needs is done',
    [...needsA('b', 'a'), ...doneA.slice(0, 3), started('b/0', 'm2')],
    ['too_early b/0'],
  );
  caught(
    'too_early: a job that it needs is not known at all',
    [...needsA('b', 'z'), started('a/0', 'm1'), started('b/0', 'm1')],
    ['too_early b/0'],
  );
  caught(
    'orphaned: a job that needs the cancelled one through another is still called pending',
    [
      ...[...needsA('b', 'a'), ...needsA('c', 'b'), ...cancelled],
      { ...told('c', 'question', 'pending'), at: 5900 },
      { ...told('c', 'question', 'pending'), at: 5901 },
    ],
    ['orphaned c'],
  );
  caught(
    'no rule: a job is cancelled with the one that it needs, and nobody asked for that',
    [...needsA('b', 'a'), ...cancelled, told('b', 'question', 'cancelled')],
    [],
  );
  caught(
    'went_back: a job is called cancelled where the one that it needs was not',
    [...needsA('b', 'a'), started('a/0', 'm1'), told('b', 'question', 'cancelled')],
    ['went_back b'],
  );
  caught(
    'a job that lacks a field is accepted',
    [
      started('a/0', 'm1'),
      { kind: 'submitted', id: 'b', job: undefined },
      told('b', 'submission', 'pending'),
    ],
    ['accepted_bad b'],
  );
  test('a job is left waiting beside room', () => {
    assert.deepEqual(rulesOf(ground, { endsAt: 9301 }), ['left_waiting a']);
    assert.deepEqual(rulesOf(ground, { endsAt: 9301, calmAt: 1000 }), []);
    const needsA = [submitted('b', { tasks: 1, dependencies: ['a'] }), told('b', 'submission', 'pending')];
    assert.deepEqual(rulesOf([...ground, ...needsA], { endsAt: 19_301 }), ['left_waiting a']);
  });
});
