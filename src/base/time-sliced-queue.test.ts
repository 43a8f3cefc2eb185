import assert from 'node:assert/strict';
import { test } from 'node:test';

import { TimeSlicedQueue } from './time-sliced-queue.js';

// The server handled all heartbeats that it had read in one event-loop iteration before it handled a health
// check, which waited for more than a second. The load balancer then marked all controllers as unhealthy, and
// for 90 s users could not read the status of two hundred jobs.
test('an event-loop iteration runs work within its time budget, defers the rest, and drops work that is no longer needed', () => {
  let now = 0;
  const turns: (() => void)[] = [];
  const queue = new TimeSlicedQueue(
    () => now,
    50,
    (callback) => turns.push(callback),
  );
  const served: number[] = [];
  const unneededIds = new Set([6]);
  const add = (id: number): void =>
    queue.add({
      isStillNeeded: () => !unneededIds.has(id),
      run: () => {
        served.push(id);
        now += 20;
      },
    });
  for (let id = 0; id < 10; id++) add(id);
  assert.deepEqual(served, [0, 1, 2]);
  turns.shift()?.();
  assert.deepEqual(served, [0, 1, 2, 3, 4, 5]);
  // Work that is added now runs after the work that is already waiting.
  add(10);
  turns.shift()?.();
  assert.deepEqual(served.slice(6), [7, 8, 9]);
  turns.shift()?.();
  assert.deepEqual([served.at(-1), turns.length], [10, 0]);
  now += 1000;
  add(11);
  assert.equal(served.at(-1), 11);
});
