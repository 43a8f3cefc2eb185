/** A short run of the soak of `hung-machines.ts`. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { soakHungMachines } from '../testing/hung-machines.js';

/** Several cancel deadlines of the soak. */
const durationMs = 45_000;

// Guards against tasks of cancelled jobs that outlast the deadline on machines that hang, in combinations of
// faults that no scenario names.
test('no rule is violated as random machines hang, their jobs are cancelled and controllers restart', async () => {
  const { violations, ...counts } = await soakHungMachines({ port: 27_760, seed: 1, durationMs });
  assert.deepEqual(violations, []);
  assert.ok(counts.hangs > 0 && counts.cancels > 0 && counts.restarts > 0 && counts.releases > 0);
});
