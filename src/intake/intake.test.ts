import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import type { Reply, Route } from '../base/web.js';
import type { CommitOutcome } from '../store/client.js';
import { submission } from '../testing/cluster.js';
import { machineType } from '../testing/cloud-standin.js';
import { testSettings } from '../testing/settings.js';
import { parseMachineTypes } from '../wire/cloud.js';
import { Intake, type IntakePorts } from './intake.js';

/** An intake whose commits are settled by the test. */
function intakeWith(waitMs: number): { submit: (id: string) => Promise<Reply>; settle: (() => void)[] } {
  const settle: (() => void)[] = [];
  const commit = (): Promise<CommitOutcome> =>
    new Promise((resolve) => settle.push(() => resolve({ kind: 'applied', revision: 7 })));
  const mirror = { ready: true, size: 0, version: () => 0, get: () => undefined, learn: () => undefined };
  const types = new Map(parseMachineTypes({ hulls: [machineType] }).map((type) => [type.name, type]));
  const ports = {
    ...{ clock: () => 0, wallClock: () => 0, settings: testSettings(), mirror, types: () => types },
    ...{ store: { failing: false, writeWaitMs: () => waitMs }, writes: { full: false, commit } },
    home: () => [],
  } as unknown as IntakePorts;
  const route = new Intake(ports).routes[0] as Route;
  return { settle, submit: async (id) => route.handle(submission(id, 1), []) };
}

describe('submissions while the state service takes few changes', () => {
  // Guards against a queue that its own repetitions keep long: a day of the larger fleet took 361 of 1431 jobs.
  test('a repetition that comes while the first try is under way is no second commit', async () => {
    const { submit, settle } = intakeWith(0);
    const both = [submit('req-000001'), submit('req-000001')];
    await new Promise((resolve) => setImmediate(resolve));
    assert.equal(settle.length, 1);
    settle[0]?.();
    assert.deepEqual(
      (await Promise.all(both)).map(({ status }) => status),
      [201, 201],
    );
  });

  test('what would wait for longer than its user is turned away at once, with the time of its turn', async () => {
    const { submit, settle } = intakeWith(7000);
    const reply = await submit('req-000002');
    assert.deepEqual([reply.status, reply.retryAfterS, settle.length], [429, 7, 0]);
  });
});
