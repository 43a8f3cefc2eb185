import assert from 'node:assert/strict';
import { test } from 'node:test';

import { Samples } from '../testing/samples.js';
import type { Fields } from './codec.js';
import { parsePeerStatus, peerStatusRecord } from './peer-status.js';

const sample = (new Samples('status.json').plain('leader') as { value: Fields }).value;

test('a status is written in the fields that it was read from, in their order', () => {
  const status = parsePeerStatus(sample);
  assert.ok(status);
  assert.deepEqual(Object.entries(peerStatusRecord(status)), Object.entries(sample));
});

test('a message that names no sender or lacks a list is no status', () => {
  for (const name of ['from', 'cancelled', 'gone', 'up']) {
    const others = Object.entries(sample).filter(([other]) => other !== name);
    assert.equal(parsePeerStatus(Object.fromEntries(others)), undefined, name);
    assert.equal(parsePeerStatus({ ...sample, [name]: 7 }), undefined, name);
  }
  for (const message of [undefined, null, 7, 'text', [sample], new Uint8Array(3), new Map()]) {
    assert.equal(parsePeerStatus(message), undefined);
  }
});

test('fields of later versions are ignored', () => {
  assert.deepEqual(parsePeerStatus({ ...sample, novelty: 1 }), parsePeerStatus(sample));
});
