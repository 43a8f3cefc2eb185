import assert from 'node:assert/strict';
import { test } from 'node:test';

import { createLog } from '../base/log.js';
import { UsageLog } from './usage-log.js';

test('store changes, heap memory, queue lengths and answered heartbeats are logged once per period', () => {
  const lines: Record<string, unknown>[] = [];
  const log = createLog('k0', 'info', {
    write: (line) => void lines.push(JSON.parse(line) as Record<string, unknown>),
  });
  let now = 0;
  const usageLog = new UsageLog({
    clock: () => now,
    log,
    store: { takeChangeCounts: () => ({ changes: { run: 3 }, refused: 1, conflicts: 2 }) },
    queueLengths: () => ({ duty: 4 }),
    openJobs: () => 5,
    takeHeartbeatCounts: () => ({ results: { stale: 2 }, stopped: 1, refused: 0, unlogged: 0 }),
    periodMs: 30_000,
  });
  usageLog.logIfDue();
  now = 29_999;
  usageLog.logIfDue();
  assert.deepEqual(
    lines.map(({ event }) => event),
    ['load', 'store', 'heartbeats', 'load'],
  );
  const [load, store, heartbeats] = lines;
  assert.deepEqual([store?.['changes'], store?.['refused'], store?.['conflicts']], [{ run: 3 }, 1, 2]);
  assert.deepEqual([load?.['queued'], load?.['open'], typeof load?.['heapMb']], [{ duty: 4 }, 5, 'number']);
  assert.deepEqual([heartbeats?.['results'], heartbeats?.['stopped']], [{ stale: 2 }, 1]);
  for (const field of ['heapMb', 'heapPeakMb', 'memoryMb', 'memoryPeakMb']) {
    assert.ok(Number(load?.[field]) > 0, field);
  }
  now = 30_000;
  usageLog.logIfDue();
  assert.deepEqual(
    lines.slice(4).map(({ event }) => event),
    ['load', 'store', 'heartbeats'],
  );
});

test('a process that ends soon after its start has logged its memory', () => {
  const loadTimes: number[] = [];
  let now = 0;
  const log = createLog('k0', 'info', {
    write: (line) => {
      if (line.includes('"load"')) loadTimes.push(now);
    },
  });
  const usageLog = new UsageLog({
    clock: () => now,
    log,
    store: { takeChangeCounts: () => ({ changes: {}, refused: 0, conflicts: 0 }) },
    queueLengths: () => ({}),
    openJobs: () => 0,
    takeHeartbeatCounts: () => ({ results: {}, stopped: 0, refused: 0, unlogged: 0 }),
    periodMs: 10_000,
  });
  for (now = 0; now <= 30_000; now += 500) usageLog.logIfDue();
  assert.deepEqual(loadTimes, [0, 1000, 3000, 7000, 10_000, 20_000, 30_000]);
});
