import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { Change } from '../wire/state.js';
import { StoreReplica } from './store-replica.js';

test('listeners are notified exactly once of an outcome that this controller has committed itself', async () => {
  // A controller commits the cancellation of a job whose task runs on a block (a set of machines) that the
  // same controller manages. If the listeners were not notified of this outcome, the controller would not
  // stop the task.
  const stop = new AbortController();
  const outcome: Change = {
    key: 'end/req-1',
    value: { end: 'cancelled', tasks: 1 },
    version: 7,
    deleted: false,
  };
  let watches = 0;
  const client = {
    list: () => Promise.resolve({ items: [], revision: 5 }),
    watch: () => Promise.resolve(watches++ === 0 ? { changes: [outcome], revision: 7 } : undefined),
  };
  const replica = new StoreReplica(client, 0);
  const notified: string[] = [];
  replica.listen((changes) => notified.push(...changes.map(({ key }) => key)));
  replica.recordOutcome(outcome.key, { value: outcome.value, version: 7 });
  await replica.follow(stop.signal);
  assert.deepEqual(notified, ['end/req-1']);
  assert.equal(replica.revision, 7);
});

// A peer lists a cancellation without its time, and the store delivers the same outcome later. If the replica
// kept the outcome without time, this controller would never learn when the job was cancelled.
test('an outcome that a peer listed without its time is replaced by the stored record, and listeners are notified once', async () => {
  const listed = { value: { end: 'cancelled', tasks: 0 }, version: 7 };
  const stored = { value: { end: 'cancelled', tasks: 3, at: 1000 }, version: 7 };
  const [watched, read] = ['req-1', 'req-2'];
  const changes = [{ key: `end/${watched}`, ...stored, deleted: false }];
  let watches = 0;
  const client = {
    list: () => Promise.resolve({ items: [], revision: 5 }),
    watch: () => Promise.resolve(watches++ === 0 ? { changes, revision: 7 } : undefined),
  };
  const replica = new StoreReplica(client, 0);
  const notified: string[] = [];
  replica.listen((batch) => notified.push(...batch.map(({ key }) => key)));
  for (const id of [watched, read]) replica.recordOutcome(`end/${id}`, listed);
  await replica.follow(new AbortController().signal);
  replica.recordOutcomes([{ key: `end/${read}`, ...stored }]);
  const complete = { outcome: 'cancelled', tasks: 3, endedAt: 1000 };
  assert.deepEqual(
    [watched, read].map((id) => replica.outcomeOf(id)),
    [complete, complete],
  );
  replica.recordOutcome(`end/${read}`, listed);
  assert.deepEqual(replica.outcomeOf(read), complete);
  assert.deepEqual(notified, [`end/${watched}`, `end/${read}`]);
  // An earlier version stored the outcome without its time, but with the number of tasks.
  const earlier = { value: { end: 'cancelled', tasks: 2 }, version: 8 };
  replica.recordOutcome('end/req-3', earlier);
  replica.recordOutcome('end/req-3', listed);
  assert.deepEqual(replica.get('end/req-3'), earlier);
});

// A controller commits a job record. The watch delivers the deletion of the record before the controller adds
// the record to its replica. If the record were added after that, the job would be treated as open forever.
test('a committed key is in the replica immediately, unless the watch has delivered its deletion', async () => {
  const job = (version: number, deleted: boolean): Change => ({ key: 'job/a', value: 1, version, deleted });
  let watches = 0;
  const client = {
    list: () => Promise.resolve({ items: [], revision: 5 }),
    watch: () => {
      watches++;
      if (watches === 1) return Promise.reject(new Error('no answer in time'));
      return Promise.resolve(watches === 2 ? { changes: [job(9, true)], revision: 9 } : undefined);
    },
  };
  const replica = new StoreReplica(client, 0);
  await replica.follow(new AbortController().signal);
  // The failed watch request is retried from the same revision, and the keys are not read again.
  assert.deepEqual([watches, replica.revision], [3, 9]);
  replica.recordCommitted('job/a', { value: 1, version: 7 });
  assert.equal(replica.version('job/a'), 0);
  const notified: string[] = [];
  replica.listen((changes) => notified.push(...changes.map(({ key }) => key)));
  replica.recordCommitted('job/b', { value: 1, version: 10 });
  assert.deepEqual([replica.version('job/b'), replica.revision, notified], [10, 9, ['job/b']]);
});

test('listeners are notified of changed and deleted keys after all keys have been read again', async () => {
  const stop = new AbortController();
  const lists = [
    [
      { key: 'job/a', value: 1, version: 1 },
      { key: 'job/b', value: 1, version: 2 },
    ],
    [{ key: 'job/b', value: 2, version: 9 }],
  ];
  let listIndex = -1;
  const client = {
    list: (prefix: string) => {
      if (prefix === 'lead') listIndex++;
      return Promise.resolve({ items: prefix === 'job/' ? (lists[listIndex] ?? []) : [], revision: 9 });
    },
    watch: () => Promise.resolve(undefined),
  };
  const replica = new StoreReplica(client, 0);
  await replica.follow(stop.signal);
  const notified: string[] = [];
  replica.listen((changes) =>
    notified.push(...changes.map(({ key, deleted }) => `${deleted ? '-' : '+'}${key}`)),
  );
  await replica.follow(stop.signal);
  assert.deepEqual(notified, ['+job/b', '-job/a']);
});

// A controller reads all keys again. After it has listed the job records, it accepts a new job and commits
// the job's record. If the replica treated the record as deleted because the record is missing from the list,
// the controller that manages the job's block of machines would drop the job, and the job would never run.
test('a key that is committed while the keys are read again is not treated as deleted', async () => {
  const listed = { revision: 9, items: [{ key: 'job/a', value: 1, version: 3 }] };
  let beforeLedgerIsListed: () => void = () => undefined;
  const client = {
    list: (prefix: string) => {
      // The job records are listed before the keys of the ledger, which begin with `run/`.
      if (prefix === 'run/') beforeLedgerIsListed();
      return Promise.resolve(prefix === 'job/' ? listed : { revision: 9, items: [] });
    },
    watch: () => Promise.resolve(undefined),
  };
  const replica = new StoreReplica(client, 0);
  await replica.follow(new AbortController().signal);
  const notified: string[] = [];
  replica.listen((changes) =>
    notified.push(...changes.map(({ key, deleted }) => `${deleted ? '-' : '+'}${key}`)),
  );
  beforeLedgerIsListed = () => replica.recordCommitted('job/b', { value: 2, version: 11 });
  await replica.follow(new AbortController().signal);
  assert.deepEqual(notified, ['+job/b']);
  assert.deepEqual([replica.version('job/a'), replica.version('job/b')], [3, 11]);
});
