import assert from 'node:assert/strict';
import { test } from 'node:test';

import { testSettings } from '../testing/settings.js';
import type { Member } from './block-registry.js';
import { LiveMembers } from './live-members.js';

const settings = testSettings();
const other: Member = { label: 'other', incarnation: 'b', zone: 'z' };

/**
 * Creates a `LiveMembers` whose clock and registry the test controls. `at` sets the time and the live
 * members, calls `update`, and returns the labels of the resulting members.
 */
function createFixture(): { members: LiveMembers; at: (ms: number, alive: Member[]) => string[] } {
  let now = 0;
  let alive: Member[] = [];
  const registry = { liveMembers: () => [...alive] };
  const members = new LiveMembers({ clock: () => now, settings, registry, incarnation: 'a' });
  const at = (ms: number, aliveMembers: Member[]): string[] => {
    now = ms;
    alive = aliveMembers;
    return members.update().map(({ label }) => label);
  };
  return { members, at };
}

test('the leader is listed as alive exactly once, whether or not its alive key is in the replica', () => {
  const { at } = createFixture();
  assert.deepEqual(at(0, [other]), ['other', settings.label]);
  const own = { label: settings.label, incarnation: 'a', zone: settings.zone };
  assert.deepEqual(at(1, [own]), [settings.label]);
});

test('a member is stable after it has been alive without interruption for more than a heartbeat interval', () => {
  const { members, at } = createFixture();
  const interval = settings.heartbeatIntervalMs;
  at(0, [other]);
  assert.equal(members.isStable('other'), false);
  at(interval, [other]);
  assert.equal(members.isStable('other'), false);
  at(interval + 1, [other]);
  assert.equal(members.isStable('other'), true);
  at(interval + 2, []);
  assert.equal(members.isStable('other'), false);
  at(interval + 3, [other]);
  assert.equal(members.isStable('other'), false);
});
