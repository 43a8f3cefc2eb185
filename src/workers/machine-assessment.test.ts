import assert from 'node:assert/strict';
import { describe, test } from 'node:test';

import { silentLog } from '../base/log.js';
import type { JobState, Task } from '../placement/job-state.js';
import { MachineState } from '../placement/machine-state.js';
import { defaultOperatorSettings } from '../settings/operator.js';
import { machineType } from '../testing/cloud-standin.js';
import { parseMachineTypes } from '../wire/cloud.js';
import { type AssessmentPorts, markFailedMachines } from './machine-assessment.js';

const ports: AssessmentPorts = {
  log: silentLog,
  settings: { heartbeatIntervalMs: 1000, workerLeaseMs: 6000, cancelDeadlineMs: 16_000 },
  operator: defaultOperatorSettings,
  machineTypes: () => new Map(parseMachineTypes({ hulls: [machineType] }).map((type) => [type.name, type])),
};

function machineLeasedAt(leasedAt: number): MachineState {
  const machine = new MachineState('m1', leasedAt);
  machine.info = { id: 'm1', type: 'c8', zone: 'a', spot: false };
  return machine;
}

/** Creates a reconciled machine that sent its latest heartbeat at this time. */
function liveMachine(lastHeartbeatAt: number): MachineState {
  const machine = machineLeasedAt(lastHeartbeatAt);
  machine.hasSentHeartbeat = true;
  machine.reconciled = true;
  return machine;
}

function releaseReasonAt(machine: MachineState, now: number): string | undefined {
  markFailedMachines([machine], now, ports);
  return machine.releaseReason;
}

describe('release reasons of machines', () => {
  test('never-started: no heartbeat within two worker leases, or within a multiple of the boot time if the multiple is longer', () => {
    const noReason = releaseReasonAt(liveMachine(0), 0);
    assert.equal(releaseReasonAt(machineLeasedAt(0), 12_000), noReason);
    assert.equal(releaseReasonAt(machineLeasedAt(0), 12_001), 'never-started');
    const bootS = 5;
    const slowBoot = parseMachineTypes({ hulls: [{ ...machineType, startupS: bootS }] });
    const machineTypes = (): ReturnType<AssessmentPorts['machineTypes']> =>
      new Map(slowBoot.map((type) => [type.name, type]));
    const machine = machineLeasedAt(0);
    const limitMs = bootS * 1000 * defaultOperatorSettings.workers.bootTimeoutMultiple;
    markFailedMachines([machine], limitMs, { ...ports, machineTypes });
    assert.equal(machine.releaseReason, noReason);
    markFailedMachines([machine], limitMs + 1, { ...ports, machineTypes });
    assert.equal(machine.releaseReason, 'never-started');
  });

  test('one-way-partition: heartbeats arrive, but a command was not executed within three heartbeat intervals', () => {
    const noReason = releaseReasonAt(liveMachine(0), 0);
    const machine = liveMachine(4000);
    machine.tasks.set('req-1/0', { phase: 'placed', startSentAt: 1000 } as Task);
    assert.equal(releaseReasonAt(machine, 4000), noReason);
    assert.equal(releaseReasonAt(machine, 4001), 'one-way-partition');
  });

  test('faulty: the machine is faulty and has no tasks left', () => {
    const noReason = releaseReasonAt(liveMachine(0), 0);
    const machine = liveMachine(0);
    machine.faulty = true;
    machine.tasks.set('req-1/0', { phase: 'seen' } as Task);
    assert.equal(releaseReasonAt(machine, 0), noReason);
    machine.tasks.clear();
    assert.equal(releaseReasonAt(machine, 0), 'faulty');
  });

  test('silent: takes precedence over other reasons found at the same time', () => {
    const machine = liveMachine(0);
    machine.faulty = true;
    assert.equal(releaseReasonAt(machine, 3001), 'silent');
  });

  test('a release reason that is already set is kept', () => {
    const machine = liveMachine(0);
    machine.faulty = true;
    assert.equal(releaseReasonAt(machine, 0), 'faulty');
    assert.equal(releaseReasonAt(machine, 60_000), 'faulty');
  });
});

test('a straggler is stopped, and its machine is released after the machine has no tasks left', () => {
  const machine = liveMachine(100_000);
  const job = {
    id: 'req-1',
    outcome: undefined,
    completedRuns: 3,
    maxRunMs: 10_000,
    spec: { estimatedRunS: 10 },
  };
  const task = {
    phase: 'seen',
    running: true,
    runningSince: 0,
    stopping: false,
    job,
    index: 0,
  } as unknown as Task;
  machine.tasks.set('req-1/0', task);
  markFailedMachines([machine], 30_000, ports);
  assert.deepEqual([task.stopping, machine.faulty], [false, false]);
  markFailedMachines([machine], 30_001, ports);
  assert.deepEqual([task.stopping, machine.faulty], [true, true]);
  (job as Partial<JobState>).outcome = 'done';
  machine.tasks.clear();
  assert.equal(releaseReasonAt(machine, 30_001), 'faulty');
});
