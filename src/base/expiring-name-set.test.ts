import assert from 'node:assert/strict';
import { test } from 'node:test';

import { ExpiringNameSet } from './expiring-name-set.js';

// The cloud's machine list may still contain a machine for a while after its termination. The set of
// terminated machines must therefore not drop a name before its retention time has passed, even if the set is
// large.
test('a set keeps any number of names for the retention time and drops them afterwards', () => {
  let now = 0;
  const names = new ExpiringNameSet(() => now, 1000);
  for (let i = 0; i < 10_000; i++) names.add(`vm-${i}`);
  assert.equal(names.has('vm-0'), true);
  now = 600;
  names.add('vm-later');
  names.add('vm-0');
  assert.deepEqual(names.addedSince(600), ['vm-later']);
  now = 1001;
  names.add('vm-last');
  assert.deepEqual([names.has('vm-0'), names.has('vm-later'), names.has('vm-last')], [false, true, true]);
});
