import assert from 'node:assert/strict';
import { test } from 'node:test';

import { RoundTrigger } from './round-trigger.js';

/** Longer than any test may take, so that the wait cannot end because of its time-out. */
const longWaitMs = 600_000;

test('a request ends the wait for the next placement round and stays pending until the round begins', async () => {
  const trigger = new RoundTrigger();
  assert.equal(trigger.isRequested, true);
  trigger.clear();
  const waited = trigger.wait(longWaitMs, new AbortController().signal);
  trigger.request();
  await waited;
  assert.equal(trigger.isRequested, true);
  trigger.clear();
  assert.equal(trigger.isRequested, false);
});

test('the end of the block’s lease ends the wait for the next placement round without requesting a round', async () => {
  const trigger = new RoundTrigger();
  trigger.clear();
  const lease = new AbortController();
  const waited = trigger.wait(longWaitMs, lease.signal);
  lease.abort();
  await waited;
  assert.equal(trigger.isRequested, false);
});
