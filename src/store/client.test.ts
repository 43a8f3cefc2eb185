import assert from 'node:assert/strict';
import { createServer } from 'node:http';
import { type AddressInfo } from 'node:net';
import { test } from 'node:test';

import { monotonicClock } from '../base/clock.js';
import type { Refusal } from '../base/refusals.js';
import { replyLimits } from '../base/reply-limits.js';
import { submissionWithInvalidText } from '../testing/malformed-messages.js';
import { testSettings } from '../testing/settings.js';
import { reply } from '../testing/store-standin.js';
import { encode } from '../wire/codec.js';
import { StoreClient } from './client.js';
import { StoreConnectionError } from './errors.js';

const neverAborted = new AbortController().signal;

// A network partition drops the open watch request of a controller. After the partition, the store serves
// other requests of the controller. If the watch were not restarted, the controller would receive no changes
// for seconds, and would not notice that its block has a new owner.
test('a watch request lost in a network partition is restarted when the store serves requests again', async () => {
  const statuses = [503, 200];
  const server = createServer((request, response) => {
    // The server never answers the watch request.
    if (request.url?.startsWith('/changes')) return;
    reply(response, statuses.shift() ?? 404, { path: 'sk/lead', value: 1, stamp: 1 });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const settings = { ...testSettings(), stateAddress: `127.0.0.1:${port}` };
  const client = new StoreClient({ settings, clock: monotonicClock, signal: neverAborted });
  const restarted = assert.rejects(client.watch(1), (error: unknown) => {
    assert.ok(error instanceof StoreConnectionError);
    assert.match(String(error.cause), /cancelled/);
    return true;
  });
  await assert.rejects(client.read('lead'), { name: 'StoreStatusError', operation: 'read', status: 503 });
  assert.equal(client.failing, true);
  assert.ok(await client.read('lead'));
  await restarted;
  server.closeAllConnections();
  server.close();
});

/** Starts a state service that sends these bytes as its answer to every request, and a client for it. */
async function clientOfFixedAnswer(
  answer: Buffer,
): Promise<{ client: StoreClient; refusals: Refusal[]; close: () => void }> {
  const server = createServer((_request, response) => response.end(answer));
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const settings = { ...testSettings(), stateAddress: `127.0.0.1:${port}` };
  const refusals: Refusal[] = [];
  const client = new StoreClient({
    settings,
    clock: monotonicClock,
    signal: neverAborted,
    onRefusal: (refusal) => refusals.push(refusal),
  });
  const close = (): void => {
    server.closeAllConnections();
    server.close();
  };
  return { client, refusals, close };
}

test('an answer with a stored record whose text is not valid UTF-8 is read', async () => {
  const record = submissionWithInvalidText('req-000601');
  const head = Buffer.concat([
    Buffer.from([0x83]),
    encode('path'),
    encode('sk/job/req-000601'),
    encode('stamp'),
  ]);
  const { client, close } = await clientOfFixedAnswer(
    Buffer.concat([head, encode(7), encode('value'), record]),
  );
  const item = await client.read('job/req-000601');
  assert.deepEqual([item?.key, item?.version], ['job/req-000601', 7]);
  assert.equal((item?.value as Record<string, unknown>)['id'], 'req-000601');
  close();
});

test('a watch whose answer is larger than the heap allows asks for all keys to be read again', async () => {
  const { maxBytes } = replyLimits();
  const { client, refusals, close } = await clientOfFixedAnswer(Buffer.alloc(maxBytes + 1, 0xc0));
  assert.equal(await client.watch(1), undefined);
  await assert.rejects(client.listPage('', '', 500), StoreConnectionError);
  assert.deepEqual(
    refusals.map(({ source, error }) => [source, error.reason]),
    [
      ['store', 'too-large'],
      ['store', 'too-large'],
    ],
  );
  close();
});

test('a commit whose answer is malformed is undecided', async () => {
  const { client, close } = await clientOfFixedAnswer(Buffer.from('dd02000000dd02000000', 'hex'));
  assert.deepEqual(await client.commit('duty', [], [{ put: 'a', value: 1 }]), { kind: 'unknown' });
  assert.equal(client.failing, true);
  close();
});
