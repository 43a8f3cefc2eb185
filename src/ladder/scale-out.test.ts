import assert from 'node:assert/strict';
import { test } from 'node:test';

import { silentLog } from '../base/log.js';
import type { RentalOutcome } from '../cloud/client.js';
import { Term } from '../leadership/term.js';
import { leasedMachine, machineType, pool } from '../testing/pools.js';
import { testSettings } from '../testing/settings.js';
import { MachineInventory } from './machine-inventory.js';
import { ScaleOut, spreadOverZones } from './scale-out.js';

interface ScaleOutSetup {
  scaleOut: ScaleOut;
  inventory: MachineInventory;
  /** Rental requests to the cloud: zone and number of machines. */
  requests: [zone: string, count: number][];
  term: Term;
  setTime: (ms: number) => void;
}

/** Creates a `ScaleOut`. The machine list lags by 4 s, so the back-off after a first refusal is 8 s. */
function setUp(respond: (zone: string, count: number) => RentalOutcome): ScaleOutSetup {
  let now = 0;
  const settings = testSettings();
  const term = new Term(1, 0);
  const inventory = new MachineInventory({
    clock: () => now,
    wallClock: () => now,
    settings,
    leasedMachines: () => new Map(),
  });
  const requests: [string, number][] = [];
  const cloud = {
    rent: (_type: string, zone: string, _spot: boolean, count: number) => {
      requests.push([zone, count]);
      return Promise.resolve(respond(zone, count));
    },
  };
  const scaleOut = new ScaleOut({ clock: () => now, cloud, log: silentLog, settings, term }, inventory);
  return { scaleOut, inventory, requests, term, setTime: (ms) => (now = ms) };
}

const rentAll = (zone: string, count: number): RentalOutcome => ({
  kind: 'rented',
  machines: Array.from({ length: count }, (_, i) => `${zone}${i}`),
});

test('each new machine is rented in the zone with the fewest machines; of several zones, the first by name', () => {
  const machines = [{ zone: 'a' }, { zone: 'a' }, { zone: 'b' }];
  assert.deepEqual([...spreadOverZones(1, ['a', 'b'], machines)], [['b', 1]]);
  assert.deepEqual(
    [...spreadOverZones(4, ['b', 'a'], machines)],
    [
      ['b', 2],
      ['a', 2],
    ],
  );
  assert.deepEqual([...spreadOverZones(2, ['a'], machines)], [['a', 2]]);
  assert.deepEqual([...spreadOverZones(2, [], machines)], []);
});

test('drains are cancelled before machines are rented, except for machines that are presumed terminated', async () => {
  const { scaleOut, inventory, requests } = setUp(rentAll);
  const draining = ['m1', 'm2', 'm3'].map((id) => leasedMachine(id));
  for (const { id } of draining) inventory.drain(id);
  inventory.presumedTerminated.add('m1');
  await scaleOut.addMachines(pool({ draining }), 3);
  assert.deepEqual([...inventory.toDrain], ['m1']);
  assert.deepEqual(requests, [['a', 1]]);
  assert.deepEqual([...inventory.unassigned.keys()], ['a0']);
});

test('more than fifty machines in a zone are rented by several requests for at most fifty machines each', async () => {
  const { scaleOut, requests } = setUp(rentAll);
  await scaleOut.addMachines(pool({ type: machineType({ zones: ['a'] }) }), 120);
  assert.deepEqual(requests, [
    ['a', 50],
    ['a', 50],
    ['a', 20],
  ]);
});

test('a zone in which fewer machines were rented than requested is skipped until its back-off ends', async () => {
  const { scaleOut, requests, setTime } = setUp((zone, count) =>
    zone === 'a' ? { kind: 'no-capacity' } : rentAll(zone, count),
  );
  const type = machineType();
  await scaleOut.addMachines(pool({ type }), 2);
  await scaleOut.addMachines(pool({ type }), 2);
  assert.deepEqual(requests, [
    ['a', 1],
    ['b', 1],
    ['b', 2],
  ]);
  assert.equal(scaleOut.isExhausted(type, false, 7999), false);
  assert.equal(scaleOut.isExhausted(machineType({ zones: ['a'] }), false, 7999), true);
  assert.equal(scaleOut.isExhausted(machineType({ zones: ['a'] }), true, 7999), false);
  assert.equal(scaleOut.isExhausted(machineType({ zones: ['a'] }), false, 8000), false);
  setTime(8000);
  await scaleOut.addMachines(pool({ type }), 1);
  assert.deepEqual(requests.at(-1), ['a', 1]);
});

test('no back-off starts after a busy response of the cloud, so the next evaluation requests machines again', async () => {
  const { scaleOut, requests } = setUp(() => ({ kind: 'busy' }));
  const onlyZone = pool({ type: machineType({ zones: ['a'] }) });
  await scaleOut.addMachines(onlyZone, 60);
  await scaleOut.addMachines(onlyZone, 1);
  assert.deepEqual(requests, [
    ['a', 50],
    ['a', 1],
  ]);
});

// Guards against rentals by a controller that is no longer the leader.
test('nothing is rented after the term has ended', async () => {
  const { scaleOut, requests, term } = setUp(rentAll);
  term.end({ kind: 'shutdown' });
  await scaleOut.addMachines(pool(), 3);
  assert.deepEqual(requests, []);
});
