import assert from 'node:assert/strict';
import { describe, test } from 'node:test';

import { createLog } from '../base/log.js';
import { maxMachinesPerRelease } from '../cloud/client.js';
import type { Task } from '../placement/job-state.js';
import { MachineState } from '../placement/machine-state.js';
import { defaultOperatorSettings } from '../settings/operator.js';
import type { OutcomeRecord } from '../wire/job-records.js';
import { HealthMonitor, type HealthMonitorPorts } from './health-monitor.js';

/** The heartbeat interval is short, so that the health monitor waits only briefly between checks. */
const settings = {
  heartbeatIntervalMs: 3,
  workerLeaseMs: 6000,
  cancelDeadlineMs: 16_000,
  clockErrorMs: 100,
};

interface MonitorResult {
  /** For each release request to the cloud, the ids of the machines in the request. */
  requests: string[][];
  removed: string[];
  requeued: number;
  noHeartbeatsCalls: number;
  logEntries: Record<string, unknown>[];
}

/** Creates machines that sent their latest heartbeat at time 0. */
function silentMachines(count: number): MachineState[] {
  return Array.from({ length: count }, (_, index) => {
    const machine = new MachineState(`m${index}`, 0);
    machine.info = { id: `m${index}`, type: 'c8', zone: `z${index}`, spot: false };
    machine.hasSentHeartbeat = true;
    return machine;
  });
}

/**
 * Runs a health monitor for `checkCount` checks of the machines and returns the recorded calls and log
 * entries.
 */
async function runChecks(
  machines: MachineState[],
  checkCount: number,
  ports: Partial<HealthMonitorPorts> & { isReleased?: (request: number) => boolean } = {},
): Promise<MonitorResult> {
  const result: MonitorResult = {
    requests: [],
    removed: [],
    requeued: 0,
    noHeartbeatsCalls: 0,
    logEntries: [],
  };
  const states = new Map(machines.map((machine) => [machine.id, machine]));
  const stop = new AbortController();
  let checksBegun = 0;
  const { isReleased = () => true, ...otherPorts } = ports;
  const log = createLog('keel-0', 'info', {
    write: (line: string) => void result.logEntries.push(JSON.parse(line) as Record<string, unknown>),
  });
  const monitor = new HealthMonitor({
    clock: () => 10,
    log,
    settings,
    operator: defaultOperatorSettings,
    signal: stop.signal,
    machineTypes: () => new Map(),
    wallClock: () => 0,
    outcomeOf: () => undefined,
    readOutcome: () => Promise.resolve(),
    cloud: {
      release: (ids) => {
        result.requests.push(ids);
        return Promise.resolve(isReleased(result.requests.length));
      },
    },
    blockState: {
      machines: states,
      removeTerminated: (id) => {
        result.removed.push(id);
        states.delete(id);
        return [{} as Task];
      },
    },
    isStoreDownForAll: () => false,
    onNoHeartbeats: () => {
      result.noHeartbeatsCalls++;
    },
    onTasksRequeued: () => {
      result.requeued++;
    },
    ...otherPorts,
    isStoreReachable: () => {
      if (++checksBegun >= checkCount) stop.abort();
      return ports.isStoreReachable?.() ?? true;
    },
  });
  await monitor.run();
  return result;
}

describe('a release by the health monitor', () => {
  test('removes the machine and its tasks from the block, and is logged with its reason', async () => {
    const { requests, removed, requeued, logEntries } = await runChecks(silentMachines(1), 1);
    assert.deepEqual([requests, removed, requeued], [[['m0']], ['m0'], 1]);
    const [failed = {}, { event, machine, type, reason, tasks } = {}] = logEntries;
    assert.deepEqual([event, machine, type, reason, tasks], ['machine-released', 'm0', 'c8', 'silent', 1]);
    const { hasSentHeartbeat, silentMs } = failed;
    assert.deepEqual(
      [failed['event'], failed['machine'], failed['reason'], hasSentHeartbeat, silentMs],
      ['machine-failed', 'm0', 'silent', true, 10],
    );
  });

  test('removes nothing from the block and is retried until the cloud has confirmed the termination', async () => {
    const { requests, removed, requeued } = await runChecks(silentMachines(1), 2, {
      isReleased: (request) => request === 2,
    });
    assert.deepEqual([requests, removed, requeued], [[['m0'], ['m0']], ['m0'], 1]);
  });

  test('names no more machines than the cloud accepts in one request', async () => {
    const { requests } = await runChecks(silentMachines(maxMachinesPerRelease + 1), 2);
    assert.deepEqual(
      requests.map(({ length }) => length),
      [maxMachinesPerRelease, 1],
    );
  });
});

describe('nothing is released', () => {
  test('if the store is unreachable', async () => {
    const { requests, noHeartbeatsCalls } = await runChecks(silentMachines(4), 3, {
      isStoreReachable: () => false,
    });
    assert.deepEqual([requests, noHeartbeatsCalls], [[], 0]);
  });

  test('if no machine sends heartbeats and the store has been reachable for more than two heartbeat intervals', async () => {
    let now = 0;
    const machines = silentMachines(4);
    const clock = (): number => now;
    const isStoreReachable = (): boolean => {
      now += settings.heartbeatIntervalMs * 3;
      return true;
    };
    const { requests, noHeartbeatsCalls } = await runChecks(machines, 1, { clock, isStoreReachable });
    assert.deepEqual([requests, noHeartbeatsCalls], [[], 1]);
  });
});

