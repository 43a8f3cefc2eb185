import assert from 'node:assert/strict';
import { describe, test } from 'node:test';

import { nextEventLoopIteration } from '../base/event-loop.js';
import { createLog } from '../base/log.js';
import type { Reply } from '../base/replies.js';
import type { MachineState } from '../placement/machine-state.js';
import { machineToken } from '../testing/block-fixture.js';
import {
  createHeartbeatFixture,
  type HeartbeatFixture,
  sendHeldResponses,
} from '../testing/heartbeat-fixture.js';

const unknownOwnerReply: Reply = { status: 421, body: {} };
const noOwnerReply: Reply = { status: 503, body: {} };

function commandsOf(reply: Reply | undefined): unknown {
  return (reply?.body as { orders: unknown }).orders;
}

function machineOf(stage: HeartbeatFixture, id: string): MachineState {
  const machine = stage.blockState.machines.get(id);
  assert.ok(machine);
  return machine;
}

describe('accepting, redirecting and rejecting heartbeats', () => {
  test('a body that is not a heartbeat is rejected', () => {
    const stage = createHeartbeatFixture({ tasks: 0 });
    stage.handler.handle({ host: 'm1' }, (reply) => void stage.replies.push(reply));
    assert.deepEqual(stage.replies, [{ status: 400, body: { error: 'not a report' } }]);
  });

  test('a worker whose machine this controller does not own is redirected to the owner, or else to the leader', () => {
    const findMachine = (): undefined => undefined;
    const ownedByPeer = createHeartbeatFixture({
      tasks: 0,
      findMachine,
      ownerOf: () => 'keel-1',
      leader: () => 'keel-2',
    });
    const redirectedToLeader = createHeartbeatFixture({ tasks: 0, findMachine, leader: () => 'keel-2' });
    const handlerIsLeader = createHeartbeatFixture({ tasks: 0, findMachine, leader: () => 'keel-0' });
    const withoutLeader = createHeartbeatFixture({ tasks: 0, findMachine });
    const stages = [ownedByPeer, redirectedToLeader, handlerIsLeader, withoutLeader];
    for (const stage of stages) stage.heartbeat('m1');
    assert.deepEqual(
      stages.map(({ replies }) => replies[0]),
      [
        { status: 421, body: { skipper: 'keel-1' } },
        { status: 421, body: { skipper: 'keel-2' } },
        noOwnerReply,
        noOwnerReply,
      ],
    );
  });

  test('no heartbeat is applied while cancellations may be unknown', () => {
    const stage = createHeartbeatFixture({ tasks: 0, mayAnswerHeartbeats: () => false });
    stage.heartbeat('m1');
    assert.deepEqual(stage.replies, [unknownOwnerReply]);
    assert.equal(machineOf(stage, 'm1').sequence, -1);
  });

  test('a worker that has seen a higher fencing token is answered that another controller owns its machine', () => {
    const stage = createHeartbeatFixture({ tasks: 0 });
    stage.heartbeat('m1', [], machineToken + 1);
    assert.deepEqual(stage.replies, [unknownOwnerReply]);
  });

  test('a worker first receives the fencing token without commands, and the time of the first offer is recorded', () => {
    let now = 100;
    const stage = createHeartbeatFixture({ tasks: 1, clock: () => now, areConnectionsScarce: () => true });
    stage.heartbeat('m1', [], 0);
    now = 200;
    stage.heartbeat('m1', [], 0);
    assert.equal(machineOf(stage, 'm1').fencingTokenOfferedAt, 100);
    assert.deepEqual(stage.replies.at(-1), { status: 200, body: { helm: machineToken, orders: [] } });
    stage.heartbeat('m1');
    assert.equal(machineOf(stage, 'm1').fencingTokenOfferedAt, undefined);
  });
});

