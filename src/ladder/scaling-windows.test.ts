import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { MachineType } from '../model/types.js';
import type { LeasedMachine } from '../wire/block-records.js';
import { Ladder } from './ladder.js';
import { ScaleInWindow, ScaleOutWindow } from './scaling-windows.js';

const ladderSettings = { slotShare: 0.125, startShare: 0.8 };

test('the number of machines to remove is the smallest surplus within a window as long as the boot time', () => {
  const ladder = new Ladder(ladderSettings);
  const window = new ScaleInWindow();
  const pool = (counted: number): Parameters<ScaleInWindow['machinesToRemove']>[0] => ({
    key: 'c8/spot',
    countedSlots: counted,
    machines: new Array<LeasedMachine>(3),
    type: { bootS: 40 } as MachineType,
  });
  const trace: [number, number, number][] = [
    [0, 5, 0],
    [39_000, 5, 0],
    [39_500, 20, 0], // all machines are needed again, so the surplus must last for another boot time
    [40_000, 0, 0],
    [60_000, 5, 0],
    [79_000, 0, 0],
    [80_000, 0, 2], // one of the three machines was needed within the window
    [119_000, 0, 3],
  ];
  for (const [now, counted, count] of trace)
    assert.equal(window.machinesToRemove(pool(counted), ladder, now), count, `at ${now}`);
});

test('a pool is scaled out immediately if the demand exceeds its capacity, and only after a delay if the reserve is missing', () => {
  const ladder = new Ladder(ladderSettings);
  const window = new ScaleOutWindow(ladderSettings.slotShare);
  const pool = (counted: number): Parameters<ScaleOutWindow['machinesToAdd']>[0] => ({
    key: 'c8/spot',
    countedSlots: counted,
    machines: new Array<LeasedMachine>(10),
    type: { bootS: 40 } as MachineType,
  });
  const trace: [number, number, number][] = [
    [0, 78, 0], // ten machines have a capacity of 80 slots; the ladder's target is thirteen machines
    [5000, 60, 0],
    [10_000, 78, 0],
    [12_000, 100, 3],
    [15_000, 78, 0],
    [20_000, 78, 3],
  ];
  assert.equal(ladder.scaleOutTarget(10, 78), 13);
  for (const [now, counted, count] of trace)
    assert.equal(window.machinesToAdd(pool(counted), ladder, now), count, `at ${now}`);
});
