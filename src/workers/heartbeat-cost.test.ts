/**
 * Bounds the asynchronous costs of heartbeats, because a controller spends most of its processor time on
 * them. The numbers in these tests are upper bounds: a test fails if each heartbeat costs one more promise,
 * timer or turn of the event loop.
 */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';

import { nextEventLoopIteration } from '../base/event-loop.js';
import { type AsyncCosts, countAsyncCosts } from '../testing/async-costs.js';
import { createHeartbeatFixture, sendHeldResponses } from '../testing/heartbeat-fixture.js';

const noCosts: AsyncCosts = { promises: 0, timers: 0, callbacks: 0 };
const heartbeatCount = 50;

/**
 * Asserts that no cost exceeds its bound. The costs of a commit arise in the placement code and may decrease,
 * but must not increase.
 */
function assertCostsWithin(costs: AsyncCosts, bounds: AsyncCosts): void {
  const { promises, timers, callbacks } = bounds;
  const isWithin = costs.promises <= promises && costs.timers <= timers && costs.callbacks <= callbacks;
  assert.ok(isWithin, `${JSON.stringify(costs)} is over ${JSON.stringify(bounds)}`);
}

async function waitForTurns(): Promise<void> {
  for (let turn = 0; turn < 5; turn++) await nextEventLoopIteration();
}

describe('asynchronous costs of a heartbeat', () => {
  test('a heartbeat of a machine without free resources is answered immediately, without a promise or a timer', async () => {
    const fixture = createHeartbeatFixture({ tasks: 4 });
    fixture.heartbeat('m1');
    await waitForTurns();
    const running = [0, 1, 2, 3].map((index) => ({ index, status: 'running' }));
    fixture.heartbeat('m1', running);
    const repliesBefore = fixture.replies.length;
    const costs = await countAsyncCosts(() => {
      for (let i = 0; i < heartbeatCount; i++) fixture.heartbeat('m1', running);
    }, waitForTurns);
    assert.equal(fixture.replies.length - repliesBefore, heartbeatCount);
    assert.deepEqual(costs, noCosts);
  });

  test('a worker is redirected without a promise or a timer', async () => {
    const fixture = createHeartbeatFixture({
      tasks: 1,
      findMachine: () => undefined,
      ownerOf: () => 'keel-1',
    });
    const costs = await countAsyncCosts(() => {
      for (let i = 0; i < heartbeatCount; i++) fixture.heartbeat('m1');
    }, waitForTurns);
    assert.deepEqual(fixture.replies.at(-1), { status: 421, body: { skipper: 'keel-1' } });
    assert.deepEqual(costs, noCosts);
  });

  test('all held responses share one timer', async () => {
    const fixture = createHeartbeatFixture({ tasks: 0 });
    const first = await countAsyncCosts(() => fixture.heartbeat('m1'), waitForTurns);
    const more = await countAsyncCosts(() => {
      for (let i = 0; i < heartbeatCount; i++) fixture.heartbeat(i % 2 === 0 ? 'm2' : 'm1');
    }, waitForTurns);
    const released = await countAsyncCosts(() => sendHeldResponses(fixture), waitForTurns);
    assert.equal(fixture.replies.length, heartbeatCount + 1);
    assert.deepEqual(
      { first, more, released },
      { first: { promises: 0, timers: 1, callbacks: 0 }, more: noCosts, released: noCosts },
    );
  });

  test('a heartbeat whose response waits for a commit does not exceed the upper bounds', async () => {
    const fixture = createHeartbeatFixture({ tasks: 4 });
    const costs = await countAsyncCosts(() => fixture.heartbeat('m1'), waitForTurns);
    assert.equal(fixture.blockState.machines.get('m1')?.tasks.size, 4);
    assert.equal(fixture.replies.length, 1);
    assertCostsWithin(costs, { promises: 13, timers: 1, callbacks: 5 });
  });
});
