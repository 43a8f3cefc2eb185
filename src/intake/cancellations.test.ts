/** Tests the lists of cancellations that controllers send to their peers. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { Cancellations } from './cancellations.js';

test('a controller lists the cancellations that are newer than the revision its peer has reached', () => {
  const cancellations = new Cancellations(() => 10);
  cancellations.record('req-1', 12);
  cancellations.record('req-2', 11);
  cancellations.record('req-3', 20);
  assert.deepEqual(cancellations.listSince(11), {
    cancelledSince: 11,
    cancelled: [
      ['req-1', 12],
      ['req-3', 20],
    ],
  });
  assert.deepEqual(cancellations.listSince(20), { cancelledSince: 20, cancelled: [] });
});

// Guards against a restarted controller that sends a list as complete although an earlier incarnation has
// confirmed cancellations that are not on it.
test('a list is not complete for revisions before the one at which its incarnation first read the store', () => {
  const replica: { firstRevision?: number } = {};
  const cancellations = new Cancellations(() => replica.firstRevision);
  assert.equal(cancellations.listSince(5).cancelledSince, Infinity);
  replica.firstRevision = 10;
  cancellations.record('req-1', 8);
  assert.deepEqual(cancellations.listSince(5), { cancelledSince: 10, cancelled: [] });
});

// Guards against a list that lacks its oldest entries but claims to be complete.
test('a truncated list gives the revision of its newest omitted entry as the one after which it is complete', () => {
  const cancellations = new Cancellations(() => 0);
  for (let i = 1; i <= 5000; i++) cancellations.record(`req-${i}`, i);
  const listed = cancellations.listSince(0);
  assert.deepEqual([listed.cancelledSince, listed.cancelled.length], [4500, 500]);
  assert.ok(listed.cancelled.every(([, version]) => version > listed.cancelledSince));
  // A list that starts at a revision within the tracked and listed range is not truncated.
  assert.deepEqual(cancellations.listSince(4990).cancelled.length, 10);
});
