import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Cancellations } from './cancellations.js';

test('a controller lists the cancelled ends that it has learned of beyond what its peer knows', () => {
  const cancellations = new Cancellations(() => 10);
  cancellations.learn('req-1', 12);
  cancellations.learn('req-2', 11);
  cancellations.learn('req-3', 20);
  assert.deepEqual(cancellations.since(11), {
    cancelledSince: 11,
    cancelled: [
      ['req-1', 12],
      ['req-3', 20],
    ],
  });
  assert.deepEqual(cancellations.since(20), { cancelledSince: 20, cancelled: [] });
});

// Guards against a word of the next life for what the life before told its users.
test('it vouches for nothing that happened before its own life first read the store', () => {
  const life: { first?: number } = {};
  const cancellations = new Cancellations(() => life.first);
  assert.equal(cancellations.since(5).cancelledSince, Infinity);
  life.first = 10;
  cancellations.learn('req-1', 8);
  assert.deepEqual(cancellations.since(5), { cancelledSince: 10, cancelled: [] });
});

// Guards against a list that lost its oldest entries without a word.
test('a list that was cut says so: it reaches back no further than what it still names', () => {
  const cancellations = new Cancellations(() => 0);
  for (let i = 1; i <= 5000; i++) cancellations.learn(`req-${i}`, i);
  const told = cancellations.since(0);
  assert.deepEqual([told.cancelledSince, told.cancelled.length], [4500, 500]);
  assert.ok(told.cancelled.every(([, version]) => version > told.cancelledSince));
  // Within what is kept and told, nothing was cut.
  assert.deepEqual(cancellations.since(4990).cancelled.length, 10);
});
