import assert from 'node:assert/strict';
import { describe, test } from 'node:test';

import { jobSpec } from '../testing/block-stage.js';
import { HeldStore } from '../testing/held-store.js';
import { testSettings } from '../testing/settings.js';
import { mirrorOf } from '../testing/stored-mirror.js';
import { sizeOf } from '../wire/codec.js';
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
const small = ledgerLayout(settings, true);

/** As version 67f789d writes it: two chunks of 288 tasks on one page, without their size. */
const keptPage = [
  [
    ...[id, 0, 'red', 2, 0, 2],
    ...[Array.from({ length: 100 }, (_, i) => [150 + i, 1, `vm-${100 + (i % 12)}`]), [[140, 2]], [0, 139]],
  ],
  [...[id, 1, 'red', 2, 0, 2], ...[[[290, 3, 'vm-100']], [[291, 1]], [288, 289, 299, 299]]],
];

async function storeWithKeptPage(): Promise<HeldStore> {
  const store = new HeldStore();
  const spec = jobSpec(id, tasks);
  await store.commit(
    'duty',
    [],
    [
      { put: jobKey(id), value: jobRecord({ spec, taskRanges: [{ block: 0, first: 0, count: tasks }] }) },
      { put: ledgerKey(0, 0), value: keptPage },
    ],
  );
  return store;
}

async function blockStateOf(store: HeldStore, layout: LedgerLayout): Promise<BlockState> {
  const blockState = new BlockState({
    block: 0,
    layout,
    heartbeatIntervalMs: 1000,
    clock: () => 0,
    teams: settings.teams,
  });
  blockState.load(await mirrorOf(store));
  return blockState;
}

/** All that a block's state says of the job's tasks. */
function contentOf(blockState: BlockState): unknown {
  const job = blockState.jobs.get(id);
  const known = [...(job?.tasks.values() ?? [])].filter((task) => task.attempt > 0);
  return {
    done: Array.from({ length: tasks }, (_, i) => i).filter((i) => job?.isDoneCommitted(i)),
    tasks: known.map((t) => `${t.index}.${t.attempt} ${t.phase} ${t.machine}`).sort(),
    active: job?.activeCount,
  };
}

async function indexOf(store: HeldStore): Promise<{ done: number; active: number; machines: number }> {
  const jobIndex = new JobIndex(() => 0);
  jobIndex.load(await mirrorOf(store));
  return { ...jobIndex.progress(id), machines: [...jobIndex.activeTasks()].length };
}

describe('a ledger that an earlier version has written', () => {
  test('keeps its layout until every controller reads the new one, and where no smaller value is to come', () => {
    assert.equal(ledgerLayout(settings, false).isLegacy, true);
    assert.equal(ledgerLayout(testSettings(), true).isLegacy, true);
    assert.equal(small.isLegacy, false);
    assert.ok(small.pageBytes <= 1024);
  });

  // Guards against tasks that vanish from the record, and start once more, because two sizes of entries meet: whoever is
  // ended between any two commits leaves a ledger that says the same as before.
  test('is laid out anew page by page, and says the same after every commit on the way', async () => {
    const store = await storeWithKeptPage();
    const before = contentOf(await blockStateOf(store, ledgerLayout(settings, false)));
    const blockState = await blockStateOf(store, small);
    assert.deepEqual(contentOf(blockState), before);
    const { ledger } = blockState;
    assert.deepEqual([...ledger.retiredPages.keys()], [0]);
    let writes = 0;
    for (const page of ledger.pages.values()) {
      const shot = snapshotPage(page, Infinity, () => assert.fail('nothing is taken off'));
      const value = ledgerPage(shot.entries);
      assert.ok(sizeOf(value) <= 1024, `${sizeOf(value)} bytes`);
      assert.equal(ledger.removablePages().length, 0);
      await store.commit('duty', [], [{ put: ledgerKey(0, page.index), value }]);
      ledger.markWritten(shot.chunks);
      writes++;
      assert.deepEqual(contentOf(await blockStateOf(store, small)), before);
      assert.deepEqual(await indexOf(store), { done: 143, active: 101, machines: 101 });
    }
    assert.ok(writes >= 5);
    assert.deepEqual(
      ledger.removablePages().map(({ index }) => index),
      [0],
    );
    await store.commit('duty', [], [{ drop: ledgerKey(0, 0) }]);
    const after = await blockStateOf(store, small);
    assert.deepEqual(contentOf(after), before);
    assert.equal(after.ledger.retiredPages.size, 0);
    assert.deepEqual(await indexOf(store), { done: 143, active: 101, machines: 101 });
  });

  test('counts for less than a smaller entry, also where that says that less has been done', async () => {
    const store = await storeWithKeptPage();
    const blockState = await blockStateOf(store, small);
    const job = blockState.jobs.get(id);
    // The machine of task 150 is gone before anything is laid out anew.
    for (const task of blockState.removeTerminated('vm-100')) assert.equal(task.phase, 'waiting');
    assert.equal(job?.activeCount, 91);
    for (const page of [...blockState.ledger.pages.values()].slice(0, 4)) {
      const value = ledgerPage(snapshotPage(page, Infinity, () => undefined).entries);
      await store.commit('duty', [], [{ put: ledgerKey(0, page.index), value }]);
    }
    const next = await blockStateOf(store, small);
    assert.equal(next.jobs.get(id)?.tasks.get(150)?.phase, 'waiting');
  });

  test('whose entries are smaller than those of the settings keeps them small', async () => {
    const store = await storeWithKeptPage();
    const value = [[id, 0, 'red', 2, 0, 2, [3, 1], [], [], [0, 2], 10, ['vm-', 1]]];
    await store.commit('duty', [], [{ put: ledgerKey(0, 0), value }]);
    const blockState = await blockStateOf(store, ledgerLayout(settings, false));
    assert.equal(blockState.ledger.retiredPages.size, 0);
    const [chunk] = blockState.ledger.page(0).chunks;
    assert.deepEqual(chunk?.builder.buildEntry(0).entry.chunkTasks, 10);
  });
});
