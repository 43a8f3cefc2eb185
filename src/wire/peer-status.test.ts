import assert from 'node:assert/strict';
import { test } from 'node:test';

import { Samples } from '../testing/samples.js';
import type { Fields } from './codec.js';
import { parsePeerStatus, peerStatusRecord } from './peer-status.js';

const sample = (new Samples('status.json').plainValue('leader') as { value: Fields }).value;

test('a peer status that is parsed and written again has the same fields in the same order', () => {
  const status = parsePeerStatus(sample);
  assert.ok(status);
  assert.deepEqual(Object.entries(peerStatusRecord(status)), Object.entries(sample));
});

test('a peer status without a sender or without one of its lists is refused', () => {
  for (const name of ['from', 'cancelled', 'gone', 'up']) {
    const others = Object.entries(sample).filter(([other]) => other !== name);
    assert.equal(parsePeerStatus(Object.fromEntries(others)), undefined, name);
    assert.equal(parsePeerStatus({ ...sample, [name]: 7 }), undefined, name);
  }
  for (const message of [undefined, null, 7, 'text', [sample], new Uint8Array(3), new Map()]) {
    assert.equal(parsePeerStatus(message), undefined);
  }
});

test('unknown fields of a peer status, from later versions, are ignored', () => {
  assert.deepEqual(parsePeerStatus({ ...sample, novelty: 1 }), parsePeerStatus(sample));
});
