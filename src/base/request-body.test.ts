import assert from 'node:assert/strict';
import { PassThrough } from 'node:stream';
import { test } from 'node:test';

import { nextEventLoopIteration } from './event-loop.js';
import { readRequestBody, RequestAbortedError, UnfinishedBodies, UnreadBodyError } from './request-body.js';

const maxBytes = 100_000;
const part = Buffer.alloc(30_000, 0x91);

/** Starts reading a body. `outcome` is the length of the body, or why it was not read. */
function startReading(unfinished: UnfinishedBodies): { stream: PassThrough; outcome: Promise<unknown> } {
  const stream = new PassThrough();
  const outcome = readRequestBody(stream, unfinished).then(
    (bytes) => bytes.length,
    (error: unknown) => (error instanceof UnreadBodyError ? error.reason : (error as Error).constructor),
  );
  return { stream, outcome };
}

async function send(stream: PassThrough, bytes: Buffer): Promise<void> {
  stream.write(bytes);
  await nextEventLoopIteration();
}

test('if unfinished bodies exceed their limit, the oldest is given up and later ones are read', async () => {
  const unfinished = new UnfinishedBodies(maxBytes);
  const bodies = Array.from({ length: 5 }, () => startReading(unfinished));
  for (const { stream } of bodies) await send(stream, part);
  for (const { stream } of bodies) stream.end();
  assert.deepEqual(await Promise.all(bodies.map(({ outcome }) => outcome)), [
    'abandoned',
    'abandoned',
    part.length,
    part.length,
    part.length,
  ]);
});

test('bodies that have ended in any way do not count towards the limit', async () => {
  const unfinished = new UnfinishedBodies(maxBytes);
  const expected: unknown[] = [];
  const outcomes: Promise<unknown>[] = [];
  for (let i = 0; i < 20; i++) {
    const { stream, outcome } = startReading(unfinished);
    outcomes.push(outcome);
    await send(stream, part);
    if (i % 3 === 0) stream.end();
    else if (i % 3 === 1) stream.destroy();
    else await send(stream, Buffer.alloc(40_000));
    expected.push([part.length, RequestAbortedError, 'too-large'][i % 3]);
    await outcome;
  }
  assert.deepEqual(await Promise.all(outcomes), expected);
});
