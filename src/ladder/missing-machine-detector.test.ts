import assert from 'node:assert/strict';
import { test } from 'node:test';

import { MissingMachineDetector } from './missing-machine-detector.js';

// Guards against machines that are counted for ever, so that the ladder rents nothing in their place: released by their owner
// between two terms, they were on no list of the new leader and could not be missed by it.
test('a machine that no list names is missing, whether it was ever on one or only leased', () => {
  const detector = new MissingMachineDetector(100);
  assert.deepEqual(detector.recordList(0, ['m1', 'm2'], ['m1', 'm2', 'm3']), []);
  assert.deepEqual(detector.recordList(150, ['m1'], ['m1', 'm2', 'm3', 'm4']), []);
  assert.deepEqual(detector.recordList(250, ['m1'], ['m1', 'm4']), ['m2', 'm3']);
  // A rental shows up within twice the lag.
  assert.deepEqual(detector.recordList(340, ['m1', 'm4'], ['m1', 'm4']), []);
  // After a pause in the lists nothing is missed by what was listed before it.
  assert.deepEqual(detector.recordList(2000, ['m1'], ['m1', 'm4']), []);
  assert.deepEqual(detector.recordList(2150, ['m1'], ['m1', 'm4']), []);
  assert.deepEqual(detector.recordList(2201, ['m1'], ['m1', 'm4']), ['m4']);
});
