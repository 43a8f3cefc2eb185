import assert from 'node:assert/strict';
import { createServer } from 'node:http';
import { type AddressInfo } from 'node:net';
import { test } from 'node:test';

import { monotonicClock } from '../base/clock.js';
import { testSettings } from '../testing/settings.js';
import { reply } from '../testing/store-standin.js';
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
  const client = new StoreClient(settings, monotonicClock, neverAborted);
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
