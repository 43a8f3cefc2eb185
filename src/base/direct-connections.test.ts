import assert from 'node:assert/strict';
import { connect, type Socket } from 'node:net';
import { test } from 'node:test';

import { waitUntil } from '../testing/wait-until.js';
import { encode } from '../wire/codec.js';
import { monotonicClock } from './clock.js';
import { ConnectionLoad } from './connection-load.js';
import { type RequestHandler, serveHttp } from './http-server.js';
import { silentLog } from './log.js';
import { type FastPathRoute, type Reply, send } from './replies.js';
import { UnfinishedBodies } from './request-body.js';

const port = 26_100;

interface Client {
  socket: Socket;
  send: (bytes: Buffer | string) => void;
  /**
   * Waits until at least `answers` responses have arrived or the connection is closed, and resolves with all
   * text received so far. Rejects if neither happens before the time-out.
   */
  receive: (answers: number) => Promise<string>;
  /** Waits until the connection is closed and resolves with all text received. Rejects on time-out. */
  receiveUntilClosed: () => Promise<string>;
}

function request(path: string, body: Buffer, extraHeaders = ''): Buffer {
  const head = `POST ${path} HTTP/1.1\r\nHost: x\r\nContent-Length: ${body.length}\r\n${extraHeaders}\r\n`;
  return Buffer.concat([Buffer.from(head), body]);
}

async function client(serverPort = port): Promise<Client> {
  const socket = connect(serverPort, '127.0.0.1');
  let text = '';
  let ended = false;
  socket.on('data', (bytes) => (text += bytes.toString('latin1')));
  socket.on('error', () => undefined);
  socket.on('close', () => (ended = true));
  await new Promise((resolve) => socket.once('connect', resolve));
  const receiveWhen = async (condition: () => boolean): Promise<string> => {
    await waitUntil(condition);
    return text;
  };
  return {
    socket,
    send: (bytes) => void socket.write(bytes),
    receive: (answers) => receiveWhen(() => ended || text.split('HTTP/1.1 ').length > answers),
    receiveUntilClosed: () => receiveWhen(() => ended),
  };
}

const statusesIn = (text: string): string[] =>
  [...text.matchAll(/HTTP\/1\.1 (\d+)/g)].map((match) => match[1] ?? '');

