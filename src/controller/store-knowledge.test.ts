import assert from 'node:assert/strict';
import { test } from 'node:test';

import { StoreKnowledge } from './store-knowledge.js';

interface Situation {
  now: number;
  /** When the store last served us, by the steady clock. */
  contactAt?: number;
  failing?: boolean;
}

/** Knowledge of a replica at revision 40, which holds all changes before 10,000 ms; a heartbeat interval is 2500 ms. */
function knowledgeIn({ now, contactAt = now, failing = false }: Situation): StoreKnowledge {
  return new StoreKnowledge({
    clock: () => now,
    store: {
      failing,
      knownUntil: (revision) => (revision === 40 ? 10_000 : Infinity),
      contactAgeMs: (at) => at - contactAt,
    },
    mirror: { revision: 40 },
    settings: { heartbeatIntervalMs: 2500, cancelDeadlineMs: 34_000 },
    leaseTtlMs: 6000,
  });
}

test('the replica holds all changes up to the moment for its revision', () => {
  assert.equal(knowledgeIn({ now: 20_000 }).changesKnownUntil, 10_000);
});

test('tasks are started on knowledge younger than two heartbeat intervals, of a store that serves us', () => {
  assert.equal(knowledgeIn({ now: 14_999 }).mayStartTasks(), true);
  assert.equal(knowledgeIn({ now: 15_000 }).mayStartTasks(), false);
  assert.equal(knowledgeIn({ now: 14_999, failing: true }).mayStartTasks(), false);
});

test('cancellations count as known on knowledge younger than a quarter of their deadline', () => {
  assert.equal(knowledgeIn({ now: 18_499, failing: true }).knowsCancellations(), true);
  assert.equal(knowledgeIn({ now: 18_500 }).knowsCancellations(), false);
});

test('the store is reachable while it serves us within the time to live of a lease', () => {
  assert.equal(knowledgeIn({ now: 50_000, contactAt: 44_001 }).isStoreReachable(), true);
  assert.equal(knowledgeIn({ now: 50_000, contactAt: 44_000 }).isStoreReachable(), false);
  assert.equal(knowledgeIn({ now: 50_000, failing: true }).isStoreReachable(), false);
});
