import assert from 'node:assert/strict';
import { test } from 'node:test';

import { Term } from '../leadership/term.js';
import { outcomeRecord } from '../wire/job-records.js';
import type { PeerStatus } from '../wire/peer-status.js';
import { PeerStatusHandler } from './peer-status-handler.js';

const status: PeerStatus = {
  from: 'k1',
  incarnation: 'theirs',
  sequence: 1,
  echoedSequence: 0,
  echoedIncarnation: '',
  storeRevision: 40,
  storeContactAgeMs: 0,
  fencingToken: 7,
  terminatedMachines: ['vm-1'],
  bootedMachines: ['vm-2'],
  cancelledSince: 30,
  cancelled: [['req-000001', 35]],
};

/** Applies `status` during a term with this fencing token and records the resulting calls. */
function apply(fencingToken: number): { calls: unknown[]; term: Term } {
  const calls: unknown[] = [];
  const term = new Term(fencingToken, 0);
  const handler = new PeerStatusHandler({
    bootedMachines: { markBooted: (machines) => calls.push(['booted', ...machines]) },
    leaderDuties: { markTerminated: (machines) => calls.push(['terminated', ...machines]) },
    term: () => term,
    replica: { recordOutcome: (key, entry) => calls.push([key, entry]) },
  });
  handler.apply(status);
  return { calls, term };
}

test('machine events and cancellations in the status of a peer are recorded', () => {
  const value = outcomeRecord({ outcome: 'cancelled', tasks: 0 });
  assert.deepEqual(apply(8).calls, [
    ['booted', 'vm-2'],
    ['terminated', 'vm-1'],
    ['end/req-000001', { value, version: 35 }],
  ]);
});

test('the term ends when a peer sends a status with a higher fencing token', () => {
  assert.deepEqual(apply(6).term.endReason, { kind: 'superseded', by: 'k1' });
  assert.equal(apply(7).term.endReason, undefined);
});