// If the fast path handled a request differently from Node's server, the client would get a different
// response. The test sends requests that arrive in one or several chunks, cannot be decoded, are too large,
// are pipelined, or belong to other routes.
test('heartbeats in one or several chunks and other requests on the same connection get a response', async () => {
  const stop = new AbortController();
  const bodies: unknown[] = [];
  let shouldHoldAnswers = false;
  const heldAnswers: (() => void)[] = [];
  const heartbeat: FastPathRoute = {
    method: 'POST',
    path: '/hello',
    queued: true,
    handle: (body, answer) => {
      bodies.push(body);
      if (body === 'fail') throw new Error('handler failure made by the test');
      const deliver = (): void => answer({ status: 200, body: { helm: 7 } });
      if (shouldHoldAnswers) heldAnswers.push(deliver);
      else setTimeout(deliver, 20);
    },
  };
  const health: FastPathRoute = {
    method: 'GET',
    path: '/up',
    handle: (_body, answer) => answer({ status: 200 }),
  };
  const users: RequestHandler = (_request, response) => send(response, { status: 404 });
  const loadHandler = (): Promise<RequestHandler> => Promise.resolve(users);
  const listen = {
    fastPathRoutes: [heartbeat, health],
    loadHandler,
    log: silentLog,
    onRefusal: () => undefined,
    unfinishedBodies: new UnfinishedBodies(1_000_000),
    host: '127.0.0.1',
    port,
  };
  const load = new ConnectionLoad(20);
  const served = serveHttp(
    { ...listen, clock: monotonicClock, load, idleTimeoutMs: 5000, turnBudgetMs: 50 },
    stop.signal,
  );

  const heartbeatRequest = request('/hello', encode({ host: 'vm-1' }));
  const worker = await client();
  worker.send(heartbeatRequest);
  await worker.receive(1);
  worker.send(heartbeatRequest);
  await worker.receive(2);
  worker.send(request('/hello', Buffer.from([0x82, 0xa1])));
  await worker.receive(3);
  worker.send('GET /up HTTP/1.1\r\nHost: x\r\n\r\n');
  await worker.receive(4);
  worker.send(request('/hello', encode('fail')));
  await worker.receive(5);
  worker.send(heartbeatRequest.subarray(0, 30));
  // The first chunk has arrived separately. From now on, Node's server serves the connection.
  await waitUntil(() => load.openConnections === 0);
  worker.send(heartbeatRequest.subarray(30));
  await worker.receive(6);
  worker.send(request('/v2/runs', encode({})));
  await worker.receive(7);
  worker.send(heartbeatRequest);
  assert.deepEqual(statusesIn(await worker.receive(8)), [
    '200',
    '200',
    '400',
    '200',
    '503',
    '200',
    '404',
    '200',
  ]);
  assert.deepEqual(bodies, [{ host: 'vm-1' }, { host: 'vm-1' }, 'fail', { host: 'vm-1' }, { host: 'vm-1' }]);

  const closing = await client();
  closing.send(request('/hello', encode({}), 'Connection: close\r\n'));
  assert.match(await closing.receive(2), /200 OK[^]*connection: close/i);

  const large = await client();
  large.send(request('/hello', Buffer.alloc(70_000)));
  assert.deepEqual(statusesIn(await large.receive(1)), ['413']);

  const pipelining = await client();
  shouldHoldAnswers = true;
  pipelining.send(heartbeatRequest);
  await waitUntil(() => heldAnswers.length === 1);
  pipelining.send(heartbeatRequest);
  assert.equal(await pipelining.receiveUntilClosed(), '');
  // The handler answers after the connection was closed. The second request never reached the handler.
  for (const deliver of heldAnswers) deliver();
  assert.equal(heldAnswers.length, 1);

  stop.abort();
  await served;
  for (const { socket } of [worker, closing, large, pipelining]) socket.destroy();
});

// One controller may serve more workers than its connection limit allows. If the server kept every connection
// open, it would refuse further connections at the limit. The heartbeats of the refused workers would be
// lost, and these workers would be marked as failed.
test('near the connection limit, the server closes connections after heartbeats but not after health checks', async () => {
  const stop = new AbortController();
  const answerImmediately = (_body: unknown, answer: (reply: Reply) => void): void => answer({ status: 200 });
  const heartbeat: FastPathRoute = {
    method: 'POST',
    path: '/hello',
    queued: true,
    handle: answerImmediately,
  };
  const health: FastPathRoute = { method: 'POST', path: '/up', handle: answerImmediately };
  const load = new ConnectionLoad(10);
  const listen = {
    host: '127.0.0.1',
    port: port + 1,
    fastPathRoutes: [heartbeat, health],
    log: silentLog,
    onRefusal: () => undefined,
    unfinishedBodies: new UnfinishedBodies(1_000_000),
    load,
  };
  const loadHandler = (): Promise<RequestHandler> =>
    Promise.reject(new Error('the handler of other requests must not be loaded'));
  const served = serveHttp(
    { ...listen, loadHandler, clock: monotonicClock, idleTimeoutMs: 5000, turnBudgetMs: 50 },
    stop.signal,
  );
  const clients = await Promise.all(Array.from({ length: 8 }, () => client(port + 1)));
  for (const openClient of clients) openClient.send(request('/up', encode({})));
  const checked = await Promise.all(clients.map((openClient) => openClient.receive(1)));
  for (const text of checked) assert.doesNotMatch(text, /connection: close/i);
  const [first, second] = clients;
  assert.ok(first && second);
  first.send(request('/hello', encode({})));
  assert.match(await first.receive(2), /connection: close/i);
  await waitUntil(() => load.openConnections <= 7);
  // After the first connection is closed, seven of ten connections are open, which is not above the
  // threshold.
  second.send(request('/hello', encode({})));
  assert.doesNotMatch(await second.receive(2), /connection: close/i);
  for (const { socket } of clients) socket.destroy();
  stop.abort();
  await served;
});
