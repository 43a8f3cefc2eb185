import assert from 'node:assert/strict';
import { test } from 'node:test';

import { Term } from './term.js';

test('a term ends once and keeps the first reason', () => {
  const term = new Term(5, 0);
  assert.deepEqual([term.signal.aborted, term.endReason], [false, undefined]);
  term.end({ kind: 'superseded', by: 'k1' });
  term.end({ kind: 'duties-ended' });
  assert.equal(term.signal.aborted, true);
  assert.deepEqual(term.endReason, { kind: 'superseded', by: 'k1' });
});
