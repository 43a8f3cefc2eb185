import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FreshnessBound } from './freshness.js';

// Guards against taking any answer of the store for knowledge: the watch was swallowed, other requests were answered, and
// a cancel that the copy lacked was no older than the last of them.
test('knowledge is as recent as the last request whose revision the copy has reached', () => {
  const freshness = new FreshnessBound();
  assert.equal(freshness.until(100), -Infinity);
  freshness.note(1000, 5);
  freshness.note(2000, 6);
  freshness.note(3000, 6);
  assert.equal(freshness.until(4), -Infinity);
  assert.equal(freshness.until(5), 1000);
  // The copy has stopped while requests go on being answered.
  freshness.note(9000, 7);
  assert.deepEqual([freshness.until(6), freshness.lastSighting], [3000, 9000]);
  assert.equal(freshness.until(8), 9000);
});

test('an answer that comes late counts from when its request was sent, and what is known stays known', () => {
  const freshness = new FreshnessBound();
  freshness.note(5000, 7);
  assert.equal(freshness.until(7), 5000);
  freshness.note(2000, 6);
  assert.equal(freshness.until(7), 5000);
});

test('a copy that stands still for long costs no memory, and only makes us more careful', () => {
  const freshness = new FreshnessBound();
  for (let i = 1; i <= 1000; i++) freshness.note(i * 10, i);
  const known = freshness.until(1000);
  assert.ok(known > 0 && known <= 10_000);
  freshness.note(20_000, 1001);
  assert.equal(freshness.until(1001), 20_000);
});
