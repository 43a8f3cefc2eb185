import assert from 'node:assert/strict';
import { describe, test } from 'node:test';

import { createLog } from '../base/log.js';
import type { Reply } from '../base/replies.js';
import { nextTurn } from '../base/turns.js';
import type { MachineState } from '../placement/machine-state.js';
import { machineToken } from '../testing/block-stage.js';
import { createHeartbeatStage, type HeartbeatStage, sendHeldResponses } from '../testing/heartbeat-stage.js';

const unknownOwner: Reply = { status: 421, body: {} };
const noOwner: Reply = { status: 503, body: {} };

function commandsOf(reply: Reply | undefined): unknown {
  return (reply?.body as { orders: unknown }).orders;
}

function machineOf(stage: HeartbeatStage, id: string): MachineState {
  const machine = stage.blockState.machines.get(id);
  assert.ok(machine);
  return machine;
}

describe('whose heartbeats are answered with commands', () => {
  test('what is no heartbeat is turned down', () => {
    const stage = createHeartbeatStage({ tasks: 0 });
    stage.handler.handle({ host: 'm1' }, (reply) => void stage.replies.push(reply));
    assert.deepEqual(stage.replies, [{ status: 400, body: { error: 'not a report' } }]);
  });

  test("the worker of another's machine is redirected to its owner, else to the leader", () => {
    const findMachine = (): undefined => undefined;
    const owned = createHeartbeatStage({
      tasks: 0,
      findMachine,
      ownerOf: () => 'keel-1',
      leader: () => 'keel-2',
    });
    const unowned = createHeartbeatStage({ tasks: 0, findMachine, leader: () => 'keel-2' });
    const ours = createHeartbeatStage({ tasks: 0, findMachine, leader: () => 'keel-0' });
    const unknown = createHeartbeatStage({ tasks: 0, findMachine });
    const stages = [owned, unowned, ours, unknown];
    for (const stage of stages) stage.heartbeat('m1');
    assert.deepEqual(
      stages.map(({ replies }) => replies[0]),
      [
        { status: 421, body: { skipper: 'keel-1' } },
        { status: 421, body: { skipper: 'keel-2' } },
        noOwner,
        noOwner,
      ],
    );
  });

  test('without knowledge of cancellations no heartbeat is applied', () => {
    const stage = createHeartbeatStage({ tasks: 0, mayAnswerHeartbeats: () => false });
    stage.heartbeat('m1');
    assert.deepEqual(stage.replies, [unknownOwner]);
    assert.equal(machineOf(stage, 'm1').sequence, -1);
  });

  test('a worker that has seen a higher fencing token is told that another owns its machine', () => {
    const stage = createHeartbeatStage({ tasks: 0 });
    stage.heartbeat('m1', [], machineToken + 1);
    assert.deepEqual(stage.replies, [unknownOwner]);
  });

  test('a worker is offered our fencing token first, and the time of the first offer is kept', () => {
    let now = 100;
    const stage = createHeartbeatStage({ tasks: 1, clock: () => now, areConnectionsScarce: () => true });
    stage.heartbeat('m1', [], 0);
    now = 200;
    stage.heartbeat('m1', [], 0);
    assert.equal(machineOf(stage, 'm1').fencingTokenOfferedAt, 100);
    assert.deepEqual(stage.replies.at(-1), { status: 200, body: { helm: machineToken, orders: [] } });
    stage.heartbeat('m1');
    assert.equal(machineOf(stage, 'm1').fencingTokenOfferedAt, undefined);
  });
});

