import assert from 'node:assert/strict';
import { type Socket, connect } from 'node:net';
import { test } from 'node:test';
import { tick } from '../testing/ticks.js';
import { encode } from '../wire/codec.js';
import { steadyClock } from './clock.js';
import { ConnectionLoad } from './connection-load.js';
import { silentLog } from './log.js';
import { type LeanRoute, type Reply, send } from './replies.js';
import { type RequestHandler, serveWeb } from './web.js';

const port = 26_100;

interface Client {
  socket: Socket;
  say: (bytes: Buffer | string) => void;
  /** Everything heard so far, once it is that many answers or the connection has ended; fails if that takes far too long. */
  heard: (answers: number) => Promise<string>;
  /** Everything heard until the connection ended; fails if that takes far too long. */
  heardUntilClosed: () => Promise<string>;
}

function request(path: string, body: Buffer, extra = ''): Buffer {
  const head = `POST ${path} HTTP/1.1\r\nHost: x\r\nContent-Length: ${body.length}\r\n${extra}\r\n`;
  return Buffer.concat([Buffer.from(head), body]);
}

async function client(at = port): Promise<Client> {
  const socket = connect(at, '127.0.0.1');
  let text = '';
  let ended = false;
  socket.on('data', (bytes) => (text += bytes.toString('latin1')));
  socket.on('error', () => undefined);
  socket.on('close', () => (ended = true));
  await new Promise((resolve) => socket.once('connect', resolve));
  const heardOnce = async (condition: () => boolean): Promise<string> => {
    await tick(condition);
    return text;
  };
  return {
    socket,
    say: (bytes) => void socket.write(bytes),
    heard: (answers) => heardOnce(() => ended || text.split('HTTP/1.1 ').length > answers),
    heardUntilClosed: () => heardOnce(() => ended),
  };
}

const statusesIn = (text: string): string[] =>
  [...text.matchAll(/HTTP\/1\.1 (\d+)/g)].map((match) => match[1] ?? '');

// Guards against a short path that answers anything else than the ordinary server would.
test('reports are answered whole or in pieces, and other requests on the same connection get their answers too', async () => {
  const stop = new AbortController();
  const bodies: unknown[] = [];
  let holdsAnswers = false;
  const heldAnswers: (() => void)[] = [];
  const hello: LeanRoute = {
    method: 'POST',
    path: '/hello',
    queued: true,
    handle: (body, answer) => {
      bodies.push(body);
      if (body === 'fail') throw new Error('as the test likes');
      const deliver = (): void => answer({ status: 200, body: { helm: 7 } });
      if (holdsAnswers) heldAnswers.push(deliver);
      else setTimeout(deliver, 20);
    },
  };
  const health: LeanRoute = {
    method: 'GET',
    path: '/up',
    handle: (_body, answer) => answer({ status: 200 }),
  };
  const users: RequestHandler = (_request, response) => send(response, { status: 404 });
  const loadHandler = (): Promise<RequestHandler> => Promise.resolve(users);
  const listen = { lean: [hello, health], loadHandler, log: silentLog, host: '127.0.0.1', port };
  const load = new ConnectionLoad(20);
  const served = serveWeb({ ...listen, clock: steadyClock, load, idleMs: 5000, sliceMs: 50 }, stop.signal);

  const report = request('/hello', encode({ host: 'vm-1' }));
  const worker = await client();
  worker.say(report);
  await worker.heard(1);
  worker.say(report);
  await worker.heard(2);
  worker.say(request('/hello', Buffer.from([0x82, 0xa1])));
  await worker.heard(3);
  worker.say('GET /up HTTP/1.1\r\nHost: x\r\n\r\n');
  await worker.heard(4);
  worker.say(request('/hello', encode('fail')));
  await worker.heard(5);
  worker.say(report.subarray(0, 30));
  // The first piece has arrived alone: from here on the ordinary server has the connection.
  await tick(() => load.open === 0);
  worker.say(report.subarray(30));
  await worker.heard(6);
  worker.say(request('/v2/runs', encode({})));
  await worker.heard(7);
  worker.say(report);
  assert.deepEqual(statusesIn(await worker.heard(8)), [
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
  closing.say(request('/hello', encode({}), 'Connection: close\r\n'));
  assert.match(await closing.heard(2), /200 OK[^]*connection: close/i);

  const large = await client();
  large.say(request('/hello', Buffer.alloc(70_000)));
  assert.deepEqual(statusesIn(await large.heard(1)), ['413']);

  const pipelining = await client();
  holdsAnswers = true;
  pipelining.say(report);
  await tick(() => heldAnswers.length === 1);
  pipelining.say(report);
  assert.equal(await pipelining.heardUntilClosed(), '');
  // What would have been the answer comes too late for the connection, and the second request was not carried out.
  for (const deliver of heldAnswers) deliver();
  assert.equal(heldAnswers.length, 1);

  stop.abort();
  await served;
  for (const { socket } of [worker, closing, large, pipelining]) socket.destroy();
});

// Guards against machines called silent where one controller serves more of them than it may have connections.
test('where connections are scarce, reports give theirs up, and health checks keep them', async () => {
  const stop = new AbortController();
  const answerAtOnce = (_body: unknown, answer: (reply: Reply) => void): void => answer({ status: 200 });
  const hello: LeanRoute = { method: 'POST', path: '/hello', queued: true, handle: answerAtOnce };
  const health: LeanRoute = { method: 'POST', path: '/up', handle: answerAtOnce };
  const load = new ConnectionLoad(10);
  const listen = { host: '127.0.0.1', port: port + 1, lean: [hello, health], log: silentLog, load };
  const loadHandler = (): Promise<RequestHandler> => Promise.reject(new Error('not asked for'));
  const served = serveWeb(
    { ...listen, loadHandler, clock: steadyClock, idleMs: 5000, sliceMs: 50 },
    stop.signal,
  );
  const clients = await Promise.all(Array.from({ length: 8 }, () => client(port + 1)));
  for (const one of clients) one.say(request('/up', encode({})));
  const checked = await Promise.all(clients.map((one) => one.heard(1)));
  for (const text of checked) assert.doesNotMatch(text, /connection: close/i);
  const [first, second] = clients;
  assert.ok(first && second);
  first.say(request('/hello', encode({})));
  assert.match(await first.heard(2), /connection: close/i);
  await tick(() => load.open <= 7);
  // With the first one gone, seven are no more than there may be.
  second.say(request('/hello', encode({})));
  assert.doesNotMatch(await second.heard(2), /connection: close/i);
  for (const { socket } of clients) socket.destroy();
  stop.abort();
  await served;
});
