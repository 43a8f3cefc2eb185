import assert from 'node:assert/strict';
import { test } from 'node:test';

import { ReceiveBuffer } from './receive-buffer.js';

test('parts of any size are collected in order, and bytes at the beginning can be removed', () => {
  const buffer = new ReceiveBuffer();
  assert.equal(buffer.bytes.length, 0);
  for (const part of ['a', '', 'bc', 'd'.repeat(2000), 'e']) buffer.append(Buffer.from(part));
  assert.equal(buffer.bytes.toString(), `abc${'d'.repeat(2000)}e`);
  assert.equal(buffer.length, 2004);
  buffer.discard(2003);
  buffer.append(Buffer.from('f'));
  assert.equal(buffer.bytes.toString(), 'ef');
  buffer.discard(2);
  buffer.append(Buffer.from('g'));
  assert.equal(buffer.bytes.toString(), 'g');
});

test('a message in parts of one byte takes memory in proportion to its length', () => {
  const buffer = new ReceiveBuffer();
  const part = Buffer.from('x');
  const before = process.memoryUsage();
  for (let i = 0; i < 1_000_000; i++) buffer.append(part);
  const after = process.memoryUsage();
  assert.equal(buffer.length, 1_000_000);
  const used = after.heapUsed - before.heapUsed + after.arrayBuffers - before.arrayBuffers;
  assert.ok(used < 16_000_000, `${used} bytes`);
});
