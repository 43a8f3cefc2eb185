import assert from 'node:assert/strict';
import { test } from 'node:test';

import { FreshnessBound } from './freshness-bound.js';

// A network partition drops the watch, but the store still answers other requests. A cancellation is
// committed and does not reach the replica. If any answer of the store counted as proof that the replica is
// up to date, the controller would rely on a replica that lacks the cancellation.
test('the bound is the send time of the latest request whose revision the replica has reached', () => {
  const freshness = new FreshnessBound();
  assert.equal(freshness.knownUntil(100), -Infinity);
  freshness.recordRevision(1000, 5);
  freshness.recordRevision(2000, 6);
  freshness.recordRevision(3000, 6);
  assert.equal(freshness.knownUntil(4), -Infinity);
  assert.equal(freshness.knownUntil(5), 1000);
  // The replica no longer advances, but the store still answers other requests.
  freshness.recordRevision(9000, 7);
  assert.deepEqual([freshness.knownUntil(6), freshness.lastRevisionSeenAt], [3000, 9000]);
  assert.equal(freshness.knownUntil(8), 9000);
});

test('an answer proves freshness up to the send time of its request, and the bound never decreases', () => {
  const freshness = new FreshnessBound();
  freshness.recordRevision(5000, 7);
  assert.equal(freshness.knownUntil(7), 5000);
  freshness.recordRevision(2000, 6);
  assert.equal(freshness.knownUntil(7), 5000);
});

test('if a replica lags far behind, the number of stored observations is limited, and the bound does not overstate the freshness', () => {
  const freshness = new FreshnessBound();
  for (let i = 1; i <= 1000; i++) freshness.recordRevision(i * 10, i);
  const knownUntil = freshness.knownUntil(1000);
  assert.ok(knownUntil > 0 && knownUntil <= 10_000);
  freshness.recordRevision(20_000, 1001);
  assert.equal(freshness.knownUntil(1001), 20_000);
});
