import assert from 'node:assert/strict';
import { once } from 'node:events';
import { after, before, describe, test } from 'node:test';
import { Worker } from 'node:worker_threads';

import { ExchangeError, type ExchangeFailure, HttpPeer } from './http.js';
import { nextTurn } from './turns.js';

/**
 * Answers after a moment, never at /silent, with half an array at /malformed, and ends the connection within the body at
 * /lost; in a thread of its own, so that it answers while this one is busy.
 */
const serverSource = `
  const { parentPort } = require('node:worker_threads');
  const server = require('node:http').createServer((request, response) => {
    if (request.url === '/malformed') return response.end(Buffer.from([0x92, 0x01]));
    if (request.url === '/lost') {
      response.writeHead(200, { 'content-length': 2 });
      response.write(Buffer.from([0x01]), () => setTimeout(() => response.destroy(), 20));
      return;
    }
    if (request.url !== '/silent') setTimeout(() => response.end(), 50);
  });
  server.listen(0, '127.0.0.1', () => parentPort.postMessage(server.address().port));
`;
const timeoutMs = 150;

function keepBusy(ms: number): void {
  const until = performance.now() + ms;
  while (performance.now() < until);
}

describe('an exchange over HTTP', () => {
  const server = new Worker(serverSource, { eval: true });
  let peer: HttpPeer;
  before(async () => {
    const [port] = (await once(server, 'message')) as [number];
    peer = new HttpPeer(`127.0.0.1:${port}`, 2);
    await peer.exchange('GET', '/warm-up', undefined, { timeoutMs: 5000 });
  });
  after(async () => {
    peer.close();
    await server.terminate();
  });

  // Guards against answers that are thrown away unread: a controller short of processor time lost the state service over it.
  test('at its deadline reads an answer that came while this process was busy', async () => {
    const exchange = peer.exchange('GET', '/keys', undefined, { timeoutMs });
    const turnsUntilSent = 5;
    for (let turn = 0; turn < turnsUntilSent; turn++) await nextTurn();
    keepBusy(3 * timeoutMs);
    assert.equal((await exchange).status, 200);
  });

  test('ends at its deadline where it gets no answer', async () => {
    const startedAt = performance.now();
    await assert.rejects(peer.exchange('GET', '/silent', undefined, { timeoutMs }), /no answer in time/);
    assert.ok(performance.now() - startedAt >= timeoutMs * 0.9);
  });

  const failureOf = async (path: string, signal?: AbortSignal): Promise<ExchangeFailure> => {
    try {
      await peer.exchange('GET', path, undefined, { timeoutMs: 1000, signal });
    } catch (error) {
      assert.ok(error instanceof ExchangeError);
      return error.failure;
    }
    throw new Error('the exchange has not failed');
  };

  test('a failed exchange tells why it failed', async () => {
    assert.equal(await failureOf('/silent', AbortSignal.abort()), 'cancelled');
    const stop = new AbortController();
    const cancelled = failureOf('/silent', stop.signal);
    setTimeout(() => stop.abort(), 20);
    assert.equal(await cancelled, 'cancelled');
    assert.equal(await failureOf('/silent'), 'timed-out');
    assert.equal(await failureOf('/malformed'), 'malformed');
    assert.equal(await failureOf('/lost'), 'connection-lost');
  });
});
