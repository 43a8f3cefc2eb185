import assert from 'node:assert/strict';
import { createServer } from 'node:http';
import { type AddressInfo } from 'node:net';
import { test } from 'node:test';

import { steadyClock } from '../base/clock.js';
import { testSettings } from '../testing/settings.js';
import { reply } from '../testing/store-standin.js';
import type { Change, Condition, Write } from '../wire/state.js';
import { AdaptiveShare } from './adaptive-share.js';
import { StoreClient } from './client.js';
import { CommitQueue } from './commit-queue.js';
import { Mirror } from './mirror.js';
import { takeBatch } from './transaction-batch.js';
import type { CommitOutcome } from './transactions.js';

const never = new AbortController().signal;

function stageWith(answer: (conditions: Condition[], writes: Write[]) => CommitOutcome): {
  stage: CommitQueue;
  sent: number[];
} {
  const sent: number[] = [];
  const client = {
    commit: (_lane: string, conditions: Condition[], writes: Write[]): Promise<CommitOutcome> => {
      sent.push(writes.length);
      return new Promise((resolve) => setImmediate(() => resolve(answer(conditions, writes))));
    },
  };
  return { stage: new CommitQueue(client, 'duty', testSettings(), never, 40), sent };
}

const put = (key: string): [Condition[], Write[]] => [[{ key, version: 0 }], [{ put: key, value: 1 }]];

test('what arrives during a commit goes out together in the next', async () => {
  const { stage, sent } = stageWith(() => ({ kind: 'applied', revision: 9 }));
  const outcomes = await Promise.all(['a', 'b', 'c', 'd'].map((key) => stage.commit(...put(key))));
  assert.deepEqual(sent, [1, 3]);
  assert.ok(outcomes.every((o) => o.kind === 'applied'));
});

test("one operation's conflict does not fail its neighbours", async () => {
  const { stage } = stageWith((conditions) =>
    conditions.some((c) => c.key === 'b')
      ? { kind: 'conflict', failed: ['b'], revision: 3 }
      : { kind: 'applied', revision: 4 },
  );
  const outcomes = await Promise.all(['x', 'a', 'b', 'c'].map((key) => stage.commit(...put(key))));
  assert.deepEqual(
    outcomes.map((o) => o.kind),
    ['applied', 'applied', 'conflict', 'applied'],
  );
});

test('a commit over the limits is repeated, one that the service refuses in an outage is not', async () => {
  let busy = 2;
  const limited = stageWith(() =>
    busy-- > 0 ? { kind: 'refused', rateLimited: true } : { kind: 'applied', revision: 1 },
  );
  assert.equal((await limited.stage.commit(...put('a'))).kind, 'applied');
  const down = stageWith(() => ({ kind: 'refused', rateLimited: false }));
  assert.equal((await down.stage.commit(...put('a'))).kind, 'refused');
  assert.equal(down.sent.length, 1);
});

test('a batch holds no key twice and keeps to the limits of a transaction', () => {
  const op = (key: string, version: number, writes: number, bytes = 10) => ({
    conditions: [{ key, version }],
    writes: Array.from({ length: writes }, (_, i) => ({ put: `${key}${i}`, value: 1 })),
    bytes,
  });
  assert.equal(takeBatch([op('a', 1, 2), op('a', 2, 1)], 20).batch.length, 1);
  assert.equal(takeBatch([op('a', 1, 12), op('b', 1, 12)], 20).batch.length, 1);
  assert.equal(takeBatch([op('a', 1, 1, 50_000), op('b', 1, 1, 50_000)], 20).batch.length, 1);
  assert.equal(takeBatch([op('a', 1, 1), op('b', 1, 1)], 20).batch.length, 2);
});

test('listeners hear of an end that this controller has committed itself', async () => {
  // The owner of a block once missed such an end, and a cancelled task ran on.
  const stop = new AbortController();
  const end: Change = { key: 'end/req-1', value: { end: 'cancelled', tasks: 1 }, version: 7, deleted: false };
  let asked = 0;
  const client = {
    list: () => Promise.resolve({ items: [], revision: 5 }),
    watch: () => Promise.resolve(asked++ === 0 ? { changes: [end], revision: 7 } : undefined),
  };
  const mirror = new Mirror(client, 0);
  const heard: string[] = [];
  mirror.listen((changes) => heard.push(...changes.map((c) => c.key)));
  mirror.recordOutcome(end.key, { value: end.value, version: 7 });
  await mirror.follow(stop.signal);
  assert.deepEqual(heard, ['end/req-1']);
  assert.equal(mirror.revision, 7);
});

// Guards against jobs that ended long ago and are taken for open for ever.
test('what this controller has committed is known at once, unless the watch has brought its end by then', async () => {
  const job = (version: number, deleted: boolean): Change => ({ key: 'job/a', value: 1, version, deleted });
  let asked = 0;
  const client = {
    list: () => Promise.resolve({ items: [], revision: 5 }),
    watch: () => {
      asked++;
      if (asked === 1) return Promise.reject(new Error('no answer in time'));
      return Promise.resolve(asked === 2 ? { changes: [job(9, true)], revision: 9 } : undefined);
    },
  };
  const mirror = new Mirror(client, 0);
  await mirror.follow(new AbortController().signal);
  // A watch that fails is asked again where it stopped: nothing is read anew.
  assert.deepEqual([asked, mirror.revision], [3, 9]);
  mirror.recordCommitted('job/a', { value: 1, version: 7 });
  assert.equal(mirror.version('job/a'), 0);
  const heard: string[] = [];
  mirror.listen((changes) => heard.push(...changes.map((c) => c.key)));
  mirror.recordCommitted('job/b', { value: 1, version: 10 });
  assert.deepEqual([mirror.version('job/b'), mirror.revision, heard], [10, 9, ['job/b']]);
});

