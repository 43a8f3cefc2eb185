import assert from 'node:assert/strict';
import { describe, test } from 'node:test';

import { responseWindowMs } from '../leadership/heartbeat-response-policy.js';
import type { Task } from '../placement/job-state.js';
import { MachineState } from '../placement/machine-state.js';
import type { Outcome, OutcomeRecord } from '../wire/job-records.js';
import {
  type CancelledTaskInputs,
  cancelledTaskLimits,
  hasOverdueTask,
  jobsWithUnreadOutcome,
} from './cancelled-tasks.js';

const times = {
  heartbeatIntervalMs: 2500,
  workerLeaseMs: 14_000,
  cancelDeadlineMs: 34_000,
  clockErrorMs: 100,
};
const silenceLimitMs = 3 * times.heartbeatIntervalMs;
const limits = cancelledTaskLimits(times, silenceLimitMs);
const cancelledAt = 1_000_000;

function machineWithTask(phase: Task['phase'], lastHeartbeatAt: number): MachineState {
  const machine = new MachineState('m1', lastHeartbeatAt);
  machine.tasks.set('req-1/0', { phase, job: { id: 'req-1', outcome: 'cancelled' } } as unknown as Task);
  return machine;
}

function record(outcome: Outcome, endedAt?: number): OutcomeRecord {
  return { outcome, tasks: 1, ...(endedAt === undefined ? {} : { endedAt }) };
}

/** The inputs of a check `cancelledForMs` after the cancellation. Monotonic times count from the cancellation. */
function inputsAt(
  cancelledForMs: number,
  outcome: OutcomeRecord | undefined = record('cancelled', cancelledAt),
): CancelledTaskInputs {
  return {
    now: cancelledForMs,
    wallNow: cancelledAt + cancelledForMs,
    limits,
    outcomeOf: () => outcome,
    unreadForMs: () => 0,
  };
}

/** Returns the first time after the cancellation, in ms, at which the machine must be released. */
function releasedAfterMs(machine: MachineState): number {
  let now = machine.lastHeartbeatAt;
  while (!hasOverdueTask(machine, inputsAt(now))) now += 100;
  return now;
}

test('the limits lie between the end of the answers of an owner that does not know the cancellation, and the deadline', () => {
  assert.equal(limits.silentMs, responseWindowMs(times) + silenceLimitMs);
  assert.equal(limits.overdueMs, 34_000 - 5000 - 200);
  const shortDeadline = cancelledTaskLimits({ ...times, cancelDeadlineMs: 15_000 }, silenceLimitMs);
  assert.deepEqual([shortDeadline.silentMs, shortDeadline.overdueMs], [7250, 15_000 - 250 - 200]);
});

describe('a machine that has sent its owner no heartbeat and may have a task of a cancelled job', () => {
  // Guards against `ran_cancelled` after a restart of the owner: the limit counted from the start of the owner.
  test('must be released well before the deadline, whenever its owner started', () => {
    for (let ownerStartedAt = 0; ownerStartedAt < limits.overdueMs; ownerStartedAt += 500) {
      const releasedAfter = releasedAfterMs(machineWithTask('placed', ownerStartedAt));
      assert.ok(releasedAfter <= limits.overdueMs + 100, `${ownerStartedAt}: ${releasedAfter}`);
    }
    const lateOwner = machineWithTask('placed', limits.overdueMs + 1000);
    assert.equal(releasedAfterMs(lateOwner), lateOwner.lastHeartbeatAt);
  });

  // Guards against the fault of inc-0484: machines that their previous owner still answered were released.
  test('is kept as long as a previous owner that does not know the cancellation may answer it, and for three heartbeat intervals more', () => {
    for (let ownerStartedAt = -20_000; ownerStartedAt < 20_000; ownerStartedAt += 500) {
      const machine = machineWithTask('placed', ownerStartedAt);
      assert.equal(hasOverdueTask(machine, inputsAt(responseWindowMs(times) + silenceLimitMs)), false);
    }
  });

  test('is given the silence limit to send a heartbeat, unless the deadline is near', () => {
    const ownerStartedAt = 20_000;
    const machine = machineWithTask('placed', ownerStartedAt);
    assert.equal(hasOverdueTask(machine, inputsAt(ownerStartedAt + silenceLimitMs)), false);
    assert.equal(hasOverdueTask(machine, inputsAt(ownerStartedAt + silenceLimitMs + 1)), true);
  });
});

// Guards against the release of machines at work after a restart: the first heartbeat to the new owner does not
// prove yet that the task has ended, because it does not carry the new token.
test('a machine that sends heartbeats is released only after its heartbeats stop', () => {
  const check = (cancelledForMs: number, silentForMs: number): boolean => {
    const machine = machineWithTask('seen', cancelledForMs - silentForMs);
    machine.hasSentHeartbeat = true;
    return hasOverdueTask(machine, inputsAt(cancelledForMs));
  };
  assert.equal(check(limits.overdueMs + 1, limits.maxHeartbeatGapMs), false);
  assert.equal(check(limits.overdueMs + 1, limits.maxHeartbeatGapMs + 1), true);
  assert.equal(check(limits.overdueMs, limits.silenceLimitMs), false);
  assert.equal(check(limits.silentMs + 1, limits.silenceLimitMs + 1), true);
});

test('tasks that were never started, and tasks of jobs that are open or done, limit nothing', () => {
  const inputs = inputsAt(60_000);
  assert.equal(hasOverdueTask(machineWithTask('placed', 0), inputs), true);
  assert.equal(hasOverdueTask(machineWithTask('placing', 0), inputs), false);
  const done = inputsAt(60_000, record('done', cancelledAt));
  assert.equal(hasOverdueTask(machineWithTask('placed', 0), done), false);
  const open = new MachineState('m1', 0);
  open.tasks.set('req-1/0', { phase: 'placed', job: { id: 'req-1', outcome: undefined } } as unknown as Task);
  assert.equal(hasOverdueTask(open, inputs), false);
});

test('if the time of the cancellation cannot be read within the silence limit, a silent machine is released', () => {
  const machine = machineWithTask('placed', 0);
  for (const outcome of [undefined, record('cancelled')]) {
    const isReleased = (unreadMs: number, now: number): boolean =>
      hasOverdueTask(machine, {
        ...inputsAt(now),
        outcomeOf: () => outcome,
        unreadForMs: () => unreadMs,
      });
    assert.equal(isReleased(silenceLimitMs, 60_000), false);
    assert.equal(isReleased(silenceLimitMs + 1, silenceLimitMs), false);
    assert.equal(isReleased(silenceLimitMs + 1, silenceLimitMs + 1), true);
  }
});

test('an outcome is read if it is unknown, or was listed without its time, and may limit the machine', () => {
  const unread = (phase: Task['phase'], outcome: OutcomeRecord | undefined): string[] =>
    jobsWithUnreadOutcome(machineWithTask(phase, 0), () => outcome);
  assert.deepEqual(unread('placed', undefined), ['req-1']);
  assert.deepEqual(unread('placed', record('cancelled')), ['req-1']);
  assert.deepEqual(unread('placed', record('cancelled', 0)), []);
  assert.deepEqual(unread('placed', record('done')), []);
  assert.deepEqual(unread('placing', undefined), []);
});
