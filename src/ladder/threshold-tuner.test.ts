import assert from 'node:assert/strict';
import { test } from 'node:test';

import { Ladder } from './ladder.js';
import { ThresholdTuner } from './threshold-tuner.js';

const ladderSettings = { slotShare: 0.125, startShare: 0.8 };

test('if too many tasks fail, the threshold with the most failures is lowered; if none fail, the threshold of the next machine is raised', () => {
  const ladder = new Ladder(ladderSettings);
  const tuner = new ThresholdTuner({ targetFailureRatio: 0.01, windowMs: 300_000 });
  assert.equal(tuner.tune(ladder, 4, 0), undefined);
  tuner.addSample({ observedAt: 0, tasks: 90, failed: 0, machineNumber: 3 });
  tuner.addSample({ observedAt: 1000, tasks: 10, failed: 2, machineNumber: 3 });
  tuner.addSample({ observedAt: 2000, tasks: 10, failed: 1, machineNumber: 4 });
  assert.deepEqual(tuner.tune(ladder, 5, 30_000), { machineNumber: 3, bySlots: -1 });
  assert.equal(ladder.threshold(3), 12);
  tuner.addSample({ observedAt: 310_000, tasks: 50, failed: 0, machineNumber: 5 });
  assert.deepEqual(tuner.tune(ladder, 5, 330_000), { machineNumber: 5, bySlots: 1 });
});
