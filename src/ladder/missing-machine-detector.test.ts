import assert from 'node:assert/strict';
import { test } from 'node:test';

import { MissingMachineDetector } from './missing-machine-detector.js';

// Guards against terminated machines that are counted for ever, so that the ladder rents no replacements. The
// owner of their block released them between two terms. They were on no machine list that the new leader
// received, so the new leader could not detect that they were missing.
test('a machine that stays off the list is missing, whether it was listed before or only leased', () => {
  const detector = new MissingMachineDetector(100);
  assert.deepEqual(detector.recordList(0, ['m1', 'm2'], ['m1', 'm2', 'm3']), []);
  assert.deepEqual(detector.recordList(150, ['m1'], ['m1', 'm2', 'm3', 'm4']), []);
  assert.deepEqual(detector.recordList(250, ['m1'], ['m1', 'm4']), ['m2', 'm3']);
  // A machine that was just rented appears on the list within twice the list lag.
  assert.deepEqual(detector.recordList(340, ['m1', 'm4'], ['m1', 'm4']), []);
  // After a gap between lists, the time that a machine has been missing is counted from the end of the gap.
  assert.deepEqual(detector.recordList(2000, ['m1'], ['m1', 'm4']), []);
  assert.deepEqual(detector.recordList(2150, ['m1'], ['m1', 'm4']), []);
  assert.deepEqual(detector.recordList(2201, ['m1'], ['m1', 'm4']), ['m4']);
});
