import assert from 'node:assert/strict';
import { test } from 'node:test';

import { mergeTaskRanges, undispatchedRanges } from './task-ranges.js';

test('undispatched tasks are found between and after the ranges, and adjacent ranges of a block are merged', () => {
  const taskRanges = [
    { block: 0, first: 4, count: 2 },
    { block: 1, first: 0, count: 3 },
  ];
  assert.deepEqual(undispatchedRanges(taskRanges, 8), [
    { first: 3, count: 1 },
    { first: 6, count: 2 },
  ]);
  assert.deepEqual(mergeTaskRanges([...taskRanges, { block: 0, first: 6, count: 2 }]), [
    { block: 0, first: 4, count: 4 },
    taskRanges[1],
  ]);
});
