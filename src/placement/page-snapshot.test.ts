import assert from 'node:assert/strict';
import { test } from 'node:test';

import { jobSpec, valueBytes } from '../testing/block-stage.js';
import { createJobState, placeAll } from '../testing/job-states.js';
import { sizeOf } from '../wire/codec.js';
import { ledgerPage } from '../wire/ledger-records.js';
import { Ledger } from './ledger.js';
import { snapshotPage } from './page-snapshot.js';

// Guards against a duty that can never write again because its record has outgrown a value.
test('however much a block runs, each page of its ledger is a value of the store', () => {
  const ledger = new Ledger(valueBytes);
  for (let i = 0; i < 40; i++)
    placeAll(createJobState(jobSpec(`req-${100_000 + i}`, 1 + i * 8), ledger), 'vm-000001');
  placeAll(createJobState(jobSpec('req-200000', 3000), ledger), 'vm-000002');
  let tasks = 0;
  for (const page of ledger.pages.values()) {
    const { entries, placing } = snapshotPage(page, Infinity, () => assert.fail('nothing is taken off'));
    tasks += placing.length;
    const bytes = sizeOf(ledgerPage(entries));
    assert.ok(bytes <= valueBytes, `${bytes} bytes`);
  }
  assert.equal(tasks, 40 + (8 * 39 * 40) / 2 + 3000);
});

test('one commit of a page starts tasks of no more jobs than a transaction can be conditioned on', () => {
  const ledger = new Ledger(valueBytes);
  const jobs = ['req-1', 'req-2', 'req-3'].map((id) => createJobState(jobSpec(id, 2), ledger));
  for (const job of jobs) placeAll(job, 'vm-1');
  const page = ledger.page(0);
  const first = snapshotPage(page, 2, (task) => task.job.unassignTask(task, 0));
  assert.deepEqual([...new Set(first.placing.map((task) => task.job.id))], ['req-1', 'req-2']);
  // What was taken off is recorded as waiting after its attempt, and goes with the next commit.
  assert.deepEqual(first.entries[2]?.active, []);
  assert.equal(jobs[2]?.waitingCount, 2);
});

// Guards against a page that the store refuses for good: what is on machines takes more room than was set aside for it.
test('a page of compact entries takes no more tasks than it has room for, and gets room as they are done', () => {
  const ledger = new Ledger(600);
  const layout = { chunkTasks: 20, isLegacy: false };
  const [one, two] = [
    createJobState(jobSpec('req-1', 20), ledger, layout),
    createJobState(jobSpec('req-2', 20), ledger, layout),
  ];
  for (const [i, job] of [one, two].entries()) {
    // Names that cannot be shortened, each of its own.
    for (let task = job.nextWaitingTask(); task; task = job.nextWaitingTask())
      job.placeTask(task, `machine-${i}-${task.index}-x`, 0);
  }
  assert.equal(ledger.pages.size, 1);
  const page = ledger.page(0);
  const first = snapshotPage(page, 9, (task) => task.job.unassignTask(task, 0), ledger.pageBytes);
  assert.deepEqual([...new Set(first.placing.map((task) => task.job.id))], ['req-1']);
  assert.ok(sizeOf(ledgerPage(first.entries)) <= 600);
  assert.equal(two.waitingCount, 20);
  for (const task of first.placing) task.phase = 'placed';
  for (let i = 0; i < 20; i++) one.finishTask(i, 0);
  placeAll(two, 'm-1');
  const second = snapshotPage(page, 9, () => assert.fail('there is room'), ledger.pageBytes);
  assert.equal(second.placing.length, 20);
});

test('what has not changed since the last commit is not gathered again, and an ended job leaves its page', () => {
  const ledger = new Ledger(valueBytes);
  const [one, two] = [
    createJobState(jobSpec('req-1', 2), ledger),
    createJobState(jobSpec('req-2', 2), ledger),
  ];
  for (const job of [one, two]) placeAll(job, 'vm-1');
  const page = ledger.page(0);
  const before = snapshotPage(page, 9, () => undefined);
  for (const task of before.placing) task.phase = 'placed';
  two.finishTask(0, 5);
  const after = snapshotPage(page, 9, () => undefined);
  assert.equal(after.entries[0], before.entries[0]);
  assert.deepEqual(after.entries[1]?.done, [0, 0]);
  assert.deepEqual(
    after.done.map(({ job, indices }) => [job.id, indices]),
    [['req-2', [0]]],
  );
  one.recorder.remove(6);
  assert.deepEqual(
    snapshotPage(page, 9, () => undefined).entries.map((entry) => entry.id),
    ['req-2'],
  );
});
