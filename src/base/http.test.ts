import assert from 'node:assert/strict';
import { once } from 'node:events';
import { after, before, describe, mock, test } from 'node:test';
import { Worker } from 'node:worker_threads';

import { ExchangeError, type ExchangeFailure, HttpPeer } from './http.js';
import { nextTurn } from './turns.js';

/** Slots of the memory that the server's thread and this one share; each is 0 until what it is named for has happened. */
const received = 0;
const mayAnswer = 1;
const answered = 2;
const slots = new Int32Array(new SharedArrayBuffer(3 * Int32Array.BYTES_PER_ELEMENT));

/**
 * Never answers at /silent, and at /held only once it may; answers with half an array at /malformed, and ends the connection
 * within the body at /lost. In a thread of its own, so that it answers while this one is busy.
 */
const serverSource = `
  const { parentPort, workerData: slots } = require('node:worker_threads');
  const server = require('node:http').createServer((request, response) => {
    if (request.url === '/malformed') return response.end(Buffer.from([0x92, 0x01]));
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

/** Stands still, as a busy process does, until the server has answered the request that it holds. */
function standStillUntilAnswered(): void {
  Atomics.store(slots, mayAnswer, 1);
  Atomics.notify(slots, mayAnswer);
  assert.notEqual(Atomics.wait(slots, answered, 0, maxWaitMs), 'timed-out');
}

describe('an exchange over HTTP', () => {
  const server = new Worker(serverSource, { eval: true, workerData: slots });
  let peer: HttpPeer;
  before(async () => {
    const [port] = (await once(server, 'message')) as [number];
    peer = new HttpPeer(`127.0.0.1:${port}`, 2);
    await peer.exchange('GET', '/warm-up', undefined, { timeoutMs: maxWaitMs });
  });
  after(async () => {
    peer.close();
    await server.terminate();
  });

  // Guards against answers that are thrown away unread: a controller short of processor time lost the state service over it.
  test('at its deadline reads an answer that came while this process was busy', async () => {
    mock.timers.enable({ apis: ['setTimeout'] });
    try {
      const exchange = peer.exchange('GET', '/held', undefined, { timeoutMs });
      while (Atomics.load(slots, received) === 0) await nextTurn();
      standStillUntilAnswered();
      // The deadline has passed in this same turn of the event loop: nothing has been read since the answer came.
      mock.timers.tick(timeoutMs);
      assert.equal((await exchange).status, 200);
    } finally {
      mock.timers.reset();
    }
  });

  test('ends at its deadline where it gets no answer', async () => {
    const startedAt = performance.now();
    await assert.rejects(peer.exchange('GET', '/silent', undefined, { timeoutMs }), /no answer in time/);
    assert.ok(performance.now() - startedAt >= timeoutMs * 0.9);
  });

  const failureOf = async (
    path: string,
    deadlineMs: number,
    signal?: AbortSignal,
  ): Promise<ExchangeFailure> => {
    try {
      await peer.exchange('GET', path, undefined, { timeoutMs: deadlineMs, signal });
    } catch (error) {
      assert.ok(error instanceof ExchangeError);
      return error.failure;
    }
    throw new Error('the exchange has not failed');
  };

  test('a failed exchange tells why it failed', async () => {
    assert.equal(await failureOf('/silent', maxWaitMs, AbortSignal.abort()), 'cancelled');
    const stop = new AbortController();
    const cancelled = failureOf('/silent', maxWaitMs, stop.signal);
    setTimeout(() => stop.abort(), 20);
    assert.equal(await cancelled, 'cancelled');
    assert.equal(await failureOf('/silent', timeoutMs), 'timed-out');
    assert.equal(await failureOf('/malformed', maxWaitMs), 'malformed');
    assert.equal(await failureOf('/lost', maxWaitMs), 'connection-lost');
  });
});
