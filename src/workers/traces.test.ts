import assert from 'node:assert/strict';
import { readdirSync } from 'node:fs';
import { describe, test } from 'node:test';

import { runTrace } from '../testing/traces.js';

describe('heartbeat traces produce the expected findings and commands', () => {
  const folder = 'src/workers/traces';
  for (const file of readdirSync(folder)) {
    test(file.replace('.trace', ''), () => {
      const { expected, actual } = runTrace(`${folder}/${file}`);
      assert.deepEqual(actual, expected);
    });
  }
});
