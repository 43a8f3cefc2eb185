import assert from 'node:assert/strict';
import { test } from 'node:test';

import { Ladder } from './ladder.js';
import { ThresholdTuner } from './threshold-tuner.js';

const shape = { slotShare: 0.125, startShare: 0.8 };

test('the threshold in force at most failures goes down while too many fail, and up again after', () => {
  const ladder = new Ladder(shape);
  const tuner = new ThresholdTuner({ targetFailureRatio: 0.01, windowMs: 300_000 });
  assert.equal(tuner.tune(ladder, 4, 0), undefined);
  tuner.add({ observedAt: 0, tasks: 90, failed: 0, machineNumber: 3 });
  tuner.add({ observedAt: 1000, tasks: 10, failed: 2, machineNumber: 3 });
  tuner.add({ observedAt: 2000, tasks: 10, failed: 1, machineNumber: 4 });
  assert.deepEqual(tuner.tune(ladder, 5, 30_000), { machineNumber: 3, bySlots: -1 });
  assert.equal(ladder.threshold(3), 12);
  tuner.add({ observedAt: 310_000, tasks: 50, failed: 0, machineNumber: 5 });
  assert.deepEqual(tuner.tune(ladder, 5, 330_000), { machineNumber: 5, bySlots: 1 });
});
