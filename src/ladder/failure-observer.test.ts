import assert from 'node:assert/strict';
import { test } from 'node:test';

import { JobIndex } from '../placement/job-index.js';
import { jobSpec } from '../testing/job-specs.js';
import { leasedMachine, pool } from '../testing/pools.js';
import type { LeasedMachine } from '../wire/block-records.js';
import { jobRecord } from '../wire/job-records.js';
import { jobKey, ledgerKey } from '../wire/keys.js';
import { type LedgerEntry, ledgerPage } from '../wire/ledger-records.js';
import { FailureObserver, type PoolSample } from './failure-observer.js';
import type { Pool } from './pools.js';

const graceMs = 1000;

/**
 * A job with four tasks in block 0 that was first seen at time 0, and a failure observer that samples the
 * job.
 */
class ObservedJob {
  private readonly observer = new FailureObserver(graceMs);
  private readonly jobIndex = new JobIndex(() => 0);
  private readonly machines = new Map<string, LeasedMachine>([['m1', leasedMachine('m1')]]);

  constructor(private readonly pools: Pool[]) {
    const taskRanges = [{ block: 0, first: 0, count: 4 }];
    this.apply(jobKey('req-1'), jobRecord({ spec: jobSpec('req-1'), taskRanges }));
  }

  /** Replaces the ledger entry of the job. */
  setLedgerEntry(tasks: Pick<LedgerEntry, 'active' | 'waiting' | 'done'>): void {
    const resources = { cpus: 2, accelerators: 0, memoryGb: 2 };
    this.apply(ledgerKey(0, 0), ledgerPage([{ id: 'req-1', chunk: 0, team: 'red', ...resources, ...tasks }]));
  }

  observe(now: number): PoolSample[] {
    const pools = new Map(this.pools.map((each) => [each.key, each]));
    return this.observer.observe({ jobIndex: this.jobIndex, pools, machines: this.machines, now });
  }

  private apply(key: string, value: unknown): void {
    this.jobIndex.applyChanges([{ key, value, version: 1, deleted: false }]);
  }
}

test('tasks that still wait at the end of the grace period of their job are counted as failed once', () => {
  const ordinary = pool({ machines: [leasedMachine('m1')] });
  const job = new ObservedJob([ordinary]);
  job.setLedgerEntry({ active: [[0, 1, 'm1']], waiting: [], done: [] });
  assert.deepEqual(job.observe(graceMs - 1), []);
  const sample = { observedAt: graceMs, tasks: 4, failed: 3, machineNumber: 2 };
  assert.deepEqual(job.observe(graceMs), [{ pool: ordinary, sample }]);
  assert.deepEqual(job.observe(graceMs + 1), []);
});

test('a task that is displaced from its machine later is counted as failed, but not as another arrival', () => {
  const ordinary = pool();
  const job = new ObservedJob([ordinary]);
  job.setLedgerEntry({ active: [[0, 1, 'm1']], waiting: [], done: [1, 3] });
  const arrival = { observedAt: graceMs, tasks: 4, failed: 0, machineNumber: 1 };
  assert.deepEqual(job.observe(graceMs), [{ pool: ordinary, sample: arrival }]);
  job.setLedgerEntry({ active: [], waiting: [[0, 1]], done: [1, 3] });
  const displaced = { observedAt: 5000, tasks: 0, failed: 1, machineNumber: 1 };
  assert.deepEqual(job.observe(5000), [{ pool: ordinary, sample: displaced }]);
  assert.deepEqual(job.observe(6000), []);
});

test('tasks that wait for machines that the cloud refuses are not counted as failed', () => {
  const exhaustedPool = pool({ exhausted: true });
  const job = new ObservedJob([exhaustedPool]);
  const sample = { observedAt: graceMs, tasks: 4, failed: 0, machineNumber: 1 };
  assert.deepEqual(job.observe(graceMs), [{ pool: exhaustedPool, sample }]);
});

test('the sample of a job without waiting tasks is assigned to the pool that runs its tasks', () => {
  const cheaperPool = pool({ key: 'c8/cheaper' });
  const usedPool = pool();
  const job = new ObservedJob([cheaperPool, usedPool]);
  job.setLedgerEntry({ active: [[0, 1, 'm1']], waiting: [], done: [1, 3] });
  assert.equal(job.observe(graceMs)[0]?.pool, usedPool);
});
