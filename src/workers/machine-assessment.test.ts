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

function machineAt(leasedAt: number): MachineState {
  const machine = new MachineState('m1', leasedAt);
  machine.info = { id: 'm1', type: 'c8', zone: 'a', spot: false };
  return machine;
}

/** One that sent its last heartbeat at this time. */
function liveMachine(lastHeartbeatAt: number): MachineState {
  const machine = machineAt(lastHeartbeatAt);
  machine.hasSentHeartbeat = true;
  machine.reconciled = true;
  return machine;
}

function reasonAt(machine: MachineState, now: number): string | undefined {
  markFailedMachines([machine], now, ports);
  return machine.releaseReason;
}

describe('why a machine is released', () => {
  test('it has sent no heartbeat within two leases, or a multiple of its boot time if that is longer', () => {
    const none = reasonAt(liveMachine(0), 0);
    assert.equal(reasonAt(machineAt(0), 12_000), none);
    assert.equal(reasonAt(machineAt(0), 12_001), 'never-started');
    const bootS = 5;
    const slowBoot = parseMachineTypes({ hulls: [{ ...machineType, startupS: bootS }] });
    const machineTypes = (): ReturnType<AssessmentPorts['machineTypes']> =>
      new Map(slowBoot.map((type) => [type.name, type]));
    const machine = machineAt(0);
    const limitMs = bootS * 1000 * defaultOperatorSettings.workers.bootTimes;
    markFailedMachines([machine], limitMs, { ...ports, machineTypes });
    assert.equal(machine.releaseReason, none);
    markFailedMachines([machine], limitMs + 1, { ...ports, machineTypes });
    assert.equal(machine.releaseReason, 'never-started');
  });

  test('its heartbeats arrive, and it has not executed a command for three heartbeat intervals', () => {
    const none = reasonAt(liveMachine(0), 0);
    const machine = liveMachine(4000);
    machine.tasks.set('req-1/0', { phase: 'placed', startSentAt: 1000 } as Task);
    assert.equal(reasonAt(machine, 4000), none);
    assert.equal(reasonAt(machine, 4001), 'one-way-partition');
  });

  test('it is faulty, once it is empty', () => {
    const none = reasonAt(liveMachine(0), 0);
    const machine = liveMachine(0);
    machine.faulty = true;
    machine.tasks.set('req-1/0', { phase: 'seen' } as Task);
    assert.equal(reasonAt(machine, 0), none);
    machine.tasks.clear();
    assert.equal(reasonAt(machine, 0), 'faulty');
  });

  test('it is silent, whatever else it is', () => {
    const machine = liveMachine(0);
    machine.faulty = true;
    assert.equal(reasonAt(machine, 3001), 'silent');
  });

  test('the first reason stays', () => {
    const machine = liveMachine(0);
    machine.faulty = true;
    assert.equal(reasonAt(machine, 0), 'faulty');
    assert.equal(reasonAt(machine, 60_000), 'faulty');
  });
});

test('a straggler is told to stop, and its machine is released once it is empty', () => {
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
  assert.equal(reasonAt(machine, 30_001), 'faulty');
});
