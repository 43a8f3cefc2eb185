import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Ladder } from './ladder.js';
import type { MachineType } from '../model/types.js';
import type { LeasedMachine } from '../wire/block-records.js';
import { sizeOf } from '../wire/codec.js';
import { ladderRecord, parseLadder } from '../wire/ladder-records.js';
import { MissingMachineDetector } from './missing-machine-detector.js';
import { CapacityRefusals } from './capacity-refusals.js';
import { ScaleOutWindow, ScaleInWindow } from './scaling-windows.js';
import { ThresholdTuner } from './threshold-tuner.js';

const shape = { slotShare: 0.125, startShare: 0.8 };

test('thresholds start at a share of the room of the machines before', () => {
  const ladder = new Ladder(shape);
  assert.deepEqual(
    [2, 3, 4, 5].map((machineNumber) => ladder.threshold(machineNumber)),
    [6, 13, 19, 26],
  );
});

test('a day on the ladder: machines are rented at thresholds and given back one slot below', () => {
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

test('a refusal is asked again after growing pauses, and forgotten once granted', () => {
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

test('machines are given back once they have been too many for a boot time, as many as there were all along', () => {
  const ladder = new Ladder(shape);
  const surplus = new ScaleInWindow();
  const pool = (counted: number): Parameters<ScaleInWindow['machinesToRemove']>[0] => ({
    key: 'c8/spot',
    countedSlots: counted,
    machines: new Array<LeasedMachine>(3),
    type: { bootS: 40 } as MachineType,
  });
  const trace: [number, number, number][] = [
    [0, 5, 0],
    [39_000, 5, 0],
    [39_500, 20, 0], // demand is back: the count starts anew
    [40_000, 0, 0],
    [60_000, 5, 0],
    [79_000, 0, 0],
    [80_000, 0, 2], // one of the three was needed in between
    [119_000, 0, 3],
  ];
  for (const [now, counted, count] of trace)
    assert.equal(surplus.machinesToRemove(pool(counted), ladder, now), count, `at ${now}`);
});

test('what has no room is rented for at once, room to spare only once it has been lacking for a while', () => {
  const ladder = new Ladder(shape);
  const lack = new ScaleOutWindow(shape.slotShare);
  const pool = (counted: number): Parameters<ScaleOutWindow['machinesToAdd']>[0] => ({
    key: 'c8/spot',
    countedSlots: counted,
    machines: new Array<LeasedMachine>(10),
    type: { bootS: 40 } as MachineType,
  });
  const trace: [number, number, number][] = [
    [0, 78, 0], // ten machines have room for 80; the ladder would have thirteen
    [5000, 60, 0],
    [10_000, 78, 0],
    [12_000, 100, 3],
    [15_000, 78, 0],
    [20_000, 78, 3],
  ];
  assert.equal(ladder.scaleOutTarget(10, 78), 13);
  for (const [now, counted, count] of trace)
    assert.equal(lack.machinesToAdd(pool(counted), ladder, now), count, `at ${now}`);
});

// Guards against machines that are counted for ever, so that the ladder rents nothing in their place: let go by their owner
// between two terms, they were on no list of the new leader and could not be missed by it.
test('a machine that no list names is missing, whether it was ever on one or only leased', () => {
  const listing = new MissingMachineDetector(100);
  assert.deepEqual(listing.recordList(0, ['m1', 'm2'], ['m1', 'm2', 'm3']), []);
  assert.deepEqual(listing.recordList(150, ['m1'], ['m1', 'm2', 'm3', 'm4']), []);
  assert.deepEqual(listing.recordList(250, ['m1'], ['m1', 'm4']), ['m2', 'm3']);
  // A rental shows up within twice the lag.
  assert.deepEqual(listing.recordList(340, ['m1', 'm4'], ['m1', 'm4']), []);
  // After a pause in the lists nothing is missed by what was listed before it.
  assert.deepEqual(listing.recordList(2000, ['m1'], ['m1', 'm4']), []);
  assert.deepEqual(listing.recordList(2150, ['m1'], ['m1', 'm4']), []);
  assert.deepEqual(listing.recordList(2201, ['m1'], ['m1', 'm4']), ['m4']);
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
