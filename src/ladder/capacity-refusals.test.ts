import assert from 'node:assert/strict';
import { test } from 'node:test';

import { CapacityRefusals } from './capacity-refusals.js';

test('the back-off grows with consecutive refusals, and is cleared after a granted rental', () => {
  const refusals = new CapacityRefusals(1000);
  refusals.recordRefusal('c8', 'a', true, 0);
  assert.deepEqual(
    [refusals.isRefused('c8', 'a', true, 999), refusals.isRefused('c8', 'a', false, 999)],
    [true, false],
  );
  refusals.recordRefusal('c8', 'a', true, 1000);
  assert.equal(refusals.isRefused('c8', 'a', true, 2999), true);
  refusals.clear('c8', 'a', true);
  assert.equal(refusals.isRefused('c8', 'a', true, 2999), false);
});
