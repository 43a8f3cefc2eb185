import assert from 'node:assert/strict';
import { test } from 'node:test';

import { leasedMachine, pool } from '../testing/pools.js';
import { machinesToDrain } from './scale-in.js';

const load = (cpus: number): { cpus: number; accelerators: number; memoryGb: number } => ({
  cpus,
  accelerators: 0,
  memoryGb: 1,
});

test('the least loaded machine is drained first; of equally loaded machines, the last by name', () => {
  const machines = ['m1', 'm2', 'm3', 'm4'].map((id) => leasedMachine(id));
  const loads = new Map([
    ['m1', load(4)],
    ['m3', load(1)],
  ]);
  const state = { loads, slotShare: 0.125, now: 60_000 };
  const drained = machinesToDrain(pool({ machines }), 3, state).map(({ id }) => id);
  assert.deepEqual(drained, ['m4', 'm2', 'm3']);
});

test('a machine is not drained within the minimum charge period of one minute', () => {
  const machines = [leasedMachine('m1', { rentedAt: 1 }), leasedMachine('m2')];
  const state = { loads: new Map(), slotShare: 0.125, now: 60_000 };
  assert.deepEqual(machinesToDrain(pool({ machines }), 2, state), [machines[1]]);
});
