import assert from 'node:assert/strict';
import { test } from 'node:test';

import { seededRandom } from './random-source.js';

test('random numbers are in [0, 1), equal for equal incarnations and different for different incarnations', () => {
  const numbers = (uuid: string): number[] => {
    const random = seededRandom(uuid);
    return [random(), random(), random()];
  };
  const first = numbers('0123abcd-0000-4000-8000-000000000000');
  assert.deepEqual(numbers('0123abcd-0000-4000-8000-000000000000'), first);
  assert.notDeepEqual(numbers('0123abce-0000-4000-8000-000000000000'), first);
  assert.ok(first.every((number) => number >= 0 && number < 1));
});
