import assert from 'node:assert/strict';
import { test } from 'node:test';

import { MissingMachineDetector } from './missing-machine-detector.js';

// The owner of a block releases machines between the terms of two leaders. No machine list that the new
// leader receives contains these machines. If only machines from earlier lists could be detected as missing,
// the new leader would count the released machines as present forever and rent no replacements.
test('a machine that stays off the machine list is missing, even if it was never listed but only expected', () => {
  const detector = new MissingMachineDetector(100);
  assert.deepEqual(detector.recordList(0, ['m1', 'm2'], ['m1', 'm2', 'm3']), []);
  assert.deepEqual(detector.recordList(150, ['m1'], ['m1', 'm2', 'm3', 'm4']), []);
  assert.deepEqual(detector.recordList(250, ['m1'], ['m1', 'm4']), ['m2', 'm3']);
  // A machine that was just rented appears on the list within twice the list lag.
  assert.deepEqual(detector.recordList(340, ['m1', 'm4'], ['m1', 'm4']), []);
  // After a gap between lists, the time for which a machine has been missing is counted from the end of the
  // gap.
  assert.deepEqual(detector.recordList(2000, ['m1'], ['m1', 'm4']), []);
  assert.deepEqual(detector.recordList(2150, ['m1'], ['m1', 'm4']), []);
  assert.deepEqual(detector.recordList(2201, ['m1'], ['m1', 'm4']), ['m4']);
});
