import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { HttpResponse } from '../base/http.js';
import { StoreConnectionError } from './errors.js';
import { type TransactionPorts, Transactions } from './transactions.js';

const write = { put: 'run/0/0', value: 1 };
const condition = { key: 'block/0', version: 3 };

interface RecordedPacing {
  reserved: number[];
  commits: { refused: boolean; waited: boolean }[];
}

/**
 * Creates a transaction client whose requests are answered by `answer`. Each call of `writeWaitMs` returns
 * the next entry of `waitsMs`, and 0 after the final entry.
 */
function createTransactions(
  answer: () => Promise<HttpResponse>,
  waitsMs: number[] = [],
  signal = new AbortController().signal,
): { transactions: Transactions; recorded: RecordedPacing } {
  const recorded: RecordedPacing = { reserved: [], commits: [] };
  const pacing: TransactionPorts['pacing'] = {
    writeWaitMs: () => waitsMs.shift() ?? 0,
    reserveWrites: (_trafficClass, count) => void recorded.reserved.push(count),
    recordCommit: (result) => void recorded.commits.push(result),
  };
  return { transactions: new Transactions({ signal, connection: { sendPaced: answer }, pacing }), recorded };
}

test('each HTTP status of an answer is mapped to a commit outcome', async () => {
  const conflict = { logline: 9, failed: ['sk/block/0'] };
  const cases = [
    [200, { logline: 8 }, { kind: 'applied', revision: 8 }],
    [409, conflict, { kind: 'conflict', failed: ['block/0'], revision: 9 }],
    [400, {}, { kind: 'malformed' }],
    [429, {}, { kind: 'refused', rateLimited: true }],
    [503, {}, { kind: 'refused', rateLimited: false }],
    [500, {}, { kind: 'unknown' }],
  ] as const;
  for (const [status, body, outcome] of cases) {
    const { transactions } = createTransactions(() => Promise.resolve({ status, body }));
    assert.deepEqual(await transactions.commit('duty', [condition], [write]), outcome);
  }
});

test('the outcome of a transaction without an answer is unknown, and its writes are not counted', async () => {
  const { transactions, recorded } = createTransactions(() =>
    Promise.reject(new StoreConnectionError('commit', new Error('no answer in time'))),
  );
  assert.deepEqual(await transactions.commit('duty', [], [write]), { kind: 'unknown' });
  assert.deepEqual(transactions.takeCounts(), { changes: {}, refused: 0, conflicts: 0 });
  assert.deepEqual(recorded, { reserved: [1], commits: [] });
});

test('writes by kind of key, refusals and conflicts are counted until the counts are read and reset', async () => {
  const statuses = [200, 429, 409];
  const { transactions } = createTransactions(() =>
    Promise.resolve({ status: statuses.shift() ?? 500, body: {} }),
  );
  for (let i = 0; i < 3; i++) await transactions.commit('duty', [], [write, { drop: 'job/a' }]);
  assert.deepEqual(transactions.takeCounts(), { changes: { run: 3, job: 3 }, refused: 1, conflicts: 2 });
  assert.deepEqual(transactions.takeCounts(), { changes: {}, refused: 0, conflicts: 0 });
});

test('a commit waits until the pacing admits it, and the wait of a submission is reported to the pacing', async () => {
  const applied = (): Promise<HttpResponse> => Promise.resolve({ status: 200, body: {} });
  const intake = createTransactions(applied, [1, 1]);
  await intake.transactions.commit('intake', [], [write]);
  assert.deepEqual(intake.recorded, { reserved: [1], commits: [{ refused: false, waited: true }] });
  const duty = createTransactions(applied, [1]);
  await duty.transactions.commit('duty', [], [write]);
  assert.deepEqual(duty.recorded.commits, [{ refused: false, waited: false }]);
});

test('a transaction with conditions but no writes is not paced as a write', async () => {
  const { transactions, recorded } = createTransactions(
    () => Promise.resolve({ status: 200, body: {} }),
    [60_000],
  );
  assert.equal((await transactions.commit('confirm', [condition], [])).kind, 'applied');
  assert.deepEqual(recorded, { reserved: [], commits: [] });
});

test('a commit that waits for the pacing is refused when the process stops', async () => {
  const stop = new AbortController();
  let requests = 0;
  const { transactions } = createTransactions(
    () => {
      requests++;
      return Promise.resolve({ status: 200, body: {} });
    },
    [60_000],
    stop.signal,
  );
  const outcome = transactions.commit('duty', [], [write]);
  stop.abort();
  assert.deepEqual(await outcome, { kind: 'refused', rateLimited: false });
  assert.equal(requests, 0);
});
