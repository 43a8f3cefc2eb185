/** Tests how the cloud client maps HTTP responses, and missing responses, to results and errors. */
import assert from 'node:assert/strict';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';

import { testSettings } from '../testing/settings.js';
import { encode } from '../wire/codec.js';
import { CloudClient } from './client.js';
import { CloudConnectionError, CloudStatusError } from './errors.js';

function clientOf(port: number): CloudClient {
  const settings = { ...testSettings(), cloudAddress: `127.0.0.1:${port}` };
  return new CloudClient({ settings, clock: () => 0, signal: new AbortController().signal });
}

async function serve(status: number, body: unknown): Promise<Server> {
  const server = createServer((_request, response) => response.writeHead(status).end(encode(body)));
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return server;
}

const portOf = (server: Server): number => (server.address() as AddressInfo).port;

test('if the cloud refuses a list request, the request throws an error with the operation and the HTTP status', async () => {
  const server = await serve(503, {});
  const client = clientOf(portOf(server));
  await assert.rejects(client.machineTypes(), (error) => {
    assert.ok(error instanceof CloudStatusError);
    assert.deepEqual([error.operation, error.status], ['machine types', 503]);
    return true;
  });
  await assert.rejects(client.listMachines(), { name: 'CloudStatusError', operation: 'machine list' });
  server.close();
});

test('if no connection to the cloud can be opened, list requests throw an error with the cause, and the result of a rental is unknown', async () => {
  const server = await serve(200, {});
  const client = clientOf(portOf(server));
  await new Promise((resolve) => server.close(resolve));
  await assert.rejects(client.machineTypes(), (error) => {
    assert.ok(error instanceof CloudConnectionError);
    assert.equal((error.cause as NodeJS.ErrnoException).code, 'ECONNREFUSED');
    return true;
  });
  assert.deepEqual(await client.rent('small', 'a', false, 1), { kind: 'unknown' });
  assert.equal(await client.release(['m-1']), false);
});

for (const [status, body, kind] of [
  [200, { hosts: ['m-1'] }, 'rented'],
  [503, { error: 'no capacity' }, 'no-capacity'],
  [503, { error: 'trouble' }, 'busy'],
  [429, {}, 'busy'],
  [500, {}, 'unknown'],
] as const) {
  test(`a rental response with status ${status} and body ${JSON.stringify(body)} has the result ${kind}`, async () => {
    const server = await serve(status, body);
    const outcome = await clientOf(portOf(server)).rent('small', 'a', false, 1);
    assert.equal(outcome.kind, kind);
    server.close();
  });
}
