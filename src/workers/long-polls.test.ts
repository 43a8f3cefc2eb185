import assert from 'node:assert/strict';
import { describe, test } from 'node:test';

import { MachineState } from '../placement/machine-state.js';
import { countAsyncCosts } from '../testing/async-costs.js';
import { LongPolls } from './long-polls.js';

const checkIntervalMs = 1;

/** Resolves after the timer of the held responses, which must have been set before this call, has fired. */
function afterCheck(): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, checkIntervalMs));
}

describe('held responses', () => {
  test('are sent when they are due, and not earlier', async () => {
    let now = 0;
    const sent: string[] = [];
    const longPolls = new LongPolls(() => now, checkIntervalMs);
    longPolls.hold(new MachineState('m1', 0), 100, () => void sent.push('m1'));
    longPolls.hold(new MachineState('m2', 0), 200, () => void sent.push('m2'));
    now = 99;
    await afterCheck();
    assert.deepEqual(sent, []);
    now = 100;
    await afterCheck();
    assert.deepEqual(sent, ['m1']);
    now = 200;
    await afterCheck();
    assert.deepEqual(sent, ['m1', 'm2']);
  });

  test('are sent immediately, and only once, when there are commands to send', async () => {
    let now = 0;
    const sent: string[] = [];
    const longPolls = new LongPolls(() => now, checkIntervalMs);
    const machine = new MachineState('m1', 0);
    longPolls.hold(machine, 100, () => void sent.push('first'));
    machine.sendHeldResponse?.();
    assert.deepEqual(sent, ['first']);
    assert.equal(machine.sendHeldResponse, undefined);
    now = 100;
    await afterCheck();
    assert.deepEqual(sent, ['first']);
  });

  test('are sent when the response to a later heartbeat of the machine is held', () => {
    const sent: string[] = [];
    const longPolls = new LongPolls(() => 0, checkIntervalMs);
    const machine = new MachineState('m1', 0);
    longPolls.hold(machine, 100, () => void sent.push('first'));
    longPolls.hold(machine, 100, () => void sent.push('second'));
    assert.deepEqual(sent, ['first']);
    machine.sendHeldResponse?.();
    assert.deepEqual(sent, ['first', 'second']);
  });

  test('that are due together are sent in one turn of the event loop, by one timer', async () => {
    for (const count of [1, 100]) {
      let now = 0;
      let sent = 0;
      const longPolls = new LongPolls(() => now, checkIntervalMs);
      const costs = await countAsyncCosts(() => {
        for (let i = 0; i < count; i++)
          longPolls.hold(new MachineState(`m${i}`, 0), 100, () => {
            sent++;
          });
        now = 100;
      }, afterCheck);
      assert.equal(sent, count);
      assert.deepEqual(costs, { promises: 0, timers: 1, callbacks: 1 });
    }
  });
});
