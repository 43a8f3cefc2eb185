import assert from 'node:assert/strict';
import { describe, test } from 'node:test';

import { InMemoryStore } from '../testing/in-memory-store.js';
import { jobSpec } from '../testing/job-specs.js';
import { loadReplica } from '../testing/load-replica.js';
import { testSettings } from '../testing/settings.js';
import { jsonSizeBytes } from '../wire/codec.js';
import { jobRecord } from '../wire/job-records.js';
import { jobKey, ledgerKey } from '../wire/keys.js';
import { ledgerPage } from '../wire/ledger-records.js';
import { BlockState } from './block-state.js';
import { JobIndex } from './job-index.js';
import { type LedgerLayout, ledgerLayout } from './ledger-layout.js';
import { snapshotPage } from './page-snapshot.js';

const id = 'req-000398';
const tasks = 300;
const settings = testSettings((file) => {
  const { state } = file['settings'] as { state: Record<string, unknown> };
  state['next'] = { value_kb: 1, txn_ops: 6 };
});
const compactLayout = ledgerLayout(settings, true);

/**
 * A page as version 67f789d writes it. It has two chunks of 288 tasks, and its entries do not contain the
 * number of tasks per chunk.
 */
const legacyPage = [
  [
    ...[id, 0, 'red', 2, 0, 2],
    ...[Array.from({ length: 100 }, (_, i) => [150 + i, 1, `vm-${100 + (i % 12)}`]), [[140, 2]], [0, 139]],
  ],
  [...[id, 1, 'red', 2, 0, 2], ...[[[290, 3, 'vm-100']], [[291, 1]], [288, 289, 299, 299]]],
];

async function storeWithLegacyPage(): Promise<InMemoryStore> {
  const store = new InMemoryStore();
  const spec = jobSpec(id, { tasks });
  await store.commit(
    'duty',
    [],
    [
      { put: jobKey(id), value: jobRecord({ spec, taskRanges: [{ block: 0, first: 0, count: tasks }] }) },
      { put: ledgerKey(0, 0), value: legacyPage },
    ],
  );
  return store;
}

async function loadBlockState(store: InMemoryStore, layout: LedgerLayout): Promise<BlockState> {
  const blockState = new BlockState({
    block: 0,
    layout,
    heartbeatIntervalMs: 1000,
    clock: () => 0,
    teams: settings.teams,
  });
  blockState.load(await loadReplica(store));
  return blockState;
}

/** Returns the state of all tasks of the job in a form that can be compared. */
function jobContentOf(blockState: BlockState): unknown {
  const job = blockState.jobs.get(id);
  const startedTasks = [...(job?.tasks.values() ?? [])].filter((task) => task.attempt > 0);
  return {
    done: Array.from({ length: tasks }, (_, i) => i).filter((i) => job?.isDoneCommitted(i)),
    tasks: startedTasks.map((t) => `${t.index}.${t.attempt} ${t.phase} ${t.machine}`).sort(),
    active: job?.activeCount,
  };
}

async function loadIndexedProgress(
  store: InMemoryStore,
): Promise<{ done: number; active: number; machines: number }> {
  const jobIndex = new JobIndex(() => 0);
  jobIndex.load(await loadReplica(store));
  return { ...jobIndex.progress(id), machines: [...jobIndex.activeTasks()].length };
}

describe('a ledger written by an earlier version', () => {
  test('keeps its layout if some controller cannot read the new layout, or if the settings announce no smaller value limit', () => {
    assert.equal(ledgerLayout(settings, false).isLegacy, true);
    assert.equal(ledgerLayout(testSettings(), true).isLegacy, true);
    assert.equal(compactLayout.isLegacy, false);
    assert.ok(compactLayout.pageBytes <= 1024);
  });

  // During the conversion to a new layout, the stored ledger contains entries of two chunk sizes. The owner
  // of the block can stop between any two commits, and the next owner then loads this ledger. If some tasks
  // were missing from it, the next owner would start them again.
  test('is converted to the new layout page by page and describes the same tasks after every commit', async () => {
    const store = await storeWithLegacyPage();
    const before = jobContentOf(await loadBlockState(store, ledgerLayout(settings, false)));
    const blockState = await loadBlockState(store, compactLayout);
    assert.deepEqual(jobContentOf(blockState), before);
    const { ledger } = blockState;
    assert.deepEqual([...ledger.retiredPages.keys()], [0]);
    let pageWrites = 0;
    for (const page of ledger.pages.values()) {
      const snapshot = snapshotPage(page, Infinity, () => assert.fail('no task should be unassigned'));
      const value = ledgerPage(snapshot.entries);
      assert.ok(jsonSizeBytes(value) <= 1024, `${jsonSizeBytes(value)} bytes`);
      assert.equal(ledger.deletableRetiredPages().length, 0);
      await store.commit('duty', [], [{ put: ledgerKey(0, page.index), value }]);
      ledger.markWritten(snapshot.chunks);
      pageWrites++;
      assert.deepEqual(jobContentOf(await loadBlockState(store, compactLayout)), before);
      assert.deepEqual(await loadIndexedProgress(store), { done: 143, active: 101, machines: 101 });
    }
    assert.ok(pageWrites >= 5);
    assert.deepEqual(
      ledger.deletableRetiredPages().map(({ index }) => index),
      [0],
    );
    await store.commit('duty', [], [{ drop: ledgerKey(0, 0) }]);
    const loadedAfterDeletion = await loadBlockState(store, compactLayout);
    assert.deepEqual(jobContentOf(loadedAfterDeletion), before);
    assert.equal(loadedAfterDeletion.ledger.retiredPages.size, 0);
    assert.deepEqual(await loadIndexedProgress(store), { done: 143, active: 101, machines: 101 });
  });

  test('is superseded by entries with a smaller chunk size, even if these entries record less progress', async () => {
    const store = await storeWithLegacyPage();
    const blockState = await loadBlockState(store, compactLayout);
    const job = blockState.jobs.get(id);
    // The machine of task 150 is terminated before any page is written in the new layout.
    for (const task of blockState.removeTerminated('vm-100')) assert.equal(task.phase, 'waiting');
    assert.equal(job?.activeCount, 91);
    for (const page of [...blockState.ledger.pages.values()].slice(0, 4)) {
      const value = ledgerPage(snapshotPage(page, Infinity, () => undefined).entries);
      await store.commit('duty', [], [{ put: ledgerKey(0, page.index), value }]);
    }
    const reloaded = await loadBlockState(store, compactLayout);
    assert.equal(reloaded.jobs.get(id)?.tasks.get(150)?.phase, 'waiting');
  });

  test('keeps its chunk size if its entries cover fewer tasks than the layout from the settings requires', async () => {
    const store = await storeWithLegacyPage();
    const value = [[id, 0, 'red', 2, 0, 2, [3, 1], [], [], [0, 2], 10, ['vm-', 1]]];
    await store.commit('duty', [], [{ put: ledgerKey(0, 0), value }]);
    const blockState = await loadBlockState(store, ledgerLayout(settings, false));
    assert.equal(blockState.ledger.retiredPages.size, 0);
    const [chunk] = blockState.ledger.page(0).chunks;
    assert.deepEqual(chunk?.builder.buildEntry(0).entry.chunkTasks, 10);
  });
});
