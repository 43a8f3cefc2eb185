import assert from 'node:assert/strict';
import { test } from 'node:test';

import { TurnQueue } from './turn-queue.js';

// Guards against health checks that waited for more than a second behind heartbeats which the same turn had found: the load
// balancer took all nodes for unhealthy, and for 90 s nothing was to be learnt of two hundred jobs.
test('a turn runs work for its time budget, leaves the rest to later turns, and drops work that nobody waits for', () => {
  let now = 0;
  const turns: (() => void)[] = [];
  const queue = new TurnQueue(
    () => now,
    50,
    (callback) => turns.push(callback),
  );
  const served: number[] = [];
  const gone = new Set([6]);
  const add = (id: number): void =>
    queue.add({
      isWanted: () => !gone.has(id),
      run: () => {
        served.push(id);
        now += 20;
      },
    });
  for (let id = 0; id < 10; id++) add(id);
  assert.deepEqual(served, [0, 1, 2]);
  turns.shift()?.();
  assert.deepEqual(served, [0, 1, 2, 3, 4, 5]);
  // What comes now waits behind what has waited.
  add(10);
  turns.shift()?.();
  assert.deepEqual(served.slice(6), [7, 8, 9]);
  turns.shift()?.();
  assert.deepEqual([served.at(-1), turns.length], [10, 0]);
  now += 1000;
  add(11);
  assert.equal(served.at(-1), 11);
});
