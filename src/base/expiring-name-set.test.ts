import assert from 'node:assert/strict';
import { test } from 'node:test';

import { ExpiringNameSet } from './expiring-name-set.js';

// Guards against a set of terminated machines that drops entries early because it holds many: the cloud's
// list of machines still names a terminated machine for a while.
test('names are kept for the retention time, however many there are, and dropped afterwards', () => {
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
