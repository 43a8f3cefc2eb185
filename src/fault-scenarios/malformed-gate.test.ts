/** A short run of the gate of `malformed-gate.ts`. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { runMalformedGate } from '../testing/malformed-gate.js';

const durationMs = 10_000;

test('good jobs are done in time and no controller ends while malformed requests arrive', async () => {
  const { problems, ...counts } = await runMalformedGate({ firstPort: 27_900, seed: 1, durationMs });
  assert.deepEqual(problems, []);
  assert.ok(counts.malformedRequests > 200 && counts.goodJobs > 15);
});
