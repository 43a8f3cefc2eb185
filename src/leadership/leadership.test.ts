import assert from 'node:assert/strict';
import { test } from 'node:test';
import { silentLog } from '../base/log.js';
import { PeerLinks } from '../peers/peer-links.js';
import { testSettings } from '../testing/settings.js';
import type { PeerStatus } from '../wire/peer-status.js';
import {
  type HeartbeatAnswerFacts,
  type LastPeerStatus,
  answerHeartbeatsUntil,
  peerHasStoreAfterLeaseExpiry,
} from './heartbeat-answering.js';

const facts = (change: Partial<HeartbeatAnswerFacts>): HeartbeatAnswerFacts => ({
  now: 20_000,
  changesKnownUntil: 10_000,
  lastStoreContactAt: 10_000,
  cancelDeadlineMs: 34_000,
  workerLeaseMs: 14_000,
  heartbeatIntervalMs: 2500,
  peers: [undefined, undefined],
  ...change,
});

test('reports are answered until the leases can no longer run out in time for a cancel', () => {
  assert.equal(answerHeartbeatsUntil(facts({})), 10_000 + 20_000 - 1250);
});

// Guards against the gap: a peer whose last contact was a moment after ours counted as agreeing, yet in that moment it had
// confirmed cancels that nobody listed, and the blind controller kept their tasks for as long as the outage lasted.
test('they are answered longer only up to the moment for which every peer has listed its cancels', () => {
  const word = (vouchedUntil: number, contactAge = 15_000): LastPeerStatus => ({
    notBefore: 26_000,
    storeContactAgeMs: contactAge,
    cancellationsKnownUntil: vouchedUntil,
  });
  const until = (...peers: (LastPeerStatus | undefined)[]): number => answerHeartbeatsUntil(facts({ peers }));
  assert.equal(until(word(25_000), word(26_000)), 25_000 + 18_750);
  // Whether the store serves it says nothing: what it confirmed is on its list.
  assert.equal(until(word(25_000), word(26_000, 100)), 25_000 + 18_750);
  // It was heard, but what it could say had a gap, as in a new life; or it has never been heard.
  assert.equal(until(word(25_000), word(-Infinity)), 28_750);
  assert.equal(until(word(25_000), undefined), 28_750);
  // The other one has been cut off since: its word grows old, and with it the right to answer.
  assert.equal(until(word(25_000), word(12_000)), 12_000 + 18_750);
  assert.equal(until(word(9000), word(8000)), 28_750);
});

test('a controller that alone is without the store lets its workers go', () => {
  const served = { notBefore: 19_000, storeContactAgeMs: 100, cancellationsKnownUntil: 19_000 };
  assert.equal(peerHasStoreAfterLeaseExpiry(facts({ peers: [served, undefined] }), 6000), true);
  assert.equal(peerHasStoreAfterLeaseExpiry(facts({ now: 12_000, peers: [served, undefined] }), 6000), false);
  assert.equal(
    peerHasStoreAfterLeaseExpiry(facts({ peers: [{ ...served, storeContactAgeMs: 9000 }] }), 6000),
    false,
  );
});

/** Two ends of a link; `knows` is what our copy of the store has reached. */
function links(): { at: (now: number) => PeerLinks; knows: (revision: number) => void } {
  let now = 0;
  let knows = 40;
  const own = new PeerLinks({
    clock: () => now,
    log: silentLog,
    settings: testSettings(),
    incarnation: 'mine',
    onStatus: () => undefined,
    storeRevision: () => knows,
    localStatus: () => ({
      storeContactAgeMs: 0,
      fencingToken: 0,
      terminatedMachines: [],
      bootedMachines: [],
    }),
    cancellationsSince: (revision) => ({ cancelledSince: revision, cancelled: [] }),
  });
  const at = (time: number): PeerLinks => {
    now = time;
    return own;
  };
  return { at, knows: (revision) => void (knows = revision) };
}

const status: Omit<PeerStatus, 'sequence' | 'echoedSequence'> = {
  from: 'keel-1',
  incarnation: 'theirs',
  fencingToken: 0,
  storeRevision: 40,
  cancelledSince: 40,
  cancelled: [],
  terminatedMachines: [],
  bootedMachines: [],
  storeContactAgeMs: 40,
  echoedIncarnation: 'mine',
};

test("a peer's word is dated by the echo of our own message, so one that was held back proves nothing new", () => {
  const { at } = links();
  const first = at(1000).compose('keel-1');
  at(9000).receive({ ...status, sequence: 1, echoedSequence: first.sequence });
  assert.deepEqual(at(9000).lastStatus('keel-1'), {
    notBefore: 1000,
    storeContactAgeMs: 40,
    cancellationsKnownUntil: 1000,
  });
  const second = at(9000).compose('keel-1');
  assert.deepEqual([second.echoedSequence, second.echoedIncarnation], [1, 'theirs']);
  at(9000).receive({ ...status, sequence: 3, echoedSequence: second.sequence, storeContactAgeMs: 50 });
  at(9000).receive({ ...status, sequence: 2, echoedSequence: first.sequence, storeContactAgeMs: 60 });
  assert.deepEqual(at(9000).lastStatus('keel-1'), {
    notBefore: 9000,
    storeContactAgeMs: 50,
    cancellationsKnownUntil: 9000,
  });
  at(9000).receive({ ...status, from: 'stranger', sequence: 9, echoedSequence: second.sequence });
  assert.equal(at(9000).lastStatus('stranger'), undefined);
});

// Guards against a word for a span that does not reach back to what we know: in a new life of the peer, or after its list was cut.
test('a peer vouches only where its list reaches back to our own copy', () => {
  const { at, knows } = links();
  const echo = at(1000).compose('keel-1').sequence;
  at(1500).receive({ ...status, sequence: 1, echoedSequence: echo });
  const later = at(2000).compose('keel-1').sequence;
  at(2500).receive({
    ...status,
    incarnation: 'next life',
    sequence: 1,
    echoedSequence: later,
    cancelledSince: 41,
  });
  assert.deepEqual(at(2500).lastStatus('keel-1'), {
    notBefore: 2000,
    storeContactAgeMs: 40,
    cancellationsKnownUntil: 1000,
  });
  // Once our copy has reached what its new life read first, nothing is missing.
  knows(41);
  const last = at(3000).compose('keel-1').sequence;
  at(3500).receive({
    ...status,
    incarnation: 'next life',
    sequence: 2,
    echoedSequence: last,
    cancelledSince: 41,
  });
  assert.equal(at(3500).lastStatus('keel-1')?.cancellationsKnownUntil, 3000);
});
