import assert from 'node:assert/strict';
import { test } from 'node:test';

import { silentLog } from '../base/log.js';
import { JobIndex } from '../placement/job-index.js';
import { QueueOrder } from '../placement/queue-order.js';
import { leasedMachine, ownedBlock } from '../testing/block-records.js';
import { machineType } from '../testing/cloud-standin.js';
import { InMemoryStore } from '../testing/in-memory-store.js';
import { jobSpec } from '../testing/job-specs.js';
import { loadReplica } from '../testing/load-replica.js';
import { testSettings } from '../testing/settings.js';
import { blockRecord } from '../wire/block-records.js';
import { parseMachineTypes } from '../wire/cloud.js';
import { jobRecord, parseJobRecord, type TaskRange } from '../wire/job-records.js';
import { aliveKey, blockKey, jobKey } from '../wire/keys.js';
import type { Write } from '../wire/state.js';
import { BlockRegistry } from './block-registry.js';
import { DispatchWriter } from './dispatch-writer.js';
import { Rebalancer } from './rebalancer.js';

const settings = testSettings();
const interval = settings.heartbeatIntervalMs;
const alive = { boot: 'b', zone: 'a' };

/**
 * Creates two blocks with four slots each, and one job with `tasks` tasks that all wait in the first block.
 * `run` runs one round of recalls at `nowMs`. It returns the task ranges that the round has written for the
 * job, or undefined if the round has written nothing.
 */
async function createFixture(
  tasks: number,
): Promise<{ run: (nowMs: number) => Promise<TaskRange[] | undefined> }> {
  const store = new InMemoryStore();
  const spec = jobSpec('req-1', { tasks });
  const taskRanges = [{ block: 0, first: 0, count: tasks }];
  await store.commit(
    'duty',
    [],
    [
      { put: aliveKey('k0'), value: alive },
      { put: aliveKey('k1'), value: alive },
      { put: blockKey(0), value: blockRecord(ownedBlock('k0', leasedMachine('m1'))) },
      { put: blockKey(1), value: blockRecord(ownedBlock('k1', leasedMachine('m2'))) },
      { put: jobKey('req-1'), value: jobRecord({ spec, taskRanges }) },
    ],
  );
  const replica = await loadReplica(store);
  const jobIndex = new JobIndex(() => 0);
  jobIndex.load(replica);
  const written: Write[] = [];
  const commit = (_conditions: unknown, writes: Write[]): Promise<{ kind: 'applied'; revision: number }> => {
    written.push(...writes);
    return Promise.resolve({ kind: 'applied', revision: 9 });
  };
  let now = 0;
  const rebalancer = new Rebalancer({
    clock: () => now,
    wallClock: () => now,
    settings,
    jobIndex,
    order: new QueueOrder([]),
    registry: new BlockRegistry(replica),
    machineTypes: () => new Map(parseMachineTypes({ hulls: [machineType] }).map((type) => [type.name, type])),
    isBooted: () => true,
    writer: new DispatchWriter({ log: silentLog, settings, commits: { commit }, term: { fencingToken: 1 } }),
  });
  const run = async (nowMs: number): Promise<TaskRange[] | undefined> => {
    now = nowMs;
    await rebalancer.run();
    const write = written.pop();
    return write && 'put' in write ? parseJobRecord(write.value)?.taskRanges : undefined;
  };
  return { run };
}

test('tasks without a slot in their block are recalled if another block has had free slots for four heartbeat intervals', async () => {
  const { run } = await createFixture(6);
  assert.equal(await run(0), undefined);
  assert.equal(await run(interval * 4 - 1), undefined);
  // This call does nothing, because the previous round was less than a heartbeat interval ago.
  assert.equal(await run(interval * 4), undefined);
  assert.deepEqual(await run(interval * 5 - 1), [{ block: 0, first: 0, count: 4 }]);
});

test('tasks with a slot in their block are not recalled, and no more tasks are recalled than fit into the free slots of other blocks', async () => {
  const fitting = await createFixture(4);
  assert.equal(await fitting.run(0), undefined);
  assert.equal(await fitting.run(interval * 4), undefined);
  const overfull = await createFixture(12);
  assert.equal(await overfull.run(0), undefined);
  assert.deepEqual(await overfull.run(interval * 4), [{ block: 0, first: 0, count: 8 }]);
});