describe('what a response that waited may still start', () => {
  const start = { verb: 'run', piece: 'req-1/0', try: 1 };

  /** Sends a heartbeat whose response waits for the commit of a start, and lets `change` happen meanwhile. */
  async function commandsAfter(
    change: (stage: HeartbeatStage, clock: { now: number; mayStart: boolean }) => void,
  ): Promise<unknown> {
    const clock = { now: 0, mayStart: true };
    const stage = createHeartbeatStage({
      tasks: 1,
      clock: () => clock.now,
      mayStartTasks: () => clock.mayStart,
    });
    stage.heartbeat('m1');
    assert.equal(stage.replies.length, 0);
    change(stage, clock);
    for (let turn = 0; turn < 5; turn++) await nextTurn();
    sendHeldResponses(stage);
    assert.equal(stage.replies.length, 1);
    return commandsOf(stage.replies[0]);
  }

  test('a start whose intent is committed', async () => {
    assert.deepEqual(await commandsAfter(() => undefined), [start]);
  });

  test('nothing under another fencing token, after a later heartbeat, or with the release of the machine decided', async () => {
    const setToken = (stage: HeartbeatStage): void =>
      machineOf(stage, 'm1').setFencingToken(machineToken + 1);
    assert.deepEqual(await commandsAfter(setToken), []);
    const hearAgain = (stage: HeartbeatStage): void => {
      machineOf(stage, 'm1').sequence++;
    };
    assert.deepEqual(await commandsAfter(hearAgain), []);
    const decideRelease = (stage: HeartbeatStage): void => {
      machineOf(stage, 'm1').releaseReason = 'silent';
    };
    assert.deepEqual(await commandsAfter(decideRelease), []);
  });

  test('nothing that its worker no longer waits for, or without knowledge of the store', async () => {
    assert.deepEqual(await commandsAfter((_, clock) => void (clock.now = 4000)), [start]);
    assert.deepEqual(await commandsAfter((_, clock) => void (clock.now = 4001)), []);
    assert.deepEqual(await commandsAfter((_, clock) => void (clock.mayStart = false)), []);
  });
});

describe('held responses', () => {
  test('of a job that ends go out at once with the command to stop its tasks', async () => {
    const stage = createHeartbeatStage({ tasks: 1 });
    stage.heartbeat('m1');
    for (let turn = 0; turn < 5; turn++) await nextTurn();
    stage.heartbeat('m1', [{ index: 0, status: 'running' }]);
    assert.equal(stage.replies.length, 1);
    stage.blockState.applyChanges([
      { key: 'end/req-1', value: { end: 'cancelled', tasks: 0 }, version: 9, deleted: false },
    ]);
    const stop = { verb: 'halt', piece: 'req-1/0', try: 1, leewayS: 0 };
    assert.deepEqual(commandsOf(stage.replies[1]), [stop]);
  });

  test('whose sending fails are logged and answered as failed', () => {
    const lines: string[] = [];
    const log = createLog('keel-0', 'error', { write: (line: string) => void lines.push(line) });
    let isFailing = false;
    const mayStartTasks = (): boolean => {
      if (isFailing) throw new Error('broken');
      return true;
    };
    const stage = createHeartbeatStage({ tasks: 0, log, mayStartTasks });
    stage.heartbeat('m1');
    assert.equal(stage.replies.length, 0);
    isFailing = true;
    sendHeldResponses(stage);
    assert.equal(stage.replies[0]?.status, 503);
    const logged = lines.map((line) => JSON.parse(line) as { event: string; machine: string });
    assert.deepEqual(
      logged.map(({ event, machine }) => [event, machine]),
      [['request-failed', 'm1']],
    );
  });
});

// Guards against heartbeats that only say that a worker has forgotten something: each change of its tasks makes it send one.
test('commands to forget wait for others to go with, for two heartbeat intervals at most', () => {
  let now = 10_000;
  const stage = createHeartbeatStage({ tasks: 0, clock: () => now, areConnectionsScarce: () => true });
  const commandsWith = (index: number, status: string): unknown => {
    stage.heartbeat('m1', [{ index, status, cause: 'stopped' }]);
    return commandsOf(stage.replies.at(-1));
  };
  const forget = { verb: 'reap', piece: 'req-1/7', try: 1 };
  assert.deepEqual(commandsWith(7, 'ended'), [forget]);
  now += 1999;
  assert.deepEqual(commandsWith(7, 'ended'), []);
  now += 1;
  assert.deepEqual(commandsWith(7, 'ended'), [forget]);
});
