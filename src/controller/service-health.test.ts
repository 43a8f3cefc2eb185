import assert from 'node:assert/strict';
import { test } from 'node:test';

import { ServiceHealth } from './service-health.js';

interface Situation {
  ready?: boolean;
  hasMachineTypes?: boolean;
  contactAgeMs?: number;
  /** How long each peer says that it has been without the store; undefined where it was never heard. */
  peerContactAgesMs?: (number | undefined)[];
}

/** Health with a lease of 6 s, so a controller counts as cut off from the store after 2 s. */
function isServing({
  ready = true,
  hasMachineTypes = true,
  contactAgeMs = 0,
  peerContactAgesMs = [0, 0],
}: Situation): boolean {
  const health = new ServiceHealth({
    clock: () => 0,
    store: { contactAgeMs: () => contactAgeMs },
    mirror: { ready },
    hasMachineTypes: () => hasMachineTypes,
    peers: ['0', '1'],
    lastPeerStatus: (label) => {
      const storeContactAgeMs = peerContactAgesMs[Number(label)];
      if (storeContactAgeMs === undefined) return undefined;
      return { notBefore: 0, storeContactAgeMs, cancellationsKnownUntil: 0 };
    },
    leaseTtlMs: 6000,
  });
  return health.isServing();
}

test('users are served once the replica is loaded and the types of machines are known', () => {
  assert.equal(isServing({}), true);
  assert.equal(isServing({ ready: false }), false);
  assert.equal(isServing({ hasMachineTypes: false }), false);
});

test('a controller that alone has lost the store sends users to its peers', () => {
  assert.equal(isServing({ contactAgeMs: 1999 }), true);
  assert.equal(isServing({ contactAgeMs: 2000 }), false);
  assert.equal(isServing({ contactAgeMs: 2000, peerContactAgesMs: [2000, 1999] }), false);
});

test('where all controllers have lost the store, or are silent, users stay', () => {
  assert.equal(isServing({ contactAgeMs: 60_000, peerContactAgesMs: [2000, 60_000] }), true);
  assert.equal(isServing({ contactAgeMs: 60_000, peerContactAgesMs: [undefined, 2000] }), true);
});
