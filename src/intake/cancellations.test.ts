/** Tests the lists of cancellations that controllers send to their peers. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { Cancellations } from './cancellations.js';

test('a list for a peer contains the cancellations after the revision that the replica of the peer has reached', () => {
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

// A controller confirms a cancellation and restarts. If the new incarnation then sent its list of
// cancellations as complete, the peer would continue the cancelled job, because the job is not on the list.
test('a list is complete only after the revision at which this incarnation first read the store', () => {
  const replica: { firstRevision?: number } = {};
  const cancellations = new Cancellations(() => replica.firstRevision);
  assert.equal(cancellations.listSince(5).cancelledSince, Infinity);
  replica.firstRevision = 10;
  cancellations.record('req-1', 8);
  assert.deepEqual(cancellations.listSince(5), { cancelledSince: 10, cancelled: [] });
});

// A controller has more cancellations than fit into one list and omits the oldest. If `cancelledSince` did
// not reflect this, the peer would treat the list as complete and continue the omitted jobs.
test('the `cancelledSince` of a truncated list is the revision of the newest omitted cancellation', () => {
  const cancellations = new Cancellations(() => 0);
  for (let i = 1; i <= 5000; i++) cancellations.record(`req-${i}`, i);
  const listed = cancellations.listSince(0);
  assert.deepEqual([listed.cancelledSince, listed.cancelled.length], [4500, 500]);
  assert.ok(listed.cancelled.every(([, version]) => version > listed.cancelledSince));
  // The list after revision 4990 has 10 entries. These are within the limit, so the list is not truncated.
  assert.deepEqual(cancellations.listSince(4990).cancelled.length, 10);
});
