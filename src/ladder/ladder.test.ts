import assert from 'node:assert/strict';
import { test } from 'node:test';

import { jsonSizeBytes } from '../wire/codec.js';
import { ladderRecord, parseLadder } from '../wire/ladder-records.js';
import { Ladder } from './ladder.js';

const ladderSettings = { slotShare: 0.125, startShare: 0.8 };

test('the initial threshold of each machine is a share of the capacity of the preceding machines', () => {
  const ladder = new Ladder(ladderSettings);
  assert.deepEqual(
    [2, 3, 4, 5].map((machineNumber) => ladder.threshold(machineNumber)),
    [6, 13, 19, 26],
  );
});

test('a machine is rented when the demand reaches its threshold, and removed when the demand falls below the threshold', () => {
  const ladder = new Ladder(ladderSettings);
  let machines = 0;
  const trace = [0, 1, 5, 6, 12, 13, 30, 25, 12, 5, 0].map((counted) => {
    const target = ladder.scaleOutTarget(machines, counted);
    if (target > machines) machines = target;
    else if (ladder.allowsScaleIn(machines, counted)) machines--;
    return `${counted}:${machines}`;
  });
  assert.deepEqual(trace, ['0:0', '1:1', '5:1', '6:2', '12:2', '13:3', '30:5', '25:4', '12:3', '5:2', '0:1']);
});

test('a threshold moves by one slot, and not beyond zero, the capacity of the preceding machines or an adjacent threshold', () => {
  const ladder = new Ladder(ladderSettings);
  for (let i = 0; i < 20; i++) ladder.move(2, -1);
  assert.equal(ladder.threshold(2), 0);
  for (let i = 0; i < 40; i++) ladder.move(2, 1);
  assert.equal(ladder.threshold(2), 8);
  for (let i = 0; i < 40; i++) ladder.move(3, -1);
  assert.equal(ladder.threshold(3), 8);
  assert.equal(ladder.move(1, 1), false);
  assert.equal(new Ladder(ladderSettings, ladder.movedThresholds).threshold(2), 8);
});

// After a long time, every threshold of a large fleet has been moved. If all moved thresholds were stored,
// the ladder record would exceed the size limit of a stored value, and every later write of the record would
// fail.
test('if a stored value cannot hold all moved thresholds, the most recently moved thresholds are stored', () => {
  const ladder = new Ladder(ladderSettings);
  for (let machineNumber = 4000; machineNumber > 1; machineNumber--) ladder.move(machineNumber, 1);
  ladder.move(4000, 1);
  const record = ladderRecord(ladder.movedThresholds, 2048);
  assert.ok(jsonSizeBytes(record) <= 2048);
  const kept = parseLadder(record);
  assert.ok(kept.length >= 100);
  assert.deepEqual(kept.at(-1), [4000, ladder.threshold(4000)]);
});
