import assert from 'node:assert/strict';
import { test } from 'node:test';
import { silentLog } from '../base/log.js';
import { PeerLinks } from '../peers/links.js';
import { testSettings } from '../testing/settings.js';
import { type AnsweringFacts, answerUntil, peerIsServed } from './answering.js';
import { mayStand } from './election.js';

const facts = (change: Partial<AnsweringFacts>): AnsweringFacts => ({
  ...{
    now: 20_000,
    lastContact: 10_000,
    cancelMs: 34_000,
    leaseMs: 14_000,
    reportMs: 2500,
    peers: [undefined, undefined],
  },
  ...change,
});

test('reports are answered until the leases can no longer run out in time for a cancel', () => {
  assert.equal(answerUntil(facts({})), 10_000 + 20_000 - 1250);
});

test('they are answered longer while every peer confirms that it has no contact either', () => {
  const blind = { notBefore: 25_000, contactAge: 15_000 };
  assert.equal(
    answerUntil(facts({ peers: [blind, { notBefore: 26_000, contactAge: 16_000 }] })),
    25_000 + 18_750,
  );
  // A peer that was served after our last contact may have confirmed a cancel that we know nothing of.
  assert.equal(answerUntil(facts({ peers: [blind, { notBefore: 26_000, contactAge: 100 }] })), 28_750);
  assert.equal(answerUntil(facts({ peers: [blind, undefined] })), 28_750);
});

test('a controller that alone is without the store lets its workers go', () => {
  const served = { notBefore: 19_000, contactAge: 100 };
  assert.equal(peerIsServed(facts({ peers: [served, undefined] }), 6000), true);
  assert.equal(peerIsServed(facts({ now: 12_000, peers: [served, undefined] }), 6000), false);
  assert.equal(peerIsServed(facts({ peers: [{ notBefore: 19_000, contactAge: 9000 }] }), 6000), false);
});

test('an earlier life of the same controller does not keep a new one from leading', () => {
  assert.equal(mayStand(undefined, 'k0', 'b2'), true);
  assert.equal(mayStand({ label: 'k0', boot: 'b1', serial: 1 }, 'k0', 'b2'), true);
  assert.equal(mayStand({ label: 'k0', boot: 'b2', serial: 1 }, 'k0', 'b2'), false);
  assert.equal(mayStand({ label: 'k1', boot: 'b1', serial: 1 }, 'k0', 'b2'), false);
});

test("a peer's word is dated by the echo of our own message, so one that was held back proves nothing new", () => {
  let now = 1000;
  const links = new PeerLinks({
    ...{
      clock: () => now,
      log: silentLog,
      settings: testSettings(),
      boot: 'mine',
      onStatus: () => undefined,
    },
    facts: () => ({ contactAge: 0, token: 0, cancelled: [], gone: [], up: [] }),
  });
  const first = links.compose('keel-1');
  now = 9000;
  const status = {
    from: 'keel-1',
    boot: 'theirs',
    token: 0,
    cancelled: [],
    gone: [],
    up: [],
    contactAge: 40,
    echoBoot: 'mine',
  };
  links.receive({ ...status, serial: 1, echo: first.serial });
  assert.deepEqual(links.word('keel-1'), { notBefore: 1000, contactAge: 40 });
  const second = links.compose('keel-1');
  assert.deepEqual([second.echo, second.echoBoot], [1, 'theirs']);
  links.receive({ ...status, serial: 3, echo: second.serial, contactAge: 50 });
  links.receive({ ...status, serial: 2, echo: first.serial, contactAge: 60 });
  assert.deepEqual(links.word('keel-1'), { notBefore: 9000, contactAge: 50 });
  links.receive({ ...status, from: 'stranger', serial: 9, echo: second.serial });
  assert.equal(links.word('stranger'), undefined);
});
