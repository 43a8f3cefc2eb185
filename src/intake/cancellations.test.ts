/** Lists of cancellations for peers. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { Cancellations } from './cancellations.js';

test('a controller lists the cancellations that are newer than what its peer knows', () => {
  const cancellations = new Cancellations(() => 10);
  cancellations.record('req-1', 12);
  cancellations.record('req-2', 11);
  cancellations.record('req-3', 20);
  assert.deepEqual(cancellations.since(11), {
    cancelledSince: 11,
    cancelled: [
      ['req-1', 12],
      ['req-3', 20],
    ],
  });
  assert.deepEqual(cancellations.since(20), { cancelledSince: 20, cancelled: [] });
});

// Guards against a new incarnation whose list passes for complete though an earlier one has confirmed cancellations.
test('no list is complete for what happened before its incarnation first read the store', () => {
  const replica: { firstRevision?: number } = {};
  const cancellations = new Cancellations(() => replica.firstRevision);
  assert.equal(cancellations.since(5).cancelledSince, Infinity);
  replica.firstRevision = 10;
  cancellations.record('req-1', 8);
  assert.deepEqual(cancellations.since(5), { cancelledSince: 10, cancelled: [] });
});

// Guards against a list that has silently lost its oldest entries.
test('a truncated list says so: it is complete only from its oldest entry on', () => {
  const cancellations = new Cancellations(() => 0);
  for (let i = 1; i <= 5000; i++) cancellations.record(`req-${i}`, i);
  const listed = cancellations.since(0);
  assert.deepEqual([listed.cancelledSince, listed.cancelled.length], [4500, 500]);
  assert.ok(listed.cancelled.every(([, version]) => version > listed.cancelledSince));
  // Within what is kept and listed, nothing was cut.
  assert.deepEqual(cancellations.since(4990).cancelled.length, 10);
});
