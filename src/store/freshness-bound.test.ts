import assert from 'node:assert/strict';
import { test } from 'node:test';

import { FreshnessBound } from './freshness-bound.js';

// Guards against taking any answer of the store for knowledge: the watch was swallowed, other requests were answered, and
// a cancel that the copy lacked was no older than the last of them.
test('the bound is when the last request was sent whose revision the copy has reached', () => {
  const freshness = new FreshnessBound();
  assert.equal(freshness.knownUntil(100), -Infinity);
  freshness.recordRevision(1000, 5);
  freshness.recordRevision(2000, 6);
  freshness.recordRevision(3000, 6);
  assert.equal(freshness.knownUntil(4), -Infinity);
  assert.equal(freshness.knownUntil(5), 1000);
  // The copy has stopped while requests go on being answered.
  freshness.recordRevision(9000, 7);
  assert.deepEqual([freshness.knownUntil(6), freshness.lastRevisionSeenAt], [3000, 9000]);
  assert.equal(freshness.knownUntil(8), 9000);
});

test('a late answer counts from when its request was sent, and the bound never moves back', () => {
  const freshness = new FreshnessBound();
  freshness.recordRevision(5000, 7);
  assert.equal(freshness.knownUntil(7), 5000);
  freshness.recordRevision(2000, 6);
  assert.equal(freshness.knownUntil(7), 5000);
});

test('a copy that falls far behind takes bounded memory, and the bound is only understated', () => {
  const freshness = new FreshnessBound();
  for (let i = 1; i <= 1000; i++) freshness.recordRevision(i * 10, i);
  const known = freshness.knownUntil(1000);
  assert.ok(known > 0 && known <= 10_000);
  freshness.recordRevision(20_000, 1001);
  assert.equal(freshness.knownUntil(1001), 20_000);
});
