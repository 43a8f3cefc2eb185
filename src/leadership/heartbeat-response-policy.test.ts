import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { LastPeerStatus } from '../peers/peer-links.js';
import {
  HeartbeatResponsePolicy,
  peerHasStoreAfterLeaseExpiry,
  respondUntil,
  type ResponseFacts,
} from './heartbeat-response-policy.js';

const facts = (change: Partial<ResponseFacts>): ResponseFacts => ({
  now: 20_000,
  changesKnownUntil: 10_000,
  lastStoreContactAt: 10_000,
  cancelDeadlineMs: 34_000,
  workerLeaseMs: 14_000,
  heartbeatIntervalMs: 2500,
  peers: [undefined, undefined],
  ...change,
});

test('heartbeats are no longer answered if the renewed worker lease could expire after the deadline of a cancellation', () => {
  assert.equal(respondUntil(facts({})), 10_000 + 20_000 - 1250);
});

// Guards against tasks that keep running after their job was cancelled. A controller lost contact with the
// store, and a peer's last contact was slightly later than its own. Because of the later contact, the
// controller answered heartbeats for longer. But the peer had confirmed cancellations between the two
// contacts, and no status listed them. The controller therefore kept the tasks of these jobs running for the
// whole outage.
test('heartbeats may be answered for longer only if every peer has listed its cancellations up to a later time than the replica covers', () => {
  const peer = (cancellationsKnownUntil: number, storeContactAgeMs = 15_000): LastPeerStatus => ({
    createdNotBefore: 26_000,
    storeContactAgeMs,
    cancellationsKnownUntil,
  });
  const until = (...peers: (LastPeerStatus | undefined)[]): number => respondUntil(facts({ peers }));
  assert.equal(until(peer(25_000), peer(26_000)), 25_000 + 18_750);
  // The time since the peer's contact with the store makes no difference, because the list of the peer
  // contains all cancellations that the peer has confirmed.
  assert.equal(until(peer(25_000), peer(26_000, 100)), 25_000 + 18_750);
  // The list in the status of the second peer had a gap, as after a process restart.
  assert.equal(until(peer(25_000), peer(-Infinity)), 28_750);
  // No status of the second peer has been received.
  assert.equal(until(peer(25_000), undefined), 28_750);
  // The second peer has been partitioned since its latest status. The time that this status covers limits the
  // extension.
  assert.equal(until(peer(25_000), peer(12_000)), 12_000 + 18_750);
  assert.equal(until(peer(9000), peer(8000)), 28_750);
});

test('a controller stops answering after its lease in the store has expired if a peer has had contact with the store since', () => {
  const served = { createdNotBefore: 19_000, storeContactAgeMs: 100, cancellationsKnownUntil: 19_000 };
  assert.equal(peerHasStoreAfterLeaseExpiry(facts({ peers: [served, undefined] }), 6000), true);
  assert.equal(peerHasStoreAfterLeaseExpiry(facts({ now: 12_000, peers: [served, undefined] }), 6000), false);
  assert.equal(
    peerHasStoreAfterLeaseExpiry(facts({ peers: [{ ...served, storeContactAgeMs: 9000 }] }), 6000),
    false,
  );
});

/**
 * Returns whether a policy allows a response under the given facts, and how often the policy has read the
 * status of a peer.
 */
function policy(change: Partial<ResponseFacts>): { mayRespond: boolean; peerStatusReads: number } {
  const responseFacts = facts(change);
  let peerStatusReads = 0;
  const responsePolicy = new HeartbeatResponsePolicy({
    clock: () => responseFacts.now,
    times: responseFacts,
    peers: ['k1', 'k2'],
    leaseTtlMs: 6000,
    changesKnownUntil: () => responseFacts.changesKnownUntil,
    lastStoreContactAt: () => responseFacts.lastStoreContactAt,
    lastPeerStatus: (label) => {
      peerStatusReads++;
      return responseFacts.peers[label === 'k1' ? 0 : 1];
    },
  });
  return { mayRespond: responsePolicy.mayRespond(), peerStatusReads };
}

test('while the store is reachable, no peer status is read', () => {
  assert.deepEqual(policy({ now: 16_000 }), { mayRespond: true, peerStatusReads: 0 });
});

test('without contact with the store, the latest peer statuses determine how long heartbeats are answered', () => {
  const listed = { createdNotBefore: 14_000, storeContactAgeMs: 4000, cancellationsKnownUntil: 14_000 };
  const served = { ...listed, createdNotBefore: 19_000, storeContactAgeMs: 100 };
  assert.equal(policy({ now: 28_750 }).mayRespond, true);
  assert.equal(policy({ now: 28_751 }).mayRespond, false);
  assert.equal(policy({ now: 32_750, peers: [listed, listed] }).mayRespond, true);
  assert.equal(policy({ now: 32_751, peers: [listed, listed] }).mayRespond, false);
  assert.equal(policy({ now: 20_000, peers: [listed, served] }).mayRespond, false);
});
