import assert from 'node:assert/strict';
import { test } from 'node:test';

import { silentLog } from '../base/log.js';
import { defaultOperatorSettings } from '../settings/operator.js';
import type { CommitOutcome } from '../store/transactions.js';
import { pool } from '../testing/pools.js';
import { testSettings } from '../testing/settings.js';
import { ladderKey, type StoredValue } from '../wire/keys.js';
import { ladderRecord } from '../wire/ladder-records.js';
import type { Condition, Write } from '../wire/state.js';
import { PoolLadders } from './pool-ladders.js';

interface Commit {
  conditions: Condition[];
  writes: Write[];
}

/**
 * Creates the ladders of a leader with fencing token 7 and default settings: tuning period of 30 s, target
 * failure ratio of 0.01.
 */
function setUp(stored: [string, StoredValue][] = []): { ladders: PoolLadders; commits: Commit[] } {
  const values = new Map(stored);
  const commits: Commit[] = [];
  const ladders = new PoolLadders({
    clock: () => 0,
    log: silentLog,
    operator: defaultOperatorSettings,
    replica: { get: (key) => values.get(key) },
    commits: {
      commit: (conditions, writes) => {
        commits.push({ conditions, writes });
        return Promise.resolve<CommitOutcome>({ kind: 'unknown' });
      },
    },
    term: { fencingToken: 7 },
    settings: testSettings(),
  });
  return { ladders, commits };
}

test('the ladder of each pool is created with the thresholds that the previous leader saved for this pool', () => {
  const { ladders } = setUp([[ladderKey('c8/ordinary'), { value: ladderRecord([[3, 9]]), version: 4 }]]);
  const thresholds = (ladder: { threshold: (machineNumber: number) => number }): number[] =>
    [2, 3].map((machineNumber) => ladder.threshold(machineNumber));
  assert.deepEqual(thresholds(ladders.ladderOf(pool())), [6, 9]);
  assert.deepEqual(thresholds(ladders.ladderOf(pool({ key: 'c8/spot', spot: true }))), [7, 15]);
});

test('a threshold is moved once per period and saved on condition that no other leader has been elected', async () => {
  const { ladders, commits } = setUp();
  const sampledPool = pool();
  ladders.addSample({
    pool: sampledPool,
    sample: { observedAt: 0, tasks: 10, failed: 1, machineNumber: 2 },
  });
  await ladders.tune([sampledPool, pool({ key: 'c8/spot', spot: true })], 29_999);
  assert.equal(commits.length, 0);
  await ladders.tune([sampledPool, pool({ key: 'c8/spot', spot: true })], 30_000);
  assert.deepEqual(commits, [
    {
      conditions: [{ key: 'lead', version: 7 }],
      writes: [{ put: 'ladder/c8/ordinary', value: { moved: [[2, 5]] } }],
    },
  ]);
  await ladders.tune([sampledPool], 59_999);
  assert.equal(commits.length, 1);
  await ladders.tune([sampledPool], 60_000);
  assert.deepEqual(commits[1]?.writes, [{ put: 'ladder/c8/ordinary', value: { moved: [[2, 4]] } }]);
});
