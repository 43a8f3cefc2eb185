import assert from 'node:assert/strict';
import { describe, test } from 'node:test';

import { createLog } from '../base/log.js';
import { machineToken } from '../testing/block-fixture.js';
import { createHeartbeatFixture } from '../testing/heartbeat-fixture.js';
import { outcomeKey } from '../wire/keys.js';
import { type HeartbeatExchange, HeartbeatLog } from './heartbeat-log.js';

const cancelDeadlineMs = 34_000;
const workerLeaseMs = 14_000;

/** A log of heartbeats whose lines and clock the test controls. */
function createFixture(): {
  heartbeatLog: HeartbeatLog;
  lines: Record<string, unknown>[];
  clock: { now: number };
} {
  const lines: Record<string, unknown>[] = [];
  const clock = { now: 0 };
  const heartbeatLog = new HeartbeatLog({
    clock: () => clock.now,
    log: createLog('k0', 'info', {
      write: (line) => void lines.push(JSON.parse(line) as Record<string, unknown>),
    }),
    settings: { cancelDeadlineMs, workerLeaseMs },
    replicaRevision: () => 600,
    replicaAgeMs: () => 40,
  });
  return { heartbeatLog, lines, clock };
}

function exchange(change: Partial<HeartbeatExchange>): HeartbeatExchange {
  return {
    heartbeat: {
      machine: 'm1',
      address: 'x',
      type: 'c8',
      zone: 'a',
      spot: false,
      preemptionNoticeS: null,
      agentEpoch: 1,
      sequence: 27,
      fencingToken: 283,
      tasks: [],
    },
    result: 'reconciled',
    status: 200,
    fencingToken: 413,
    endedJobTasks: [{ job: 'req-1', index: 5, attempt: 1, state: 'running', cause: '' }],
    ...change,
  };
}

describe('a heartbeat that reports a task of an ended job', () => {
  test('is logged with the response and its reason if it was not answered in the usual way', () => {
    const { heartbeatLog, lines } = createFixture();
    heartbeatLog.record(exchange({ result: 'unreconciled' }));
    heartbeatLog.record(exchange({ result: 'not-owned', status: 421, fencingToken: undefined }));
    const [offered, refused] = lines;
    assert.equal(offered?.['event'], 'ended-task-reported');
    assert.deepEqual(
      ['result', 'status', 'fencingToken', 'workerToken', 'stopped', 'revision', 'replicaAgeMs'].map(
        (name) => offered[name],
      ),
      ['unreconciled', 200, 413, 283, true, 600, 40],
    );
    assert.deepEqual(offered['tasks'], ['req-1/5@1']);
    assert.deepEqual([refused?.['result'], refused?.['stopped']], ['not-owned', false]);
  });

  test('is logged with the time left if the task is reported for longer than a lease', () => {
    const { heartbeatLog, lines, clock } = createFixture();
    heartbeatLog.record(exchange({}));
    clock.now = workerLeaseMs - 1;
    heartbeatLog.record(exchange({}));
    assert.equal(lines.length, 0);
    clock.now = workerLeaseMs;
    heartbeatLog.record(exchange({}));
    assert.deepEqual([lines[0]?.['reportedForMs'], lines[0]?.['deadlineWithinMs']], [14_000, 20_000]);
  });

  test('is counted and no longer logged after the limit of lines of the period', () => {
    const { heartbeatLog, lines } = createFixture();
    for (let i = 0; i < 130; i++) heartbeatLog.record(exchange({ result: 'stale' }));
    heartbeatLog.record(exchange({ endedJobTasks: [] }));
    heartbeatLog.record(exchange({ result: 'outranked', status: 421 }));
    assert.equal(lines.length, 100);
    const results = { stale: 130, reconciled: 1, outranked: 1 };
    assert.deepEqual(heartbeatLog.takeCounts(), { results, stopped: 130, refused: 1, unlogged: 31 });
    assert.deepEqual(heartbeatLog.takeCounts(), { results: {}, stopped: 0, refused: 0, unlogged: 0 });
  });
});

test('the handler passes every answered heartbeat to the log, with its reason and the tasks of ended jobs', () => {
  let mayAnswer = true;
  const fixture = createHeartbeatFixture({
    tasks: 1,
    areConnectionsScarce: () => true,
    mayAnswerHeartbeats: () => mayAnswer,
  });
  fixture.stored.set(outcomeKey('req-1'), { value: {}, version: 9 });
  const tasks = [{ index: 0, status: 'running' }];
  fixture.heartbeat('m1', tasks, machineToken - 1);
  fixture.heartbeat('m1', tasks, machineToken + 1);
  mayAnswer = false;
  fixture.heartbeat('m1', tasks);
  fixture.heartbeat('m9', tasks);
  assert.deepEqual(
    fixture.exchanges.map(({ result, status, endedJobTasks }) => [result, status, endedJobTasks.length]),
    [
      ['unreconciled', 200, 1],
      ['outranked', 421, 1],
      ['cancellations-unknown', 421, 1],
      ['not-owned', 503, 1],
    ],
  );
});
