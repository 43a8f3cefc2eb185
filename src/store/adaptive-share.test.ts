import assert from 'node:assert/strict';
import { test } from 'node:test';

import { AdaptiveShare, type PacedCommit } from './adaptive-share.js';

// If each controller's share of the write limit were fixed, submissions at one controller would wait although
// the other controllers leave their shares unused.
test('the share grows while users wait, shrinks while no user waits, and halves on a refusal', () => {
  const adaptiveShare = new AdaptiveShare(0);
  const factorAfter = (commit: PacedCommit, times: number, startMs: number): number => {
    for (let i = 1; i <= times; i++) adaptiveShare.recordCommit(commit, startMs + i * 1000);
    return adaptiveShare.factor;
  };
  assert.equal(factorAfter({ refused: false, waited: false }, 5, 0), 1);
  assert.equal(factorAfter({ refused: false, waited: true }, 2, 5000), 2);
  assert.equal(factorAfter({ refused: false, waited: true }, 60, 9000), 4);
  assert.equal(factorAfter({ refused: false, waited: false }, 10, 69_000).toFixed(1), '3.0');
  assert.equal(factorAfter({ refused: false, waited: true }, 2, 79_000).toFixed(1), '4.0');
  assert.equal(factorAfter({ refused: true, waited: true }, 1, 81_000).toFixed(1), '2.0');
  assert.equal(factorAfter({ refused: true, waited: false }, 9, 82_000), 1);
});

// The state service lowers its limits, as announced in the settings. If a controller kept its previous write
// rate, the service would refuse its commits forever.
test('if lower limits are announced, refusals reduce the share below the even share, and the share recovers slowly', () => {
  const adaptiveShare = new AdaptiveShare(0, 0.7);
  for (let i = 0; i < 3; i++) adaptiveShare.recordCommit({ refused: true, waited: false }, i * 100);
  assert.equal(adaptiveShare.factor.toFixed(3), '0.729');
  for (let i = 0; i < 9; i++) adaptiveShare.recordCommit({ refused: true, waited: true }, 1000 + i * 100);
  assert.equal(adaptiveShare.factor, 0.7);
  for (let i = 0; i < 10; i++) adaptiveShare.recordCommit({ refused: false, waited: true }, 3000 + i * 1000);
  const recovered: number = adaptiveShare.factor;
  assert.ok(recovered > 0.75 && recovered < 0.85);
  for (let i = 0; i < 60; i++)
    adaptiveShare.recordCommit({ refused: false, waited: false }, 20_000 + i * 1000);
  assert.equal(adaptiveShare.factor, 1);
});
