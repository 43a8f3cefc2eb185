import assert from 'node:assert/strict';
import { once } from 'node:events';
import { after, before, describe, test } from 'node:test';
import { Worker } from 'node:worker_threads';
import { HttpPeer } from './http.js';
import { nextTurn } from './turns.js';

/** Answers after a moment, or never at /silent, in a thread of its own, so that it answers while this one is busy. */
const serverSource = `
  const { parentPort } = require('node:worker_threads');
  const server = require('node:http').createServer((request, response) => {
    if (request.url !== '/silent') setTimeout(() => response.end(), 50);
  });
  server.listen(0, '127.0.0.1', () => parentPort.postMessage(server.address().port));
`;
const timeoutMs = 150;

function keepBusy(ms: number): void {
  const until = performance.now() + ms;
  while (performance.now() < until);
}

describe('the deadline of an exchange', () => {
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
  test('does not pass over an answer that came while this process was busy', async () => {
    const exchange = peer.exchange('GET', '/keys', undefined, { timeoutMs });
    const turnsUntilSent = 5;
    for (let turn = 0; turn < turnsUntilSent; turn++) await nextTurn();
    keepBusy(3 * timeoutMs);
    assert.equal((await exchange).status, 200);
  });

  test('ends an exchange that gets no answer', async () => {
    const startedAt = performance.now();
    await assert.rejects(peer.exchange('GET', '/silent', undefined, { timeoutMs }), /no answer in time/);
    assert.ok(performance.now() - startedAt >= timeoutMs * 0.9);
  });
});
