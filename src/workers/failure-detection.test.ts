import assert from 'node:assert/strict';
import { test } from 'node:test';

import { EventLoopSaturation, type UtilizationProbe } from '../base/event-loop-saturation.js';
import { ProcessPauseDetector } from '../base/process-pause-detector.js';
import type { Task } from '../placement/job-state.js';
import { MachineState } from '../placement/machine-state.js';
import { controllerDelayMs } from './controller-delays.js';
import { noHeartbeatsReceived, silentMachines } from './failure-detection.js';

test('a silent machine in a zone of live machines is released; machines of a silent zone are kept until the leases of their workers have expired', () => {
  const times = { heartbeatIntervalMs: 1000, workerLeaseMs: 6000, cancelDeadlineMs: 16_000 };
  const machine = (id: string, zone: string, lastHeartbeatAt: number): MachineState => {
    const state = new MachineState(id, lastHeartbeatAt);
    state.info = { id, type: 'c8', zone, spot: false };
    state.hasSentHeartbeat = true;
    return state;
  };
  const silentIds = (machines: MachineState[], now: number): string[] =>
    silentMachines(machines, now, times, 3).map((silentMachine) => silentMachine.id);
  const oneSilentMachine = [machine('m1', 'a', 0), machine('m2', 'a', 4000), machine('m3', 'a', 4000)];
  assert.deepEqual(silentIds(oneSilentMachine, 4000), ['m1']);
  const silentZone = [
    machine('m1', 'a', 0),
    machine('m2', 'a', 100),
    machine('m3', 'a', 200),
    machine('m4', 'b', 4000),
  ];
  assert.deepEqual(silentIds(silentZone, 4000), []);
  assert.deepEqual(silentIds(silentZone, 7150), ['m1', 'm2', 'm4']);
});

// Guards against the release of all machines of a block after a change of owner. The previous owner of the
// block was partitioned from the store and from its peers, so another controller leased the block. The
// previous owner still answered its workers. The new owner therefore got no heartbeats and released the
// machines.
test('a machine that has not yet sent its new owner a heartbeat is kept for as long as its previous owner may answer it', () => {
  const times = { heartbeatIntervalMs: 1000, workerLeaseMs: 6000, cancelDeadlineMs: 16_000 };
  const state = new MachineState('m1', 0);
  state.info = { id: 'm1', type: 'c8', zone: 'a', spot: false };
  state.tasks.set('req-1/0', {} as Task);
  const silentCount = (now: number): number => silentMachines([state], now, times, 3).length;
  // The limit is cancel_s - lease_s plus the silence limit of three heartbeat intervals.
  assert.deepEqual([silentCount(4000), silentCount(12_900), silentCount(13_100)], [0, 0, 1]);
});

// Guards against the release of healthy machines after a pause of the controller process. The process was
// paused for longer than a lease. When it resumed, all machines of the controller appeared to be silent or
// partitioned and were released.
test('a pause of the controller itself counts neither as silence nor as a one-way partition of its machines', () => {
  let now = 0;
  const processPause = new ProcessPauseDetector(() => now, 1000);
  const times = { heartbeatIntervalMs: 1000, workerLeaseMs: 6000, cancelDeadlineMs: 16_000 };
  const state = new MachineState('m1', 0);
  state.info = { id: 'm1', type: 'c8', zone: 'a', spot: false };
  state.hasSentHeartbeat = true;
  const task = { phase: 'placed', startSentAt: 0 } as Task;
  state.tasks.set('req-1/0', task);
  const checkAt = (at: number): [silent: number, partitionedSince: number | undefined] => {
    now = at;
    state.excludeControllerDelay(processPause.measureDelayMs());
    return [silentMachines([state], now, times, 3).length, state.oneWayPartitionSince()];
  };
  assert.deepEqual(checkAt(1000), [0, 0]);
  assert.deepEqual(checkAt(27_000), [0, 25_000]);
  // The process is not paused again, so all further silence counts as missed heartbeats.
  assert.deepEqual(checkAt(28_000), [0, 25_000]);
  assert.deepEqual(checkAt(28_001), [1, 25_000]);
});

// Guards against an overload that sustains itself. After a restart, a controller with too little processor
// time classified two hundred machines as partitioned and released them. Each series of releases caused more
// work than it saved. A machine that has died must still be detected under overload.
test('a controller that lacks processor time waits longer before it releases silent machines, but still detects dead machines', () => {
  let utilization = 1;
  const probe: UtilizationProbe = () => ({ idle: 0, active: 0, utilization });
  const saturation = new EventLoopSaturation(probe);
  const times = { heartbeatIntervalMs: 1000, workerLeaseMs: 6000, cancelDeadlineMs: 16_000 };
  const releasedAt = (): number => {
    const state = new MachineState('m1', 0);
    state.info = { id: 'm1', type: 'c8', zone: 'a', spot: false };
    state.hasSentHeartbeat = true;
    for (let now = 500; now < 60_000; now += 500) {
      state.excludeControllerDelay(
        controllerDelayMs({ passedMs: 500, pausedMs: 0, saturated: saturation.measureSaturated() }),
      );
      if (silentMachines([state], now, times, 3).length > 0) return now;
    }
    return Infinity;
  };
  assert.equal(releasedAt(), 12_500);
  utilization = 0.8;
  assert.equal(releasedAt(), 3500);
});

// Guards against a controller that keeps its block although it is partitioned from the workers. Only this
// controller was partitioned from the workers of the block, but it kept the block until all worker leases had
// expired.
test('a controller counts as partitioned if none of four machines sends heartbeats, but not if one machine does or if there are only three machines', () => {
  const machine = (lastHeartbeatAt: number): MachineState => {
    const state = new MachineState('m', lastHeartbeatAt);
    state.hasSentHeartbeat = true;
    return state;
  };
  const isPartitioned = (heartbeatTimes: number[], now: number): boolean => {
    return noHeartbeatsReceived(
      heartbeatTimes.map((at) => machine(at)),
      now,
      1000,
    );
  };
  assert.equal(isPartitioned([0, 100, 200, 300], 1500), false);
  assert.equal(isPartitioned([0, 100, 200, 300], 1551), true);
  assert.equal(isPartitioned([0, 100, 200, 1500], 1551), false);
  assert.equal(isPartitioned([0, 100, 200], 9000), false);
});
