import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { HttpResponse } from '../base/http.js';
import { Leases } from './leases.js';
import type { StoreRequest } from './store-connection.js';

/**
 * Creates a lease client whose requests are all answered with `status`, and records the requests in the order
 * in which they are sent.
 */
function createLeases(status: number): { leases: Leases; sent: string[] } {
  const sent: string[] = [];
  const send =
    (sendMode: string) =>
    (_trafficClass: string, { method, path }: StoreRequest): Promise<HttpResponse> => {
      sent.push(`${sendMode} ${method} ${path}`);
      return Promise.resolve({ status, body: { tenure: 5 } });
    };
  const leases = new Leases(
    { sendPaced: send('in turn'), sendImmediately: send('ahead') },
    { sendImmediately: send('renewal') },
  );
  return { leases, sent };
}

test('creations are paced, renewals use separate connections, and revocations are sent immediately', async () => {
  const { leases, sent } = createLeases(200);
  assert.equal(await leases.createLease(6000), 5);
  assert.equal(await leases.renewLease(5), true);
  await leases.revokeLease(5);
  assert.deepEqual(sent, ['in turn POST /grants', 'renewal POST /grants/5/touch', 'ahead DELETE /grants/5']);
});

test('a renewal returns false for an expired lease, and throws if the answer gives no result', async () => {
  assert.equal(await createLeases(404).leases.renewLease(5), false);
  const failure = { name: 'StoreStatusError', operation: 'renew-lease', status: 503 };
  await assert.rejects(createLeases(503).leases.renewLease(5), failure);
});

test('a refused lease creation throws an error with the HTTP status', async () => {
  const failure = { name: 'StoreStatusError', operation: 'create-lease', status: 429 };
  await assert.rejects(createLeases(429).leases.createLease(6000), failure);
});
