import assert from 'node:assert/strict';
import { test } from 'node:test';

import { valueBytes } from '../testing/block-fixture.js';
import { jobSpec } from '../testing/job-specs.js';
import { createJobState, placeAll } from '../testing/job-states.js';
import { jsonSizeBytes } from '../wire/codec.js';
import { ledgerPage } from '../wire/ledger-records.js';
import { Ledger } from './ledger.js';
import { snapshotPage } from './page-snapshot.js';

// If a page exceeded the maximum size of a value, the store would reject every commit of the page, and the
// owner of the block could no longer write its ledger.
test('each page of the ledger fits into one value of the store, however many tasks the block runs', () => {
  const ledger = new Ledger(valueBytes);
  for (let i = 0; i < 40; i++)
    placeAll(createJobState(jobSpec(`req-${100_000 + i}`, { tasks: 1 + i * 8 }), ledger), 'vm-000001');
  placeAll(createJobState(jobSpec('req-200000', { tasks: 3000 }), ledger), 'vm-000002');
  let tasks = 0;
  for (const page of ledger.pages.values()) {
    const { entries, placing } = snapshotPage(page, Infinity, () =>
      assert.fail('no task should be unassigned'),
    );
    tasks += placing.length;
    const bytes = jsonSizeBytes(ledgerPage(entries));
    assert.ok(bytes <= valueBytes, `${bytes} bytes`);
  }
  assert.equal(tasks, 40 + (8 * 39 * 40) / 2 + 3000);
});

test('one commit of a page places tasks of no more than the given maximum number of jobs', () => {
  const ledger = new Ledger(valueBytes);
  const jobs = ['req-1', 'req-2', 'req-3'].map((id) => createJobState(jobSpec(id, { tasks: 2 }), ledger));
  for (const job of jobs) placeAll(job, 'vm-1');
  const page = ledger.page(0);
  const snapshot = snapshotPage(page, 2, (task) => task.job.unassignTask(task, 0));
  assert.deepEqual([...new Set(snapshot.placing.map((task) => task.job.id))], ['req-1', 'req-2']);
  // The tasks of req-3 were unassigned, so their entry records them as waiting after the first attempt. The
  // next commit can place them.
  assert.deepEqual(snapshot.entries[2]?.active, []);
  assert.equal(jobs[2]?.waitingCount, 2);
});

// The space reserved for a compact entry is sufficient only if its tasks are on no machine, because tasks on
// machines need more space. If all tasks were placed anyway, the page would become too large and the store
// would reject it permanently.
test('a commit of a page with compact entries places only as many tasks as fit, and the next commit places more after tasks are done', () => {
  const ledger = new Ledger(600);
  const layout = { chunkTasks: 20, isLegacy: false };
  const [firstJob, secondJob] = [
    createJobState(jobSpec('req-1', { tasks: 20 }), ledger, layout),
    createJobState(jobSpec('req-2', { tasks: 20 }), ledger, layout),
  ];
  for (const [i, job] of [firstJob, secondJob].entries()) {
    // Every task is on a machine with a different name, and these names cannot be shortened to numbers.
    for (let task = job.nextWaitingTask(); task; task = job.nextWaitingTask())
      job.placeTask(task, `machine-${i}-${task.index}-x`, 0);
  }
  assert.equal(ledger.pages.size, 1);
  const page = ledger.page(0);
  const firstSnapshot = snapshotPage(page, 9, (task) => task.job.unassignTask(task, 0), ledger.pageBytes);
  assert.deepEqual([...new Set(firstSnapshot.placing.map((task) => task.job.id))], ['req-1']);
  assert.ok(jsonSizeBytes(ledgerPage(firstSnapshot.entries)) <= 600);
  assert.equal(secondJob.waitingCount, 20);
  for (const task of firstSnapshot.placing) task.phase = 'placed';
  for (let i = 0; i < 20; i++) firstJob.finishTask(i, 0);
  placeAll(secondJob, 'm-1');
  const secondSnapshot = snapshotPage(
    page,
    9,
    () => assert.fail('no task should be unassigned: the page has enough space'),
    ledger.pageBytes,
  );
  assert.equal(secondSnapshot.placing.length, 20);
});

test('unchanged entries are not rebuilt for the next commit, and an ended job is removed from its page', () => {
  const ledger = new Ledger(valueBytes);
  const [firstJob, secondJob] = [
    createJobState(jobSpec('req-1', { tasks: 2 }), ledger),
    createJobState(jobSpec('req-2', { tasks: 2 }), ledger),
  ];
  for (const job of [firstJob, secondJob]) placeAll(job, 'vm-1');
  const page = ledger.page(0);
  const before = snapshotPage(page, 9, () => undefined);
  for (const task of before.placing) task.phase = 'placed';
  secondJob.finishTask(0, 5);
  const after = snapshotPage(page, 9, () => undefined);
  assert.equal(after.entries[0], before.entries[0]);
  assert.deepEqual(after.entries[1]?.done, [0, 0]);
  assert.deepEqual(
    after.done.map(({ job, indices }) => [job.id, indices]),
    [['req-2', [0]]],
  );
  firstJob.recorder.remove(6);
  assert.deepEqual(
    snapshotPage(page, 9, () => undefined).entries.map((entry) => entry.id),
    ['req-2'],
  );
});
