import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { LastPeerStatus } from '../peers/peer-links.js';
import { isOutageForAllControllers } from './store-outage.js';

const now = 40_000;

/** A status that the peer created at most `statusAgeMs` ago, `contactAgeMs` after its contact with the store. */
function peer(statusAgeMs: number, contactAgeMs: number): LastPeerStatus {
  return {
    createdNotBefore: now - statusAgeMs,
    storeContactAgeMs: contactAgeMs,
    cancellationsKnownUntil: -Infinity,
  };
}

function isOutage(...peers: (LastPeerStatus | undefined)[]): boolean {
  const times = { lastStoreContactAt: 10_000, leaseTtlMs: 6000, heartbeatIntervalMs: 2500 };
  return isOutageForAllControllers({ now, ...times, peers });
}

// Guards against the release of machines by a controller that only it is refused by the store: another
// controller may own the machines by then.
test('the store is down for all only if every peer has recently stated so', () => {
  const refused = peer(500, 24_000);
  assert.equal(isOutage(refused, refused), true);
  assert.equal(isOutage(refused, undefined), false);
  assert.equal(isOutage(refused, peer(5001, 24_000)), false);
  // The store served the second peer after this controller's lease may have expired.
  assert.equal(isOutage(refused, peer(500, 23_999)), false);
});
