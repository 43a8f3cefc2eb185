import assert from 'node:assert/strict';
import { test } from 'node:test';

import { ProcessPause } from '../base/process-pause.js';
import { Saturation, type UtilizationProbe } from '../base/saturation.js';
import type { Task } from '../placement/job-state.js';
import { MachineState } from '../placement/machine-state.js';
import { noHeartbeatsReceived, silentMachines } from './failure-detection.js';
import { ownDelayGraceMs } from './own-delays.js';

test('a silent machine among others is released; a silent zone is given until its leases have expired', () => {
  const times = { heartbeatIntervalMs: 1000, workerLeaseMs: 6000, cancelDeadlineMs: 16_000 };
  const machine = (id: string, zone: string, lastHeartbeatAt: number): MachineState => {
    const state = new MachineState(id, lastHeartbeatAt);
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
test('a machine that has yet to send its new owner a heartbeat is given as long as its previous owner may answer it', () => {
  const times = { heartbeatIntervalMs: 1000, workerLeaseMs: 6000, cancelDeadlineMs: 16_000 };
  const state = new MachineState('m1', 0);
  state.info = { id: 'm1', type: 'c8', zone: 'a', spot: false };
  state.tasks.set('req-1/0', {} as Task);
  const silentCount = (now: number): number => silentMachines([state], now, times, 3).length;
  // cancel_s - lease_s, and then the three heartbeat intervals that any machine is given.
  assert.deepEqual([silentCount(4000), silentCount(12_900), silentCount(13_100)], [0, 0, 1]);
});

// Guards against a controller that stood still for longer than a lease and then found all its machines silent or partitioned.
test('time in which the controller was held up itself is not held against machines', () => {
  let now = 0;
  const processPause = new ProcessPause(() => now, 1000);
  const times = { heartbeatIntervalMs: 1000, workerLeaseMs: 6000, cancelDeadlineMs: 16_000 };
  const state = new MachineState('m1', 0);
  state.info = { id: 'm1', type: 'c8', zone: 'a', spot: false };
  state.hasSentHeartbeat = true;
  const task = { phase: 'placed', startSentAt: 0 } as Task;
  state.tasks.set('req-1/0', task);
  const checkAt = (at: number): [silent: number, partitionedSince: number | undefined] => {
    now = at;
    state.addGrace(processPause.measureDelayMs());
    return [silentMachines([state], now, times, 3).length, state.oneWayPartitionSince()];
  };
  assert.deepEqual(checkAt(1000), [0, 0]);
  assert.deepEqual(checkAt(27_000), [0, 25_000]);
  // From here on it is the machine's own silence.
  assert.deepEqual(checkAt(28_000), [0, 25_000]);
  assert.deepEqual(checkAt(28_001), [1, 25_000]);
});

// Guards against the release of two hundred machines as partitioned by a controller with too little processor time after a
// restart: each round of releases made more work than it saved. A machine that has died must be detected all the same.
test('a controller short of processor time waits longer before it releases machines, and detects dead ones in the end', () => {
  let utilization = 1;
  const probe: UtilizationProbe = () => ({ idle: 0, active: 0, utilization });
  const saturation = new Saturation(probe);
  const times = { heartbeatIntervalMs: 1000, workerLeaseMs: 6000, cancelDeadlineMs: 16_000 };
  const releasedAt = (): number => {
    const state = new MachineState('m1', 0);
    state.info = { id: 'm1', type: 'c8', zone: 'a', spot: false };
    state.hasSentHeartbeat = true;
    for (let now = 500; now < 60_000; now += 500) {
      state.addGrace(
        ownDelayGraceMs({ passedMs: 500, heldUpMs: 0, saturated: saturation.measureSaturated() }),
      );
      if (silentMachines([state], now, times, 3).length > 0) return now;
    }
    return Infinity;
  };
  assert.equal(releasedAt(), 12_500);
  utilization = 0.8;
  assert.equal(releasedAt(), 3500);
});

// Guards against a controller that alone has lost its workers and keeps their block until all their leases have expired.
test('no heartbeat of many machines means that the controller is cut off; with one heartbeat, or few machines, it does not', () => {
  const machine = (lastHeartbeatAt: number): MachineState => {
    const state = new MachineState('m', lastHeartbeatAt);
    state.hasSentHeartbeat = true;
    return state;
  };
  const isCutOff = (heartbeatTimes: number[], now: number): boolean => {
    return noHeartbeatsReceived(
      heartbeatTimes.map((at) => machine(at)),
      now,
      1000,
    );
  };
  assert.equal(isCutOff([0, 100, 200, 300], 1500), false);
  assert.equal(isCutOff([0, 100, 200, 300], 1551), true);
  assert.equal(isCutOff([0, 100, 200, 1500], 1551), false);
  assert.equal(isCutOff([0, 100, 200], 9000), false);
});
