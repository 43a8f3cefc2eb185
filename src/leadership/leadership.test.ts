import assert from 'node:assert/strict';
import { test } from 'node:test';
import { silentLog } from '../base/log.js';
import { PeerLinks } from '../peers/links.js';
import { testSettings } from '../testing/settings.js';
import type { PeerStatus } from '../wire/peer-status.js';
import { type AnsweringFacts, type PeerWord, answerUntil, peerIsServed } from './answering.js';
import { mayStand } from './election.js';

const facts = (change: Partial<AnsweringFacts>): AnsweringFacts => ({
  now: 20_000,
  knownUntil: 10_000,
  lastContact: 10_000,
  cancelMs: 34_000,
  leaseMs: 14_000,
  reportMs: 2500,
  peers: [undefined, undefined],
  ...change,
});

test('reports are answered until the leases can no longer run out in time for a cancel', () => {
  assert.equal(answerUntil(facts({})), 10_000 + 20_000 - 1250);
});

// Guards against the gap: a peer whose last contact was a moment after ours counted as agreeing, yet in that moment it had
// confirmed cancels that nobody listed, and the blind controller kept their tasks for as long as the outage lasted.
test('they are answered longer only up to the moment for which every peer has listed its cancels', () => {
  const word = (vouchedUntil: number, contactAge = 15_000): PeerWord => ({
    notBefore: 26_000,
    contactAge,
    vouchedUntil,
  });
  const until = (...peers: (PeerWord | undefined)[]): number => answerUntil(facts({ peers }));
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
  const served = { notBefore: 19_000, contactAge: 100, vouchedUntil: 19_000 };
  assert.equal(peerIsServed(facts({ peers: [served, undefined] }), 6000), true);
  assert.equal(peerIsServed(facts({ now: 12_000, peers: [served, undefined] }), 6000), false);
  assert.equal(peerIsServed(facts({ peers: [{ ...served, contactAge: 9000 }] }), 6000), false);
});

test('an earlier life of the same controller does not keep a new one from leading', () => {
  assert.equal(mayStand(undefined, 'k0'), true);
  assert.equal(mayStand({ label: 'k0', boot: 'b1', serial: 1 }, 'k0'), true);
  assert.equal(mayStand({ label: 'k1', boot: 'b1', serial: 1 }, 'k0'), false);
});

// Guards against a cluster without a leader for ever: a candidacy that got no answer was carried out seconds later, when its
// candidate had long given it up, and the key hung on a grant that its living candidate kept renewing.
test('a candidacy that was carried out after it was given up does not keep its own candidate from leading', () => {
  assert.equal(mayStand({ label: 'k0', boot: 'b2', serial: 1 }, 'k0'), true);
});

/** Two ends of a link; `knows` is what our copy of the store has reached. */
function links(): { at: (now: number) => PeerLinks; knows: (revision: number) => void } {
  let now = 0;
  let knows = 40;
  const own = new PeerLinks({
    clock: () => now,
    log: silentLog,
    settings: testSettings(),
    boot: 'mine',
    onStatus: () => undefined,
    revision: () => knows,
    facts: () => ({ contactAge: 0, token: 0, gone: [], up: [] }),
    vouch: (revision) => ({ since: revision, cancelled: [] }),
  });
  const at = (time: number): PeerLinks => {
    now = time;
    return own;
  };
  return { at, knows: (revision) => void (knows = revision) };
}

const status: Omit<PeerStatus, 'serial' | 'echo'> = {
  from: 'keel-1',
  boot: 'theirs',
  token: 0,
  knows: 40,
  since: 40,
  cancelled: [],
  gone: [],
  up: [],
  contactAge: 40,
  echoBoot: 'mine',
};

test("a peer's word is dated by the echo of our own message, so one that was held back proves nothing new", () => {
  const { at } = links();
  const first = at(1000).compose('keel-1');
  at(9000).receive({ ...status, serial: 1, echo: first.serial });
  assert.deepEqual(at(9000).word('keel-1'), { notBefore: 1000, contactAge: 40, vouchedUntil: 1000 });
  const second = at(9000).compose('keel-1');
  assert.deepEqual([second.echo, second.echoBoot], [1, 'theirs']);
  at(9000).receive({ ...status, serial: 3, echo: second.serial, contactAge: 50 });
  at(9000).receive({ ...status, serial: 2, echo: first.serial, contactAge: 60 });
  assert.deepEqual(at(9000).word('keel-1'), { notBefore: 9000, contactAge: 50, vouchedUntil: 9000 });
  at(9000).receive({ ...status, from: 'stranger', serial: 9, echo: second.serial });
  assert.equal(at(9000).word('stranger'), undefined);
});

// Guards against a word for a span that does not reach back to what we know: in a new life of the peer, or after its list was cut.
test('a peer vouches only where its list reaches back to our own copy', () => {
  const { at, knows } = links();
  const echo = at(1000).compose('keel-1').serial;
  at(1500).receive({ ...status, serial: 1, echo });
  const later = at(2000).compose('keel-1').serial;
  at(2500).receive({ ...status, boot: 'next life', serial: 1, echo: later, since: 41 });
  assert.deepEqual(at(2500).word('keel-1'), { notBefore: 2000, contactAge: 40, vouchedUntil: 1000 });
  // Once our copy has reached what its new life read first, nothing is missing.
  knows(41);
  const last = at(3000).compose('keel-1').serial;
  at(3500).receive({ ...status, boot: 'next life', serial: 2, echo: last, since: 41 });
  assert.equal(at(3500).word('keel-1')?.vouchedUntil, 3000);
});
