import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { IndexedJob } from '../placement/job-index.js';
import { QueueOrder } from '../placement/queue-order.js';
import { ownedBlock } from '../testing/block-records.js';
import { jobSpec } from '../testing/job-specs.js';
import { testSettings } from '../testing/settings.js';
import type { BlockRecord } from '../wire/block-records.js';
import { QuotaShareAllocator } from './quota-share-allocator.js';

const quotaSharePeriodMs = 1000;
const unlimited = { cpus: 0, cpusMax: 0, accelerators: 0, acceleratorsMax: 0 };

/**
 * Creates an allocator for the team `red` and two blocks. `shares` returns the new CPU share of the team in
 * each block if `waiting` tasks of 2 CPUs each wait in the first block.
 */
function createFixture(cpusMax: number): {
  shares: (nowMs: number, blocks: Map<number, BlockRecord>, waiting: number) => (number | undefined)[];
} {
  let now = 0;
  let waiting = 0;
  const job: IndexedJob = {
    id: 'req-1',
    version: 1,
    readySeenAt: 0,
    taskRanges: [],
    spec: jobSpec('req-1', { tasks: 9 }),
  };
  const allocator = new QuotaShareAllocator({
    clock: () => now,
    wallClock: () => now,
    settings: {
      ...testSettings(),
      controllers: 2,
      teams: new Map([['red', { name: 'red', ...unlimited, cpusMax }]]),
    },
    jobIndex: {
      activeTasks: () => [],
      inQueueOrder: () => [job],
      waitingByBlock: () => [{ block: 0, count: waiting }],
    },
    order: new QueueOrder([]),
    quotaSharePeriodMs,
  });
  const shares = (
    nowMs: number,
    blocks: Map<number, BlockRecord>,
    waitingTasks: number,
  ): (number | undefined)[] => {
    now = nowMs;
    waiting = waitingTasks;
    const next = allocator.nextShares(blocks);
    return [0, 1].map((block) => next.get(block)?.['red']?.[0]);
  };
  return { shares };
}

function blocksWith(first: number, second: number): Map<number, BlockRecord> {
  const blockWith = (owner: string, cpus: number): BlockRecord => {
    return { ...ownedBlock(owner), quotaShares: { red: [cpus, 0] } };
  };
  return new Map([
    [0, blockWith('k0', first)],
    [1, blockWith('k1', second)],
  ]);
}

test('a team without a limit gets no quota shares', () => {
  assert.deepEqual(createFixture(0).shares(0, blocksWith(1, 1), 1), [undefined, undefined]);
});

test('shares are kept for a period, but reallocated earlier if waiting tasks exceed the share of their block', () => {
  const { shares } = createFixture(12);
  assert.deepEqual(shares(0, new Map(), 0), [6, 6]);
  assert.deepEqual(shares(quotaSharePeriodMs - 1, blocksWith(4, 4), 1), [4, 4]);
  assert.deepEqual(shares(quotaSharePeriodMs, blocksWith(4, 4), 1), [7, 5]);
  // The share of the first block is one CPU, which is too small for the waiting task of two CPUs. The share
  // of the second block is cut first, so that the share of the first block can grow in a later round.
  assert.deepEqual(shares(quotaSharePeriodMs + 1, blocksWith(1, 11), 1), [1, 5]);
});