describe('a machine with a task of a job that was cancelled long ago', () => {
  const wallClock = (): number => 1_000_000;
  const cancelledAt = (at: number): OutcomeRecord => ({ outcome: 'cancelled', tasks: 1, endedAt: at });
  const withCancelledTasks = (machines: MachineState[]): MachineState[] => {
    for (const { id, tasks } of machines)
      tasks.set('req-1/0', {
        phase: 'placed',
        machine: id,
        job: { id: 'req-1', outcome: 'cancelled' },
      } as unknown as Task);
    return machines;
  };

  // Guards against machines that no controller releases: their owner receives no heartbeats, gives up its
  // blocks, and no other controller is there to take them over.
  test('is released although no machine sends heartbeats and the controller gives up its blocks', async () => {
    let now = 0;
    const { requests, noHeartbeatsCalls } = await runChecks(withCancelledTasks(silentMachines(4)), 1, {
      clock: () => now,
      wallClock,
      outcomeOf: () => cancelledAt(wallClock() - settings.cancelDeadlineMs),
      isStoreReachable: () => {
        now += settings.heartbeatIntervalMs * 3;
        return true;
      },
    });
    assert.deepEqual([requests, noHeartbeatsCalls], [[['m0', 'm1', 'm2', 'm3']], 1]);
  });

  // Guards against an owner that waits for the store although no other controller can own its machines.
  test('is released during an outage of the store for all controllers, but not if only this controller is refused', async () => {
    const machines = [...withCancelledTasks(silentMachines(1)), ...silentMachines(2).slice(1)];
    for (const isStoreDownForAll of [false, true]) {
      const { requests } = await runChecks(machines, 1, {
        wallClock,
        outcomeOf: () => cancelledAt(wallClock() - settings.cancelDeadlineMs),
        isStoreReachable: () => false,
        isStoreDownForAll: () => isStoreDownForAll,
      });
      assert.deepEqual(requests, isStoreDownForAll ? [['m0']] : []);
    }
  });

  // Guards against the release of machines at work: a peer lists a cancellation without its time, and the
  // machine counts as overdue until the store delivers the time.
  test('is kept for the silence limit while the time of the cancellation is read in vain', async () => {
    const silenceLimitMs = settings.heartbeatIntervalMs * defaultOperatorSettings.workers.missedHeartbeats;
    const checkedAt = [0, silenceLimitMs, silenceLimitMs + 1];
    const releasedAt: number[] = [];
    let now = 0;
    const [machine] = withCancelledTasks(silentMachines(1));
    assert.ok(machine);
    machine.hasSentHeartbeat = false;
    machine.lastHeartbeatAt = -settings.workerLeaseMs;
    await runChecks([machine], checkedAt.length, {
      clock: () => now,
      wallClock,
      outcomeOf: () => ({ outcome: 'cancelled', tasks: 0 }),
      isStoreReachable: () => {
        now = checkedAt.shift() ?? now;
        return true;
      },
      onTasksRequeued: () => void releasedAt.push(now),
    });
    assert.deepEqual(releasedAt, [silenceLimitMs + 1]);
  });

  // Guards against a restarted owner that knows that the job has ended, but never learns since when.
  test('is released after the outcome of the job, which the replica lacks, has been read', async () => {
    const outcomes = new Map<string, OutcomeRecord>();
    const reads: string[] = [];
    const [machine] = withCancelledTasks(silentMachines(1));
    assert.ok(machine);
    machine.hasSentHeartbeat = false;
    const { requests, logEntries } = await runChecks([machine], 3, {
      clock: () => 0,
      wallClock,
      outcomeOf: (job) => outcomes.get(job),
      readOutcome: (job) => {
        reads.push(job);
        if (reads.length > 1) outcomes.set(job, cancelledAt(0));
        return Promise.resolve();
      },
    });
    assert.deepEqual([reads, requests], [['req-1', 'req-1'], [['m0']]]);
    assert.equal(logEntries[0]?.['reason'], 'cancelled-task');
  });
});

// Guards against a controller that gives up a block although another controller has already leased the block.
// While the first controller was partitioned, another controller leased its block. After the partition, the
// first controller received no heartbeats, but its outdated replica of the store still showed it as the owner
// of the block. It must not conclude from this that it is partitioned from the workers.
test('missing heartbeats are attributed to the machines, not to a partition of the controller, until the store has been reachable for long enough', async () => {
  let now = 10;
  const reachable = [false, true];
  const { noHeartbeatsCalls, requests } = await runChecks(silentMachines(4), 2, {
    clock: () => now,
    isStoreReachable: () => {
      now += settings.heartbeatIntervalMs;
      return reachable.shift() ?? true;
    },
  });
  assert.equal(noHeartbeatsCalls, 0);
  assert.equal(requests.length, 1);
});
