import assert from 'node:assert/strict';
import { test } from 'node:test';

import { testSettings } from '../testing/settings.js';
import type { Condition, Write } from '../wire/state.js';
import { CommitQueue } from './commit-queue.js';
import type { CommitOutcome } from './transactions.js';

const neverAborted = new AbortController().signal;

/** A queue whose transactions are answered by `answer`, and the number of writes in each transaction sent. */
function createQueue(answer: (conditions: Condition[], writes: Write[]) => CommitOutcome): {
  queue: CommitQueue;
  sent: number[];
} {
  const sent: number[] = [];
  const client = {
    commit: (_trafficClass: string, conditions: Condition[], writes: Write[]): Promise<CommitOutcome> => {
      sent.push(writes.length);
      return new Promise((resolve) => setImmediate(() => resolve(answer(conditions, writes))));
    },
  };
  return { queue: new CommitQueue(client, 'duty', testSettings(), neverAborted, 40), sent };
}

const put = (key: string): [Condition[], Write[]] => [[{ key, version: 0 }], [{ put: key, value: 1 }]];

test('operations that are queued while a transaction is in flight are sent together in the next one', async () => {
  const { queue, sent } = createQueue(() => ({ kind: 'applied', revision: 9 }));
  const outcomes = await Promise.all(['a', 'b', 'c', 'd'].map((key) => queue.commit(...put(key))));
  assert.deepEqual(sent, [1, 3]);
  assert.ok(outcomes.every(({ kind }) => kind === 'applied'));
});

test('a conflict of one operation does not fail the other operations in its transaction', async () => {
  const { queue } = createQueue((conditions) =>
    conditions.some((c) => c.key === 'b')
      ? { kind: 'conflict', failed: ['b'], revision: 3 }
      : { kind: 'applied', revision: 4 },
  );
  const outcomes = await Promise.all(['x', 'a', 'b', 'c'].map((key) => queue.commit(...put(key))));
  assert.deepEqual(
    outcomes.map(({ kind }) => kind),
    ['applied', 'applied', 'conflict', 'applied'],
  );
});

test('a transaction is retried if the rate limits refuse it, but not if an outage does', async () => {
  let refusalsLeft = 2;
  const rateLimited = createQueue(() =>
    refusalsLeft-- > 0 ? { kind: 'refused', rateLimited: true } : { kind: 'applied', revision: 1 },
  );
  assert.equal((await rateLimited.queue.commit(...put('a'))).kind, 'applied');
  const outage = createQueue(() => ({ kind: 'refused', rateLimited: false }));
  assert.equal((await outage.queue.commit(...put('a'))).kind, 'refused');
  assert.equal(outage.sent.length, 1);
});

// A block (a set of machines) has a record and a ledger with several pages, each under a key. All commits of
// pages have the condition on the block's record in common. If the queue sent this condition several times in
// one transaction, the service would refuse the transaction as malformed, and the tasks of the block would
// make no progress.
test('a condition that several operations have in common is sent once', async () => {
  const sent: string[][] = [];
  const { queue } = createQueue((conditions) => {
    sent.push(conditions.map((c) => c.key));
    return { kind: 'applied', revision: 5 };
  });
  const block = { key: 'block/0', version: 3 };
  const pages = ['run/0/0', 'run/0/1', 'run/0/2'].map((key) =>
    queue.commit([block, { key, version: 1 }], [{ put: key, value: 1 }]),
  );
  await Promise.all(pages);
  assert.deepEqual(sent, [
    ['block/0', 'run/0/0'],
    ['block/0', 'run/0/1', 'run/0/2'],
  ]);
});

test('a malformed operation does not fail the other operations in its transaction', async () => {
  const { queue, sent } = createQueue((conditions) =>
    conditions.some(({ key }) => key === 'b') ? { kind: 'malformed' } : { kind: 'applied', revision: 4 },
  );
  const outcomes = await Promise.all(['x', 'a', 'b', 'c'].map((key) => queue.commit(...put(key))));
  assert.deepEqual(
    outcomes.map(({ kind }) => kind),
    ['applied', 'applied', 'malformed', 'applied'],
  );
  assert.deepEqual(sent, [1, 3, 1, 1, 1]);
});

test('operations that are still queued when the process stops are refused', async () => {
  const stop = new AbortController();
  const sent: Write[][] = [];
  const client = {
    commit: (_trafficClass: string, _conditions: Condition[], writes: Write[]): Promise<CommitOutcome> => {
      sent.push(writes);
      stop.abort();
      return Promise.resolve({ kind: 'applied', revision: 1 });
    },
  };
  const queue = new CommitQueue(client, 'duty', testSettings(), stop.signal, 40);
  const outcomes = await Promise.all(['a', 'b'].map((key) => queue.commit(...put(key))));
  assert.deepEqual(outcomes, [
    { kind: 'applied', revision: 1 },
    { kind: 'refused', rateLimited: false },
  ]);
  assert.equal(sent.length, 1);
});
