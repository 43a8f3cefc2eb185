import assert from 'node:assert/strict';
import { test } from 'node:test';

import { ServiceHealth } from './service-health.js';

interface HealthInputs {
  ready?: boolean;
  hasMachineTypes?: boolean;
  contactAgeMs?: number;
  /**
   * Time in ms since the last contact with the store, as reported by each peer. Undefined if no status of the
   * peer was received.
   */
  peerContactAgesMs?: (number | undefined)[];
}

/**
 * Returns the health of a controller whose lease in the store lasts 6 s. After 2 s without contact, a
 * controller counts as cut off from the store.
 */
function isServing({
  ready = true,
  hasMachineTypes = true,
  contactAgeMs = 0,
  peerContactAgesMs = [0, 0],
}: HealthInputs): boolean {
  const health = new ServiceHealth({
    clock: () => 0,
    store: { contactAgeMs: () => contactAgeMs },
    replica: { ready },
    hasMachineTypes: () => hasMachineTypes,
    peers: ['0', '1'],
    lastPeerStatus: (label) => {
      const storeContactAgeMs = peerContactAgesMs[Number(label)];
      if (storeContactAgeMs === undefined) return undefined;
      return { createdNotBefore: 0, storeContactAgeMs, cancellationsKnownUntil: 0 };
    },
    leaseTtlMs: 6000,
  });
  return health.isServing();
}

test('users are served after the replica is loaded and the machine types are known', () => {
  assert.equal(isServing({}), true);
  assert.equal(isServing({ ready: false }), false);
  assert.equal(isServing({ hasMachineTypes: false }), false);
});

test('a controller that is cut off from the store is unhealthy while a peer still has contact', () => {
  assert.equal(isServing({ contactAgeMs: 1999 }), true);
  assert.equal(isServing({ contactAgeMs: 2000 }), false);
  assert.equal(isServing({ contactAgeMs: 2000, peerContactAgesMs: [2000, 1999] }), false);
});

test('a controller stays healthy if all peers are cut off from the store too, or have sent no status', () => {
  assert.equal(isServing({ contactAgeMs: 60_000, peerContactAgesMs: [2000, 60_000] }), true);
  assert.equal(isServing({ contactAgeMs: 60_000, peerContactAgesMs: [undefined, 2000] }), true);
});
