import assert from 'node:assert/strict';
import { once } from 'node:events';
import { after, before, describe, mock, test } from 'node:test';
import { Worker } from 'node:worker_threads';

import { testClient } from '../testing/test-client.js';
import { nextEventLoopIteration } from './event-loop.js';
import { ExchangeError, type ExchangeFailure, type HttpClient } from './http.js';

/**
 * Indexes into `slots`, the memory shared with the server's thread. Each index is named after an event. The
 * slot is 0 before the event and 1 after it.
 */
const received = 0;
const mayAnswer = 1;
const answered = 2;
const slots = new Int32Array(new SharedArrayBuffer(3 * Int32Array.BYTES_PER_ELEMENT));

/**
 * Source of a server with these paths: /silent never responds, /held responds after `mayAnswer` is set,
 * /malformed responds with an incomplete MessagePack array, /large sends a body without an end, and /lost closes the connection in the middle of
 * the body. The server runs in a thread of its own, so that it can respond while this thread is blocked.
 */
const serverSource = `
  const { parentPort, workerData: slots } = require('node:worker_threads');
  const server = require('node:http').createServer((request, response) => {
    if (request.url === '/malformed') return response.end(Buffer.from([0x92, 0x01]));
    if (request.url === '/large') {
      const send = () => { if (!response.destroyed && response.write(Buffer.alloc(65536))) setImmediate(send); };
      response.on('drain', send);
      return send();
    }
    if (request.url === '/lost') {
      response.writeHead(200, { 'content-length': 2 });
      response.write(Buffer.from([0x01]), () => setTimeout(() => response.destroy(), 20));
      return;
    }
    if (request.url === '/silent') return;
    if (request.url === '/held') {
      Atomics.store(slots, ${received}, 1);
      Atomics.wait(slots, ${mayAnswer}, 0);
      response.on('finish', () => {
        Atomics.store(slots, ${answered}, 1);
        Atomics.notify(slots, ${answered});
      });
    }
    response.end();
  });
  server.listen(0, '127.0.0.1', () => parentPort.postMessage(server.address().port));
`;
const timeoutMs = 150;
const maxWaitMs = 30_000;

/**
 * Blocks this thread, like a busy process, until the server has sent its response to the request to /held.
 */
function blockUntilAnswered(): void {
  Atomics.store(slots, mayAnswer, 1);
  Atomics.notify(slots, mayAnswer);
  assert.notEqual(Atomics.wait(slots, answered, 0, maxWaitMs), 'timed-out');
}

describe('an HTTP exchange', () => {
  const server = new Worker(serverSource, { eval: true, workerData: slots });
  let client: HttpClient;
  before(async () => {
    const [port] = (await once(server, 'message')) as [number];
    client = testClient(`127.0.0.1:${port}`, 2, { maxBytes: 1_000_000, maxMemoryBytes: Infinity });
    await client.exchange('GET', '/warm-up', undefined, { timeoutMs: maxWaitMs });
  });
  after(async () => {
    client.close();
    await server.terminate();
  });

  // If the event loop was blocked past the deadline of an exchange, the time-out ran before the socket was
  // read. A response that had arrived before the deadline was then discarded unread. As a result, a
  // controller short of processor time lost contact with the state service.
  test('reads a response that arrived before the deadline while the event loop was blocked', async () => {
    mock.timers.enable({ apis: ['setTimeout'] });
    try {
      const exchange = client.exchange('GET', '/held', undefined, { timeoutMs });
      while (Atomics.load(slots, received) === 0) await nextEventLoopIteration();
      blockUntilAnswered();
      // The deadline passes in the same event-loop iteration, so the response has arrived but was not read
      // yet.
      mock.timers.tick(timeoutMs);
      assert.equal((await exchange).status, 200);
    } finally {
      mock.timers.reset();
    }
  });

  test('times out at its deadline if no response arrives', async () => {
    const startedAt = performance.now();
    await assert.rejects(
      client.exchange('GET', '/silent', undefined, { timeoutMs }),
      /no response within the time-out/,
    );
    assert.ok(performance.now() - startedAt >= timeoutMs * 0.9);
  });

  const failureOf = async (
    path: string,
    deadlineMs: number,
    signal?: AbortSignal,
  ): Promise<ExchangeFailure> => {
    try {
      await client.exchange('GET', path, undefined, { timeoutMs: deadlineMs, signal });
    } catch (error) {
      assert.ok(error instanceof ExchangeError);
      return error.failure;
    }
    throw new Error('the exchange must fail');
  };

  test('a failed exchange rejects with the kind of its failure', async () => {
    assert.equal(await failureOf('/silent', maxWaitMs, AbortSignal.abort()), 'cancelled');
    const stop = new AbortController();
    const cancelled = failureOf('/silent', maxWaitMs, stop.signal);
    setTimeout(() => stop.abort(), 20);
    assert.equal(await cancelled, 'cancelled');
    assert.equal(await failureOf('/silent', timeoutMs), 'timed-out');
    assert.equal(await failureOf('/malformed', maxWaitMs), 'malformed');
    assert.equal(await failureOf('/lost', maxWaitMs), 'connection-lost');
    assert.equal(await failureOf('/large', maxWaitMs), 'too-large');
  });
});
