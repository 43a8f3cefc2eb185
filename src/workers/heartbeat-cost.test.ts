/**
 * Handling heartbeats is what a controller spends most of its processor time on. These figures are bounds: a promise, a
 * timer or a turn of the event loop more for each heartbeat fails a test.
 */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';

import { nextTurn } from '../base/turns.js';
import { type AsyncCosts, countAsyncCosts } from '../testing/async-costs.js';
import { createHeartbeatStage, sendHeldResponses } from '../testing/heartbeat-stage.js';

const nothing: AsyncCosts = { promises: 0, timers: 0, turns: 0 };
const heartbeats = 50;

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
    const stage = createHeartbeatStage({ tasks: 4 });
    stage.heartbeat('m1');
    await laterTurns();
    const running = [0, 1, 2, 3].map((index) => ({ index, status: 'running' }));
    stage.heartbeat('m1', running);
    const repliesBefore = stage.replies.length;
    const costs = await countAsyncCosts(() => {
      for (let i = 0; i < heartbeats; i++) stage.heartbeat('m1', running);
    }, laterTurns);
    assert.equal(stage.replies.length - repliesBefore, heartbeats);
    assert.deepEqual(costs, nothing);
  });

  test('a worker is redirected without a promise or a timer', async () => {
    const stage = createHeartbeatStage({ tasks: 1, findMachine: () => undefined, ownerOf: () => 'keel-1' });
    const costs = await countAsyncCosts(() => {
      for (let i = 0; i < heartbeats; i++) stage.heartbeat('m1');
    }, laterTurns);
    assert.deepEqual(stage.replies.at(-1), { status: 421, body: { skipper: 'keel-1' } });
    assert.deepEqual(costs, nothing);
  });

  test('held responses share one timer, however many there are', async () => {
    const stage = createHeartbeatStage({ tasks: 0 });
    const first = await countAsyncCosts(() => stage.heartbeat('m1'), laterTurns);
    const more = await countAsyncCosts(() => {
      for (let i = 0; i < heartbeats; i++) stage.heartbeat(i % 2 === 0 ? 'm2' : 'm1');
    }, laterTurns);
    const released = await countAsyncCosts(() => sendHeldResponses(stage), laterTurns);
    assert.equal(stage.replies.length, heartbeats + 1);
    assert.deepEqual(
      { first, more, released },
      { first: { promises: 0, timers: 1, turns: 0 }, more: nothing, released: nothing },
    );
  });

  test('a heartbeat whose response waits for a commit costs no more than measured', async () => {
    const stage = createHeartbeatStage({ tasks: 4 });
    const costs = await countAsyncCosts(() => stage.heartbeat('m1'), laterTurns);
    assert.equal(stage.blockState.machines.get('m1')?.tasks.size, 4);
    assert.equal(stage.replies.length, 1);
    assertWithin(costs, { promises: 13, timers: 1, turns: 5 });
  });
});