describe('a response that waited for a commit starts', () => {
  const start = { verb: 'run', piece: 'req-1/0', try: 1 };

  /**
   * Sends a heartbeat whose response waits for the commit of a start, calls `change` during the wait, and
   * returns the commands in the response.
   */
  async function commandsSentAfter(
    change: (stage: HeartbeatFixture, clock: { now: number; mayStart: boolean }) => void,
  ): Promise<unknown> {
    const clock = { now: 0, mayStart: true };
    const stage = createHeartbeatFixture({
      tasks: 1,
      clock: () => clock.now,
      mayStartTasks: () => clock.mayStart,
    });
    stage.heartbeat('m1');
    assert.equal(stage.replies.length, 0);
    change(stage, clock);
    for (let turn = 0; turn < 5; turn++) await nextEventLoopIteration();
    sendHeldResponses(stage);
    assert.equal(stage.replies.length, 1);
    return commandsOf(stage.replies[0]);
  }

  test('a task whose intent is committed', async () => {
    assert.deepEqual(await commandsSentAfter(() => undefined), [start]);
  });

  test('nothing after a change of the fencing token, a later heartbeat, or the decision to release the machine', async () => {
    const setToken = (stage: HeartbeatFixture): void =>
      machineOf(stage, 'm1').setFencingToken(machineToken + 1);
    assert.deepEqual(await commandsSentAfter(setToken), []);
    const acceptLaterHeartbeat = (stage: HeartbeatFixture): void => {
      machineOf(stage, 'm1').sequence++;
    };
    assert.deepEqual(await commandsSentAfter(acceptLaterHeartbeat), []);
    const decideRelease = (stage: HeartbeatFixture): void => {
      machineOf(stage, 'm1').releaseReason = 'silent';
    };
    assert.deepEqual(await commandsSentAfter(decideRelease), []);
  });

  test('nothing after the time-out of the worker, or without recent knowledge of the store', async () => {
    assert.deepEqual(await commandsSentAfter((_, clock) => void (clock.now = 4000)), [start]);
    assert.deepEqual(await commandsSentAfter((_, clock) => void (clock.now = 4001)), []);
    assert.deepEqual(await commandsSentAfter((_, clock) => void (clock.mayStart = false)), []);
  });
});

describe('held responses', () => {
  test('are sent immediately with a command to stop when the job of a task on the machine ends', async () => {
    const stage = createHeartbeatFixture({ tasks: 1 });
    stage.heartbeat('m1');
    for (let turn = 0; turn < 5; turn++) await nextEventLoopIteration();
    stage.heartbeat('m1', [{ index: 0, status: 'running' }]);
    assert.equal(stage.replies.length, 1);
    stage.blockState.applyChanges([
      { key: 'end/req-1', value: { end: 'cancelled', tasks: 0 }, version: 9, deleted: false },
    ]);
    const stop = { verb: 'halt', piece: 'req-1/0', try: 1, leewayS: 0 };
    assert.deepEqual(commandsOf(stage.replies[1]), [stop]);
  });

  test('that cannot be computed are logged and answered with status 503', () => {
    const logLines: string[] = [];
    const log = createLog('keel-0', 'error', { write: (line: string) => void logLines.push(line) });
    let isFailing = false;
    const mayStartTasks = (): boolean => {
      if (isFailing) throw new Error('broken');
      return true;
    };
    const stage = createHeartbeatFixture({ tasks: 0, log, mayStartTasks });
    stage.heartbeat('m1');
    assert.equal(stage.replies.length, 0);
    isFailing = true;
    sendHeldResponses(stage);
    assert.equal(stage.replies[0]?.status, 503);
    const logEntries = logLines.map((line) => JSON.parse(line) as { event: string; machine: string });
    assert.deepEqual(
      logEntries.map(({ event, machine }) => [event, machine]),
      [['request-failed', 'm1']],
    );
  });
});

// Guards against additional heartbeats that only report that a worker has forgotten a task: a worker sends a
// heartbeat after each change of its tasks.
test('commands to forget wait for other commands to be sent with, for two heartbeat intervals at most', () => {
  let now = 10_000;
  const stage = createHeartbeatFixture({ tasks: 0, clock: () => now, areConnectionsScarce: () => true });
  const commandsForReport = (index: number, status: string): unknown => {
    stage.heartbeat('m1', [{ index, status, cause: 'stopped' }]);
    return commandsOf(stage.replies.at(-1));
  };
  const forget = { verb: 'reap', piece: 'req-1/7', try: 1 };
  assert.deepEqual(commandsForReport(7, 'ended'), [forget]);
  now += 1999;
  assert.deepEqual(commandsForReport(7, 'ended'), []);
  now += 1;
  assert.deepEqual(commandsForReport(7, 'ended'), [forget]);
});
