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

function machineOf(fixture: HeartbeatFixture, id: string): MachineState {
  const machine = fixture.blockState.machines.get(id);
  assert.ok(machine);
  return machine;
}

describe('accepting, redirecting and rejecting heartbeats', () => {
  test('a body that is not a heartbeat is rejected', () => {
    const fixture = createHeartbeatFixture({ tasks: 0 });
    fixture.handler.handle({ host: 'm1' }, (reply) => void fixture.replies.push(reply));
    assert.deepEqual(fixture.replies, [{ status: 400, body: { error: 'not a report' } }]);
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
    const fixtures = [ownedByPeer, redirectedToLeader, handlerIsLeader, withoutLeader];
    for (const fixture of fixtures) fixture.heartbeat('m1');
    assert.deepEqual(
      fixtures.map(({ replies }) => replies[0]),
      [
        { status: 421, body: { skipper: 'keel-1' } },
        { status: 421, body: { skipper: 'keel-2' } },
        noOwnerReply,
        noOwnerReply,
      ],
    );
  });

  test('a heartbeat is not applied if a cancellation may be unknown to this controller', () => {
    const fixture = createHeartbeatFixture({ tasks: 0, mayAnswerHeartbeats: () => false });
    fixture.heartbeat('m1');
    assert.deepEqual(fixture.replies, [unknownOwnerReply]);
    assert.equal(machineOf(fixture, 'm1').sequence, -1);
  });

  test('if a worker has received a higher fencing token, the response states that another controller owns the machine', () => {
    const fixture = createHeartbeatFixture({ tasks: 0 });
    fixture.heartbeat('m1', [], machineToken + 1);
    assert.deepEqual(fixture.replies, [unknownOwnerReply]);
  });

  test('until its heartbeats contain the fencing token, a worker receives only the token, and the time of the first such response is recorded', () => {
    let now = 100;
    const fixture = createHeartbeatFixture({ tasks: 1, clock: () => now, areConnectionsScarce: () => true });
    fixture.heartbeat('m1', [], 0);
    now = 200;
    fixture.heartbeat('m1', [], 0);
    assert.equal(machineOf(fixture, 'm1').fencingTokenOfferedAt, 100);
    assert.deepEqual(fixture.replies.at(-1), { status: 200, body: { helm: machineToken, orders: [] } });
    fixture.heartbeat('m1');
    assert.equal(machineOf(fixture, 'm1').fencingTokenOfferedAt, undefined);
  });
});

describe('a response that waited for a commit starts', () => {
  const start = { verb: 'run', piece: 'req-1/0', try: 1 };

  interface ControllerState {
    now: number;
    mayStart: boolean;
    ownsBlock: boolean;
  }

  /**
   * Sends a heartbeat whose response waits for the commit of an intent, calls `change` during the wait, and
   * returns the commands in the response.
   */
  async function commandsSentAfter(
    change: (fixture: HeartbeatFixture, controller: ControllerState) => void,
  ): Promise<unknown> {
    const controller: ControllerState = { now: 0, mayStart: true, ownsBlock: true };
    const fixture = createHeartbeatFixture({
      tasks: 1,
      clock: () => controller.now,
      mayStartTasks: () => controller.mayStart,
      ownsBlock: () => controller.ownsBlock,
    });
    fixture.heartbeat('m1');
    assert.equal(fixture.replies.length, 0);
    change(fixture, controller);
    for (let turn = 0; turn < 5; turn++) await nextEventLoopIteration();
    sendHeldResponses(fixture);
    assert.equal(fixture.replies.length, 1);
    return commandsOf(fixture.replies[0]);
  }

  test('a task whose intent is committed', async () => {
    assert.deepEqual(await commandsSentAfter(() => undefined), [start]);
  });

  test('nothing after a change of the fencing token, a later heartbeat, or the decision to release the machine', async () => {
    const setToken = (fixture: HeartbeatFixture): void =>
      machineOf(fixture, 'm1').setFencingToken(machineToken + 1);
    assert.deepEqual(await commandsSentAfter(setToken), []);
    const acceptLaterHeartbeat = (fixture: HeartbeatFixture): void => {
      machineOf(fixture, 'm1').sequence++;
    };
    assert.deepEqual(await commandsSentAfter(acceptLaterHeartbeat), []);
    const decideRelease = (fixture: HeartbeatFixture): void => {
      machineOf(fixture, 'm1').releaseReason = 'silent';
    };
    assert.deepEqual(await commandsSentAfter(decideRelease), []);
  });

  test('nothing after the lease of the block has ended, so that no task of a job cancelled since is started', async () => {
    assert.deepEqual(await commandsSentAfter((_, controller) => void (controller.ownsBlock = false)), []);
  });

  test('nothing after the time-out of the worker, or if the replica of the store is no longer recent', async () => {
    assert.deepEqual(await commandsSentAfter((_, controller) => void (controller.now = 4000)), [start]);
    assert.deepEqual(await commandsSentAfter((_, controller) => void (controller.now = 4001)), []);
    assert.deepEqual(await commandsSentAfter((_, controller) => void (controller.mayStart = false)), []);
  });
});

