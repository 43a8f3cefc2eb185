import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Horizon } from './horizon.js';

// Guards against taking any answer of the store for knowledge: the watch was swallowed, other requests were answered, and
// a cancel that the copy lacked was no older than the last of them.
test('knowledge is as recent as the last request whose revision the copy has reached', () => {
  const horizon = new Horizon();
  assert.equal(horizon.until(100), -Infinity);
  horizon.note(1000, 5);
  horizon.note(2000, 6);
  horizon.note(3000, 6);
  assert.equal(horizon.until(4), -Infinity);
  assert.equal(horizon.until(5), 1000);
  // The copy has stopped while requests go on being answered.
  horizon.note(9000, 7);
  assert.deepEqual([horizon.until(6), horizon.lastSighting], [3000, 9000]);
  assert.equal(horizon.until(8), 9000);
});

test('an answer that comes late counts from when its request was sent, and what is known stays known', () => {
  const horizon = new Horizon();
  horizon.note(5000, 7);
  assert.equal(horizon.until(7), 5000);
  horizon.note(2000, 6);
  assert.equal(horizon.until(7), 5000);
});

test('a copy that stands still for long costs no memory, and only makes us more careful', () => {
  const horizon = new Horizon();
  for (let i = 1; i <= 1000; i++) horizon.note(i * 10, i);
  const known = horizon.until(1000);
  assert.ok(known > 0 && known <= 10_000);
  horizon.note(20_000, 1001);
  assert.equal(horizon.until(1001), 20_000);
});
