import assert from 'node:assert/strict';
import { test } from 'node:test';

import { sizeOf } from '../wire/codec.js';
import { ladderRecord, parseLadder } from '../wire/ladder-records.js';
import { Ladder } from './ladder.js';

const shape = { slotShare: 0.125, startShare: 0.8 };

test('thresholds start at a share of the room of the machines before', () => {
  const ladder = new Ladder(shape);
  assert.deepEqual(
    [2, 3, 4, 5].map((machineNumber) => ladder.threshold(machineNumber)),
    [6, 13, 19, 26],
  );
});

test('a day on the ladder: machines are rented at thresholds and scaled in one slot below', () => {
  const ladder = new Ladder(shape);
  let machines = 0;
  const trace = [0, 1, 5, 6, 12, 13, 30, 25, 12, 5, 0].map((counted) => {
    const want = ladder.scaleOutTarget(machines, counted);
    if (want > machines) machines = want;
    else if (ladder.allowsScaleIn(machines, counted)) machines--;
    return `${counted}:${machines}`;
  });
  assert.deepEqual(trace, ['0:0', '1:1', '5:1', '6:2', '12:2', '13:3', '30:5', '25:4', '12:3', '5:2', '0:1']);
});

test('a threshold moves a slot at a time and stays between zero, its room and its neighbours', () => {
  const ladder = new Ladder(shape);
  for (let i = 0; i < 20; i++) ladder.move(2, -1);
  assert.equal(ladder.threshold(2), 0);
  for (let i = 0; i < 40; i++) ladder.move(2, 1);
  assert.equal(ladder.threshold(2), 8);
  for (let i = 0; i < 40; i++) ladder.move(3, -1);
  assert.equal(ladder.threshold(3), 8);
  assert.equal(ladder.move(1, 1), false);
  assert.equal(new Ladder(shape, ladder.movedThresholds).threshold(2), 8);
});

// Guards against a ladder that is never written again: after a long time on a large fleet every threshold has been moved.
test('of more thresholds than a value holds the record keeps those that were moved last', () => {
  const ladder = new Ladder(shape);
  for (let m = 4000; m > 1; m--) ladder.move(m, 1);
  ladder.move(4000, 1);
  const record = ladderRecord(ladder.movedThresholds, 2048);
  assert.ok(sizeOf(record) <= 2048);
  const kept = parseLadder(record);
  assert.ok(kept.length >= 100);
  assert.deepEqual(kept.at(-1), [4000, ladder.threshold(4000)]);
});
