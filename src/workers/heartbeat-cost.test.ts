/**
 * Handling heartbeats is what a controller spends most of its processor time on. These figures are bounds: a promise, a
 * timer or a turn of the event loop more for each heartbeat fails a test.
 */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';

import { silentLog } from '../base/log.js';
import type { Reply } from '../base/replies.js';
import { nextTurn } from '../base/turns.js';
import type { MachineState } from '../placement/machine-state.js';
import { type AsyncCosts, countAsyncCosts } from '../testing/async-costs.js';
import { type BlockStage, createBlockStage, machineToken } from '../testing/block-stage.js';
import { HeartbeatHandler, type OwnedMachine } from './heartbeat-handler.js';

const nothing = { promises: 0, timers: 0, turns: 0 };
const heartbeats = 50;

interface HandlerStage extends BlockStage {
  handler: HeartbeatHandler;
  replies: Reply[];
  /** Sends the machine's next heartbeat, with these tasks running. */
  heartbeat: (machine: string, running?: number[]) => void;
}

/** A handler for the block's machines; those that `owned` leaves out report to the wrong controller. */
function createHandlerStage(tasks: number, owned = ['m1', 'm2']): HandlerStage {
  const stage = createBlockStage(() => ({ kind: 'applied', revision: 9 }), { tasks });
  const { blockState, scheduler } = stage;
  const findMachine = (id: string): OwnedMachine | undefined => {
    const machine = owned.includes(id) ? blockState.machines.get(id) : undefined;
    return machine && { blockState, scheduler, machine };
  };
  const handler = new HeartbeatHandler({
    clock: () => 0,
    label: 'keel-0',
    log: silentLog,
    findMachine,
    ownerOf: () => 'keel-1',
    leader: () => undefined,
    mayStartTasks: () => true,
    mayAnswerHeartbeats: () => true,
    areConnectionsScarce: () => false,
    heartbeatIntervalMs: 1000,
    maxCommitWaitMs: 250,
  });
  const replies: Reply[] = [];
  let sequence = 0;
  const heartbeat = (machine: string, running: number[] = []): void => {
    const pieces = running.map((index) => ({
      piece: `req-1/${index}`,
      try: 1,
      status: 'running',
      cause: '',
    }));
    const body = { host: machine, watch: 1, tick: ++sequence, helm: machineToken, pieces };
    handler.handle(body, (reply) => void replies.push(reply));
  };
  return { ...stage, handler, replies, heartbeat };
}

/** Ends what is held, so that no timer outlives the test. */
function respondToAll({ blockState }: BlockStage): void {
  for (const machine of blockState.machines.values()) machine.sendHeldResponse?.();
}

/** The costs of the commit belong to placement and may fall there; they must not rise. */
function assertWithin(costs: AsyncCosts, bounds: AsyncCosts): void {
  const { promises, timers, turns } = bounds;
  const isWithin = costs.promises <= promises && costs.timers <= timers && costs.turns <= turns;
  assert.ok(isWithin, `${JSON.stringify(costs)} is over ${JSON.stringify(bounds)}`);
}

async function laterTurns(): Promise<void> {
  for (let turn = 0; turn < 5; turn++) await nextTurn();
}

describe('what handling a heartbeat costs', () => {
  test('a machine without room is answered at once, without a promise or a timer', async () => {
    const stage = createHandlerStage(4);
    stage.heartbeat('m1');
    await laterTurns();
    const running = [0, 1, 2, 3];
    stage.heartbeat('m1', running);
    const repliesBefore = stage.replies.length;
    const costs = await countAsyncCosts(() => {
      for (let i = 0; i < heartbeats; i++) stage.heartbeat('m1', running);
    }, laterTurns);
    assert.equal(stage.replies.length - repliesBefore, heartbeats);
    assert.deepEqual(costs, nothing);
  });

  test('a worker is sent on without a promise or a timer', async () => {
    const stage = createHandlerStage(1, []);
    const costs = await countAsyncCosts(() => {
      for (let i = 0; i < heartbeats; i++) stage.heartbeat('m1');
    }, laterTurns);
    assert.deepEqual(stage.replies.at(-1), { status: 421, body: { skipper: 'keel-1' } });
    assert.deepEqual(costs, nothing);
  });

  test('held responses share one timer, however many there are', async () => {
    const stage = createHandlerStage(0);
    const first = await countAsyncCosts(() => stage.heartbeat('m1'), laterTurns);
    const more = await countAsyncCosts(() => {
      for (let i = 0; i < heartbeats; i++) stage.heartbeat(i % 2 === 0 ? 'm2' : 'm1');
    }, laterTurns);
    const released = await countAsyncCosts(() => respondToAll(stage), laterTurns);
    assert.equal(stage.replies.length, heartbeats + 1);
    assert.deepEqual(
      { first, more, released },
      { first: { promises: 0, timers: 1, turns: 0 }, more: nothing, released: nothing },
    );
  });

  test('a heartbeat whose response waits for a commit costs no more than measured', async () => {
    const stage = createHandlerStage(4);
    const machine = stage.blockState.machines.get('m1') as MachineState;
    const costs = await countAsyncCosts(() => stage.heartbeat('m1'), laterTurns);
    assert.equal(machine.tasks.size, 4);
    assert.equal(stage.replies.length, 1);
    assertWithin(costs, { promises: 13, timers: 1, turns: 5 });
  });
});
