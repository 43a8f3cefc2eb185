import assert from 'node:assert/strict';
import { describe, test } from 'node:test';

import { createLog } from '../base/log.js';
import { maxMachinesPerRelease } from '../cloud/client.js';
import type { Task } from '../placement/job-state.js';
import { MachineState } from '../placement/machine-state.js';
import { defaultOperatorSettings } from '../settings/operator.js';
import { HealthMonitor, type HealthMonitorPorts } from './health-monitor.js';

/** Short, so that the pauses between checks are. */
const settings = { heartbeatIntervalMs: 3, workerLeaseMs: 6000, cancelDeadlineMs: 16_000 };

interface Outcome {
  /** Names of machines, by request to the cloud. */
  requests: string[][];
  removed: string[];
  requeued: number;
  withoutHeartbeats: number;
  lines: Record<string, unknown>[];
}

/** Machines that have been silent since 0. */
function silentMachines(count: number): MachineState[] {
  return Array.from({ length: count }, (_, index) => {
    const machine = new MachineState(`m${index}`, 0);
    machine.info = { id: `m${index}`, type: 'c8', zone: `z${index}`, spot: false };
    machine.hasSentHeartbeat = true;
    return machine;
  });
}

/** Lets the monitor make so many checks. */
async function check(
  machines: MachineState[],
  checks: number,
  ports: Partial<HealthMonitorPorts> & { isReleased?: (request: number) => boolean } = {},
): Promise<Outcome> {
  const outcome: Outcome = { requests: [], removed: [], requeued: 0, withoutHeartbeats: 0, lines: [] };
  const states = new Map(machines.map((machine) => [machine.id, machine]));
  const stop = new AbortController();
  let checksBegun = 0;
  const { isReleased = () => true, ...others } = ports;
  const log = createLog('keel-0', 'info', {
    write: (line: string) => void outcome.lines.push(JSON.parse(line) as Record<string, unknown>),
  });
  const monitor = new HealthMonitor({
    clock: () => 10,
    log,
    settings,
    operator: defaultOperatorSettings,
    signal: stop.signal,
    machineTypes: () => new Map(),
    cloud: {
      release: (names) => {
        outcome.requests.push(names);
        return Promise.resolve(isReleased(outcome.requests.length));
      },
    },
    blockState: {
      machines: states,
      removeTerminated: (id) => {
        outcome.removed.push(id);
        states.delete(id);
        return [{} as Task];
      },
    },
    onNoHeartbeats: () => {
      outcome.withoutHeartbeats++;
    },
    onTasksRequeued: () => {
      outcome.requeued++;
    },
    ...others,
    isStoreReachable: () => {
      if (++checksBegun >= checks) stop.abort();
      return ports.isStoreReachable?.() ?? true;
    },
  });
  await monitor.run();
  return outcome;
}

describe('releases of a health monitor', () => {
  test('take a machine and its tasks off the block, and are logged with their reason', async () => {
    const { requests, removed, requeued, lines } = await check(silentMachines(1), 1);
    assert.deepEqual([requests, removed, requeued], [[['m0']], ['m0'], 1]);
    const [{ event, machine, type, reason, tasks } = {}] = lines;
    assert.deepEqual([event, machine, type, reason, tasks], ['machine-released', 'm0', 'c8', 'silent', 1]);
  });

  test('take nothing off the block without the cloud having proven it, and are repeated', async () => {
    const { requests, removed, requeued } = await check(silentMachines(1), 2, {
      isReleased: (request) => request === 2,
    });
    assert.deepEqual([requests, removed, requeued], [[['m0'], ['m0']], ['m0'], 1]);
  });

  test('name no more machines than the cloud takes in one request', async () => {
    const { requests } = await check(silentMachines(maxMachinesPerRelease + 1), 2);
    assert.deepEqual(
      requests.map(({ length }) => length),
      [maxMachinesPerRelease, 1],
    );
  });
});

describe('nothing is released', () => {
  test('without the store', async () => {
    const { requests, withoutHeartbeats } = await check(silentMachines(4), 3, {
      isStoreReachable: () => false,
    });
    assert.deepEqual([requests, withoutHeartbeats], [[], 0]);
  });

  test('while no machine is heard of, though the store has been reachable for two heartbeat intervals', async () => {
    let now = 0;
    const machines = silentMachines(4);
    const clock = (): number => now;
    const isStoreReachable = (): boolean => {
      now += settings.heartbeatIntervalMs * 3;
      return true;
    };
    const { requests, withoutHeartbeats } = await check(machines, 1, { clock, isStoreReachable });
    assert.deepEqual([requests, withoutHeartbeats], [[], 1]);
  });
});

// Guards against giving up a block that another owns by now: who is back from a partition may own it only in its copy.
test('missing heartbeats are laid to the machines as long as the store has not been reachable for long', async () => {
  let now = 10;
  const reachable = [false, true];
  const { withoutHeartbeats, requests } = await check(silentMachines(4), 2, {
    clock: () => now,
    isStoreReachable: () => {
      now += settings.heartbeatIntervalMs;
      return reachable.shift() ?? true;
    },
  });
  assert.equal(withoutHeartbeats, 0);
  assert.equal(requests.length, 1);
});
