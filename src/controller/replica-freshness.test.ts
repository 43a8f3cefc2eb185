import assert from 'node:assert/strict';
import { test } from 'node:test';

import { ReplicaFreshness } from './replica-freshness.js';

interface FreshnessInputs {
  now: number;
  /** Monotonic time in ms at which the store last served this controller. */
  contactAt?: number;
  failing?: boolean;
}

/**
 * Creates the freshness of a replica at revision 40, which contains all changes made before 10,000 ms. The
 * heartbeat interval is 2500 ms.
 */
function createFreshness({ now, contactAt = now, failing = false }: FreshnessInputs): ReplicaFreshness {
  return new ReplicaFreshness({
    clock: () => now,
    store: {
      failing,
      knownUntil: (revision) => (revision === 40 ? 10_000 : Infinity),
      contactAgeMs: (at) => at - contactAt,
    },
    replica: { revision: 40 },
    settings: { heartbeatIntervalMs: 2500, cancelDeadlineMs: 34_000 },
    leaseTtlMs: 6000,
  });
}

test('the time up to which all changes are known is derived from the revision of the replica', () => {
  assert.equal(createFreshness({ now: 20_000 }).changesKnownUntil, 10_000);
});

test('tasks may start while the replica is less than two heartbeat intervals old and the store is not failing', () => {
  assert.equal(createFreshness({ now: 14_999 }).mayStartTasks(), true);
  assert.equal(createFreshness({ now: 15_000 }).mayStartTasks(), false);
  assert.equal(createFreshness({ now: 14_999, failing: true }).mayStartTasks(), false);
});

test('cancellations count as known while the replica is less than a quarter of the cancellation deadline old', () => {
  assert.equal(createFreshness({ now: 18_499, failing: true }).knowsCancellations(), true);
  assert.equal(createFreshness({ now: 18_500 }).knowsCancellations(), false);
});

test('the store is reachable if it is not failing and its last contact is within the time to live of the lease', () => {
  assert.equal(createFreshness({ now: 50_000, contactAt: 44_001 }).isStoreReachable(), true);
  assert.equal(createFreshness({ now: 50_000, contactAt: 44_000 }).isStoreReachable(), false);
  assert.equal(createFreshness({ now: 50_000, failing: true }).isStoreReachable(), false);
});