describe('held responses', () => {
  test('are sent immediately with a command to stop when the job of a task on the machine ends', async () => {
    const fixture = createHeartbeatFixture({ tasks: 1 });
    fixture.heartbeat('m1');
    for (let turn = 0; turn < 5; turn++) await nextEventLoopIteration();
    fixture.heartbeat('m1', [{ index: 0, status: 'running' }]);
    assert.equal(fixture.replies.length, 1);
    fixture.blockState.applyChanges([
      { key: 'end/req-1', value: { end: 'cancelled', tasks: 0 }, version: 9, deleted: false },
    ]);
    const stop = { verb: 'halt', piece: 'req-1/0', try: 1, leewayS: 0 };
    assert.deepEqual(commandsOf(fixture.replies[1]), [stop]);
  });

  test('are replaced by status 503, and the error is logged, if their commands cannot be determined', () => {
    const logLines: string[] = [];
    const log = createLog('keel-0', 'error', { write: (line: string) => void logLines.push(line) });
    let isFailing = false;
    const mayStartTasks = (): boolean => {
      if (isFailing) throw new Error('broken');
      return true;
    };
    const fixture = createHeartbeatFixture({ tasks: 0, log, mayStartTasks });
    fixture.heartbeat('m1');
    assert.equal(fixture.replies.length, 0);
    isFailing = true;
    sendHeldResponses(fixture);
    assert.equal(fixture.replies[0]?.status, 503);
    const logEntries = logLines.map((line) => JSON.parse(line) as { event: string; machine: string });
    assert.deepEqual(
      logEntries.map(({ event, machine }) => [event, machine]),
      [['request-failed', 'm1']],
    );
  });
});

// Guards against unnecessary heartbeats. A worker sends a heartbeat after each change of its tasks. If a
// `forget` command is sent alone, the worker forgets the task and sends a heartbeat that reports only this.
test('commands to forget are delayed until other commands can be sent with them, but for at most two heartbeat intervals', () => {
  let now = 10_000;
  const fixture = createHeartbeatFixture({ tasks: 0, clock: () => now, areConnectionsScarce: () => true });
  const commandsForReport = (index: number, status: string): unknown => {
    fixture.heartbeat('m1', [{ index, status, cause: 'stopped' }]);
    return commandsOf(fixture.replies.at(-1));
  };
  const forget = { verb: 'reap', piece: 'req-1/7', try: 1 };
  assert.deepEqual(commandsForReport(7, 'ended'), [forget]);
  now += 1999;
  assert.deepEqual(commandsForReport(7, 'ended'), []);
  now += 1;
  assert.deepEqual(commandsForReport(7, 'ended'), [forget]);
});
