import assert from 'node:assert/strict';
import { test } from 'node:test';

import { JobIndex } from '../placement/job-index.js';
import { jobSpec, leasedMachine, pool } from '../testing/pools.js';
import type { LeasedMachine } from '../wire/block-records.js';
import { jobRecord } from '../wire/job-records.js';
import { jobKey, ledgerKey } from '../wire/keys.js';
import { type LedgerEntry, ledgerPage } from '../wire/ledger-records.js';
import { FailureObserver, type PoolSample } from './failure-observer.js';
import type { Pool } from './pools.js';

const graceMs = 1000;

/** A job of four tasks in block 0 that came at time 0, and what is observed of it. */
class ObservedJob {
  private readonly observer = new FailureObserver(graceMs);
  private readonly jobIndex = new JobIndex(() => 0);
  private readonly machines = new Map<string, LeasedMachine>([['m1', leasedMachine('m1')]]);

  constructor(private readonly pools: Pool[]) {
    const taskRanges = [{ block: 0, first: 0, count: 4 }];
    this.apply(jobKey('req-1'), jobRecord({ spec: jobSpec('req-1'), taskRanges }));
  }

  /** What the ledger has of the job's tasks. */
  record(tasks: Pick<LedgerEntry, 'active' | 'waiting' | 'done'>): void {
    const resources = { cpus: 2, accelerators: 0, memoryGb: 2 };
    this.apply(ledgerKey(0, 0), ledgerPage([{ id: 'req-1', chunk: 0, team: 'red', ...resources, ...tasks }]));
  }

  observe(now: number): PoolSample[] {
    const pools = new Map(this.pools.map((one) => [one.key, one]));
    return this.observer.observe({ jobIndex: this.jobIndex, pools, machines: this.machines, now });
  }

  private apply(key: string, value: unknown): void {
    this.jobIndex.applyChanges([{ key, value, version: 1, deleted: false }]);
  }
}

test('tasks that wait when their job has been there for a while have failed, once', () => {
  const ordinary = pool({ machines: [leasedMachine('m1')] });
  const job = new ObservedJob([ordinary]);
  job.record({ active: [[0, 1, 'm1']], waiting: [], done: [] });
  assert.deepEqual(job.observe(graceMs - 1), []);
  const sample = { observedAt: graceMs, tasks: 4, failed: 3, machineNumber: 2 };
  assert.deepEqual(job.observe(graceMs), [{ pool: ordinary, sample }]);
  assert.deepEqual(job.observe(graceMs + 1), []);
});

test('a task that loses its machine later has failed, without counting as an arrival again', () => {
  const ordinary = pool();
  const job = new ObservedJob([ordinary]);
  job.record({ active: [[0, 1, 'm1']], waiting: [], done: [1, 3] });
  const arrival = { observedAt: graceMs, tasks: 4, failed: 0, machineNumber: 1 };
  assert.deepEqual(job.observe(graceMs), [{ pool: ordinary, sample: arrival }]);
  job.record({ active: [], waiting: [[0, 1]], done: [1, 3] });
  const displaced = { observedAt: 5000, tasks: 0, failed: 1, machineNumber: 1 };
  assert.deepEqual(job.observe(5000), [{ pool: ordinary, sample: displaced }]);
  assert.deepEqual(job.observe(6000), []);
});

test('waiting for what the cloud refuses is no failure', () => {
  const refused = pool({ exhausted: true });
  const job = new ObservedJob([refused]);
  const sample = { observedAt: graceMs, tasks: 4, failed: 0, machineNumber: 1 };
  assert.deepEqual(job.observe(graceMs), [{ pool: refused, sample }]);
});

test('a job whose tasks all started counts for the pool that they run in', () => {
  const cheaper = pool({ key: 'c8/cheaper' });
  const used = pool();
  const job = new ObservedJob([cheaper, used]);
  job.record({ active: [[0, 1, 'm1']], waiting: [], done: [1, 3] });
  assert.equal(job.observe(graceMs)[0]?.pool, used);
});
