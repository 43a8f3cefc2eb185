import assert from 'node:assert/strict';
import { readdirSync } from 'node:fs';
import { describe, test } from 'node:test';

import { ProcessPause } from '../base/process-pause.js';
import { Saturation, type UtilizationProbe } from '../base/saturation.js';
import type { Task } from '../placement/job-state.js';
import { MachineState } from '../placement/machine-state.js';
import { runTrace } from '../testing/traces.js';
import { noHeartbeatsReceived, silentMachines } from './failure-detection.js';
import { ownDelayGraceMs } from './own-delays.js';

describe('traces of reports and what comes of them', () => {
  const folder = 'src/workers/traces';
  for (const file of readdirSync(folder)) {
    test(file.replace('.trace', ''), () => {
      const { expected, actual } = runTrace(`${folder}/${file}`);
      assert.deepEqual(actual, expected);
    });
  }
});

test('a silent machine among others is let go; a silent zone is given until its leases have run out', () => {
  const times = { heartbeatIntervalMs: 1000, workerLeaseMs: 6000, cancelDeadlineMs: 16_000 };
  const machine = (id: string, zone: string, lastSeen: number): MachineState => {
    const state = new MachineState(id, lastSeen);
    state.info = { id, type: 'c8', zone, spot: false };
    state.hasSentHeartbeat = true;
    return state;
  };
  const names = (machines: MachineState[], now: number): string[] =>
    silentMachines(machines, now, times, 3).map((m) => m.id);
  const one = [machine('m1', 'a', 0), machine('m2', 'a', 4000), machine('m3', 'a', 4000)];
  assert.deepEqual(names(one, 4000), ['m1']);
  const zone = [
    machine('m1', 'a', 0),
    machine('m2', 'a', 100),
    machine('m3', 'a', 200),
    machine('m4', 'b', 4000),
  ];
  assert.deepEqual(names(zone, 4000), []);
  assert.deepEqual(names(zone, 7150), ['m1', 'm2', 'm4']);
});

// Guards against releasing a whole block: its last owner was without the store and its peers, and kept its workers.
test('a machine that has yet to report to its new owner is given as long as the one before may keep it', () => {
  const times = { heartbeatIntervalMs: 1000, workerLeaseMs: 6000, cancelDeadlineMs: 16_000 };
  const state = new MachineState('m1', 0);
  state.info = { id: 'm1', type: 'c8', zone: 'a', spot: false };
  state.tasks.set('req-1/0', {} as Task);
  const judged = (now: number): number => silentMachines([state], now, times, 3).length;
  // cancel_s - lease_s, and then the three reports that any machine is given.
  assert.deepEqual([judged(4000), judged(12_900), judged(13_100)], [0, 0, 1]);
});

// Guards against a controller that stood still for longer than a lease and called all its machines silent and deaf when it woke.
test('who was held up itself judges nobody by that time', () => {
  let now = 0;
  const processPause = new ProcessPause(() => now, 1000);
  const times = { heartbeatIntervalMs: 1000, workerLeaseMs: 6000, cancelDeadlineMs: 16_000 };
  const state = new MachineState('m1', 0);
  state.info = { id: 'm1', type: 'c8', zone: 'a', spot: false };
  state.hasSentHeartbeat = true;
  const task = { phase: 'placed', startSentAt: 0 } as Task;
  state.tasks.set('req-1/0', task);
  const look = (at: number): [silent: number, deafSince: number | undefined] => {
    now = at;
    state.addGrace(processPause.look());
    return [silentMachines([state], now, times, 3).length, state.oneWayPartitionSince()];
  };
  assert.deepEqual(look(1000), [0, 0]);
  assert.deepEqual(look(27_000), [0, 25_000]);
  // From here on it is the machine's own silence.
  assert.deepEqual(look(28_000), [0, 25_000]);
  assert.deepEqual(look(28_001), [1, 25_000]);
});

// Guards against two hundred machines that were called deaf by a controller with too little processor time after a restart:
// each round of releases made more work than it saved. A machine that has died must be found out all the same.
test('who is short of processor time waits longer before it judges machines, and finds out the dead in the end', () => {
  let utilization = 1;
  const probe: UtilizationProbe = () => ({ idle: 0, active: 0, utilization });
  const saturation = new Saturation(probe);
  const times = { heartbeatIntervalMs: 1000, workerLeaseMs: 6000, cancelDeadlineMs: 16_000 };
  const releasedAt = (): number => {
    const state = new MachineState('m1', 0);
    state.info = { id: 'm1', type: 'c8', zone: 'a', spot: false };
    state.hasSentHeartbeat = true;
    for (let now = 500; now < 60_000; now += 500) {
      state.addGrace(ownDelayGraceMs({ passedMs: 500, heldUpMs: 0, saturated: saturation.look() }));
      if (silentMachines([state], now, times, 3).length > 0) return now;
    }
    return Infinity;
  };
  assert.equal(releasedAt(), 12_500);
  utilization = 0.8;
  assert.equal(releasedAt(), 3500);
});

// Guards against a controller that has lost its workers alone and keeps their block until all their leases have run out.
test('who hears none of many machines is most likely cut off itself; one that speaks, or few, say nothing of it', () => {
  const machine = (lastSeen: number): MachineState => {
    const state = new MachineState('m', lastSeen);
    state.hasSentHeartbeat = true;
    return state;
  };
  const judged = (lastSeen: number[], now: number): boolean => {
    return noHeartbeatsReceived(
      lastSeen.map((at) => machine(at)),
      now,
      1000,
    );
  };
  assert.equal(judged([0, 100, 200, 300], 1500), false);
  assert.equal(judged([0, 100, 200, 300], 1551), true);
  assert.equal(judged([0, 100, 200, 1500], 1551), false);
  assert.equal(judged([0, 100, 200], 9000), false);
});
