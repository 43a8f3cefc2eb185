import assert from 'node:assert/strict';
import { readdirSync } from 'node:fs';
import { describe, test } from 'node:test';

import { runTrace } from '../testing/traces.js';

describe('traces of heartbeats and what comes of them', () => {
  const folder = 'src/workers/traces';
  for (const file of readdirSync(folder)) {
    test(file.replace('.trace', ''), () => {
      const { expected, actual } = runTrace(`${folder}/${file}`);
      assert.deepEqual(actual, expected);
    });
  }
});
