import assert from 'node:assert/strict';
import { test } from 'node:test';

import { FreshnessBound } from './freshness-bound.js';

// Guards against taking any answer of the store as proof that the replica is up to date. A network partition
// dropped the watch while other requests were answered, and a cancellation missing from the replica was no
// older than the last of these requests.
test('the bound is the send time of the latest request whose revision the replica has reached', () => {
  const freshness = new FreshnessBound();
  assert.equal(freshness.knownUntil(100), -Infinity);
  freshness.recordRevision(1000, 5);
  freshness.recordRevision(2000, 6);
  freshness.recordRevision(3000, 6);
  assert.equal(freshness.knownUntil(4), -Infinity);
  assert.equal(freshness.knownUntil(5), 1000);
  // The replica no longer advances, while other requests are still answered.
  freshness.recordRevision(9000, 7);
  assert.deepEqual([freshness.knownUntil(6), freshness.lastRevisionSeenAt], [3000, 9000]);
  assert.equal(freshness.knownUntil(8), 9000);
});

test('a late answer counts from the send time of its request, and the bound never decreases', () => {
  const freshness = new FreshnessBound();
  freshness.recordRevision(5000, 7);
  assert.equal(freshness.knownUntil(7), 5000);
  freshness.recordRevision(2000, 6);
  assert.equal(freshness.knownUntil(7), 5000);
});

test('a replica that lags far behind uses bounded memory, and its bound is never too late', () => {
  const freshness = new FreshnessBound();
  for (let i = 1; i <= 1000; i++) freshness.recordRevision(i * 10, i);
  const known = freshness.knownUntil(1000);
  assert.ok(known > 0 && known <= 10_000);
  freshness.recordRevision(20_000, 1001);
  assert.equal(freshness.knownUntil(1001), 20_000);
});
