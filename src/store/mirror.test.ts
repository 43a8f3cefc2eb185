import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { Change } from '../wire/state.js';
import { Mirror } from './mirror.js';

test('listeners are notified once of an outcome that this controller has committed itself', async () => {
  // The owner of a block that misses such an outcome lets a cancelled task run on.
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
  const mirror = new Mirror(client, 0);
  const notified: string[] = [];
  mirror.listen((changes) => notified.push(...changes.map(({ key }) => key)));
  mirror.recordOutcome(outcome.key, { value: outcome.value, version: 7 });
  await mirror.follow(stop.signal);
  assert.deepEqual(notified, ['end/req-1']);
  assert.equal(mirror.revision, 7);
});

// Guards against jobs that ended long ago and are taken for open for ever.
test('a committed key is in the copy at once, unless the watch has brought its deletion by then', async () => {
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
  const mirror = new Mirror(client, 0);
  await mirror.follow(new AbortController().signal);
  // A failed watch is repeated from the same revision: nothing is read anew.
  assert.deepEqual([watches, mirror.revision], [3, 9]);
  mirror.recordCommitted('job/a', { value: 1, version: 7 });
  assert.equal(mirror.version('job/a'), 0);
  const notified: string[] = [];
  mirror.listen((changes) => notified.push(...changes.map(({ key }) => key)));
  mirror.recordCommitted('job/b', { value: 1, version: 10 });
  assert.deepEqual([mirror.version('job/b'), mirror.revision, notified], [10, 9, ['job/b']]);
});

test('after all keys were read anew, listeners are notified of changed and of deleted keys', async () => {
  const stop = new AbortController();
  const lists = [
    [
      { key: 'job/a', value: 1, version: 1 },
      { key: 'job/b', value: 1, version: 2 },
    ],
    [{ key: 'job/b', value: 2, version: 9 }],
  ];
  let round = -1;
  const client = {
    list: (prefix: string) => {
      if (prefix === 'lead') round++;
      return Promise.resolve({ items: prefix === 'job/' ? (lists[round] ?? []) : [], revision: 9 });
    },
    watch: () => Promise.resolve(undefined),
  };
  const mirror = new Mirror(client, 0);
  await mirror.follow(stop.signal);
  const notified: string[] = [];
  mirror.listen((changes) =>
    notified.push(...changes.map(({ key, deleted }) => `${deleted ? '-' : '+'}${key}`)),
  );
  await mirror.follow(stop.signal);
  assert.deepEqual(notified, ['+job/b', '-job/a']);
});

// Guards against an accepted job that is taken for ended: the owner of its block gave it up, and it never ran.
test('a key that this controller commits while the keys are read anew is not taken for deleted', async () => {
  const listed = { revision: 9, items: [{ key: 'job/a', value: 1, version: 3 }] };
  let onLedgerListed: () => void = () => undefined;
  const client = {
    list: (prefix: string) => {
      // The jobs are listed before the ledger.
      if (prefix === 'run/') onLedgerListed();
      return Promise.resolve(prefix === 'job/' ? listed : { revision: 9, items: [] });
    },
    watch: () => Promise.resolve(undefined),
  };
  const mirror = new Mirror(client, 0);
  await mirror.follow(new AbortController().signal);
  const notified: string[] = [];
  mirror.listen((changes) =>
    notified.push(...changes.map(({ key, deleted }) => `${deleted ? '-' : '+'}${key}`)),
  );
  onLedgerListed = () => mirror.recordCommitted('job/b', { value: 2, version: 11 });
  await mirror.follow(new AbortController().signal);
  assert.deepEqual(notified, ['+job/b']);
  assert.deepEqual([mirror.version('job/a'), mirror.version('job/b')], [3, 11]);
});
