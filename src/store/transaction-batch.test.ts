import assert from 'node:assert/strict';
import { test } from 'node:test';

import { takeBatch } from './transaction-batch.js';

test('a transaction requires at most one version of each key and stays within the limits of writes and bytes', () => {
  const operation = (key: string, version: number, writes: number, bytes = 10) => ({
    conditions: [{ key, version }],
    writes: Array.from({ length: writes }, (_, i) => ({ put: `${key}${i}`, value: 1 })),
    bytes,
  });
  assert.equal(takeBatch([operation('a', 1, 2), operation('a', 2, 1)], 20).batch.length, 1);
  assert.equal(takeBatch([operation('a', 1, 12), operation('b', 1, 12)], 20).batch.length, 1);
  assert.equal(takeBatch([operation('a', 1, 1, 50_000), operation('b', 1, 1, 50_000)], 20).batch.length, 1);
  assert.equal(takeBatch([operation('a', 1, 1), operation('b', 1, 1)], 20).batch.length, 2);
});
