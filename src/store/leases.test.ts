import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { Answer } from '../base/http.js';
import { Leases } from './leases.js';
import type { StoreRequest } from './store-connection.js';

/** Leases whose requests are answered with a status, and the requests in the order that they were sent. */
function createLeases(status: number): { leases: Leases; sent: string[] } {
  const sent: string[] = [];
  const send =
    (how: string) =>
    (_trafficClass: string, { method, path }: StoreRequest): Promise<Answer> => {
      sent.push(`${how} ${method} ${path}`);
      return Promise.resolve({ status, body: { tenure: 5 } });
    };
  const leases = new Leases(
    { sendInTurn: send('in turn'), sendAhead: send('ahead') },
    { sendAhead: send('renewal') },
  );
  return { leases, sent };
}

test('a lease is created in turn, renewed on connections of its own and revoked ahead of other requests', async () => {
  const { leases, sent } = createLeases(200);
  assert.equal(await leases.createLease(6000), 5);
  assert.equal(await leases.renewLease(5), true);
  await leases.revokeLease(5);
  assert.deepEqual(sent, ['in turn POST /grants', 'renewal POST /grants/5/touch', 'ahead DELETE /grants/5']);
});

test('a renewal tells an expired lease from a service that does not say', async () => {
  assert.equal(await createLeases(404).leases.renewLease(5), false);
  const failure = { name: 'StoreStatusError', operation: 'renew-lease', status: 503 };
  await assert.rejects(createLeases(503).leases.renewLease(5), failure);
});

test('a lease that was not created is an error that names the status', async () => {
  const failure = { name: 'StoreStatusError', operation: 'create-lease', status: 429 };
  await assert.rejects(createLeases(429).leases.createLease(6000), failure);
});