test('after a gap in the watch, listeners hear of what has changed and what has gone', async () => {
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
  const heard: string[] = [];
  mirror.listen((changes) => heard.push(...changes.map((c) => `${c.deleted ? '-' : '+'}${c.key}`)));
  await mirror.follow(stop.signal);
  assert.deepEqual(heard, ['+job/b', '-job/a']);
});

// Guards against an accepted job that is taken for ended: the owner of its block gave it up, and it never ran.
test('what this controller commits while the keys are read anew is not taken for deleted', async () => {
  const listed = { revision: 9, items: [{ key: 'job/a', value: 1, version: 3 }] };
  let whileListing: () => void = () => undefined;
  const client = {
    list: (prefix: string) => {
      // The jobs have been listed by the time that the ledger is.
      if (prefix === 'run/') whileListing();
      return Promise.resolve(prefix === 'job/' ? listed : { revision: 9, items: [] });
    },
    watch: () => Promise.resolve(undefined),
  };
  const mirror = new Mirror(client, 0);
  await mirror.follow(new AbortController().signal);
  const heard: string[] = [];
  mirror.listen((changes) => heard.push(...changes.map((c) => `${c.deleted ? '-' : '+'}${c.key}`)));
  whileListing = () => mirror.recordCommitted('job/b', { value: 2, version: 11 });
  await mirror.follow(new AbortController().signal);
  assert.deepEqual(heard, ['+job/b']);
  assert.deepEqual([mirror.version('job/a'), mirror.version('job/b')], [3, 11]);
});

// Guards against submissions that wait behind a fixed share while the others leave theirs unused.
test('a share grows while its controller has to wait and nothing is refused, and halves with a refusal', () => {
  const adaptiveShare = new AdaptiveShare(0);
  const after = (outcome: { refused: boolean; waited: boolean }, times: number, from: number): number => {
    for (let i = 1; i <= times; i++) adaptiveShare.recordCommit(outcome, from + i * 1000);
    return adaptiveShare.factor;
  };
  assert.equal(after({ refused: false, waited: false }, 5, 0), 1);
  assert.equal(after({ refused: false, waited: true }, 2, 5000), 2);
  assert.equal(after({ refused: false, waited: true }, 60, 9000), 4);
  assert.equal(after({ refused: false, waited: false }, 10, 69_000).toFixed(1), '3.0');
  assert.equal(after({ refused: false, waited: true }, 2, 79_000).toFixed(1), '4.0');
  assert.equal(after({ refused: true, waited: true }, 1, 81_000).toFixed(1), '2.0');
  assert.equal(after({ refused: true, waited: false }, 9, 82_000), 1);
});

// Guards against a controller that goes on asking for the present rates once lower ones hold, and is refused for ever.
test('refusals cut an even share down to what coming limits leave of it, and it comes back slowly', () => {
  const adaptiveShare = new AdaptiveShare(0, 0.7);
  for (let i = 0; i < 3; i++) adaptiveShare.recordCommit({ refused: true, waited: false }, i * 100);
  assert.equal(adaptiveShare.factor.toFixed(3), '0.729');
  for (let i = 0; i < 9; i++) adaptiveShare.recordCommit({ refused: true, waited: true }, 1000 + i * 100);
  assert.equal(adaptiveShare.factor, 0.7);
  for (let i = 0; i < 10; i++) adaptiveShare.recordCommit({ refused: false, waited: true }, 3000 + i * 1000);
  const { factor } = adaptiveShare;
  assert.ok(factor > 0.75 && factor < 0.85);
  for (let i = 0; i < 60; i++)
    adaptiveShare.recordCommit({ refused: false, waited: false }, 20_000 + i * 1000);
  assert.equal(adaptiveShare.factor, 1);
});

// Guards against a block that stands still: the service called transactions malformed that named the block four times.
test('a condition that several operations share is sent once', async () => {
  const sent: string[][] = [];
  const { stage } = stageWith((conditions) => {
    sent.push(conditions.map((c) => c.key));
    return { kind: 'applied', revision: 5 };
  });
  const block = { key: 'block/0', version: 3 };
  const pages = ['run/0/0', 'run/0/1', 'run/0/2'].map((key) =>
    stage.commit([block, { key, version: 1 }], [{ put: key, value: 1 }]),
  );
  await Promise.all(pages);
  assert.deepEqual(sent, [
    ['block/0', 'run/0/0'],
    ['block/0', 'run/0/1', 'run/0/2'],
  ]);
});

// Guards against a controller that is back from a cut and for seconds does not hear that its block was leased to another.
test('a watch that a cut has swallowed is given up once the store answers again', async () => {
  const statuses = [503, 200];
  const server = createServer((request, response) => {
    // The watch is never answered.
    if (request.url?.startsWith('/changes')) return;
    reply(response, statuses.shift() ?? 404, { path: 'sk/lead', value: 1, stamp: 1 });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const settings = { ...testSettings(), stateAddress: `127.0.0.1:${port}` };
  const client = new StoreClient(settings, steadyClock, never);
  const given = assert.rejects(client.watch(1), /cancelled/);
  await assert.rejects(client.read('lead'));
  assert.equal(client.failing, true);
  assert.ok(await client.read('lead'));
  await given;
  server.closeAllConnections();
  server.close();
});
