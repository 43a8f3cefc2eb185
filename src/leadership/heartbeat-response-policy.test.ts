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

test('heartbeats are answered until leases can no longer expire before the deadline of a cancellation', () => {
  assert.equal(respondUntil(facts({})), 10_000 + 20_000 - 1250);
});

// Guards against the gap: a peer whose last contact was a moment after ours counted as agreeing, yet in that moment it had
// confirmed cancellations that nobody listed, and a controller without the store kept their tasks as long as the outage lasted.
test('they are answered longer only up to the moment for which every peer has listed its cancellations', () => {
  const peer = (cancellationsKnownUntil: number, storeContactAgeMs = 15_000): LastPeerStatus => ({
    notBefore: 26_000,
    storeContactAgeMs,
    cancellationsKnownUntil,
  });
  const until = (...peers: (LastPeerStatus | undefined)[]): number => respondUntil(facts({ peers }));
  assert.equal(until(peer(25_000), peer(26_000)), 25_000 + 18_750);
  // Whether the store serves it says nothing: what it confirmed is on its list.
  assert.equal(until(peer(25_000), peer(26_000, 100)), 25_000 + 18_750);
  // It was heard, but its list had a gap, as in a new incarnation; or it has never been heard.
  assert.equal(until(peer(25_000), peer(-Infinity)), 28_750);
  assert.equal(until(peer(25_000), undefined), 28_750);
  // The other one has been cut off since: its status grows old, and with it the permission to answer.
  assert.equal(until(peer(25_000), peer(12_000)), 12_000 + 18_750);
  assert.equal(until(peer(9000), peer(8000)), 28_750);
});

test('a controller that alone is without the store stops answering once its lease has expired', () => {
  const served = { notBefore: 19_000, storeContactAgeMs: 100, cancellationsKnownUntil: 19_000 };
  assert.equal(peerHasStoreAfterLeaseExpiry(facts({ peers: [served, undefined] }), 6000), true);
  assert.equal(peerHasStoreAfterLeaseExpiry(facts({ now: 12_000, peers: [served, undefined] }), 6000), false);
  assert.equal(
    peerHasStoreAfterLeaseExpiry(facts({ peers: [{ ...served, storeContactAgeMs: 9000 }] }), 6000),
    false,
  );
});

/** A policy whose facts the test sets; `asked` counts how often the peers were consulted. */
function policy(change: Partial<ResponseFacts>): { mayRespond: boolean; asked: number } {
  const given = facts(change);
  let asked = 0;
  const responsePolicy = new HeartbeatResponsePolicy({
    clock: () => given.now,
    times: given,
    peers: ['k1', 'k2'],
    leaseTtlMs: 6000,
    changesKnownUntil: () => given.changesKnownUntil,
    lastStoreContactAt: () => given.lastStoreContactAt,
    lastPeerStatus: (label) => {
      asked++;
      return given.peers[label === 'k1' ? 0 : 1];
    },
  });
  return { mayRespond: responsePolicy.mayRespond(), asked };
}

test('with the store within reach no peer is consulted', () => {
  assert.deepEqual(policy({ now: 16_000 }), { mayRespond: true, asked: 0 });
});

test('without the store the peers decide how long heartbeats are answered', () => {
  const listed = { notBefore: 14_000, storeContactAgeMs: 4000, cancellationsKnownUntil: 14_000 };
  const served = { ...listed, notBefore: 19_000, storeContactAgeMs: 100 };
  assert.equal(policy({ now: 28_750 }).mayRespond, true);
  assert.equal(policy({ now: 28_751 }).mayRespond, false);
  assert.equal(policy({ now: 32_750, peers: [listed, listed] }).mayRespond, true);
  assert.equal(policy({ now: 32_751, peers: [listed, listed] }).mayRespond, false);
  assert.equal(policy({ now: 20_000, peers: [listed, served] }).mayRespond, false);
});
