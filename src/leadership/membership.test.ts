import assert from 'node:assert/strict';
import { test } from 'node:test';
import { isDeepStrictEqual } from 'node:util';

import { silentLog } from '../base/log.js';
import { aliveRecord, formatRecord } from '../wire/controller-records.js';
import type { Write } from '../wire/state.js';
import { controllerLeaseTtlMs, Membership } from './membership.js';

/** A membership with a lease of 40 ms and a store whose responses the test sets. */
class MembershipUnderTest {
  readonly requests: string[] = [];
  readonly writes: Write[] = [];
  isRenewed: () => Promise<boolean> = () => Promise.resolve(true);
  isRevoked: () => Promise<void> = () => Promise.resolve();
  readonly stored = new Map<string, { value: unknown; version: number }>();
  now = 0;
  readonly stop = new AbortController();
  readonly membership = new Membership({
    clock: () => this.now,
    log: silentLog,
    store: {
      createLease: (ttlMs) => {
        this.requests.push(`create ${ttlMs}`);
        return Promise.resolve(3);
      },
      renewLease: (id) => {
        this.requests.push(`renew ${id}`);
        return this.isRenewed();
      },
      revokeLease: (id) => {
        this.requests.push(`revoke ${id}`);
        return this.isRevoked();
      },
    },
    commits: {
      commit: (_conditions, writes) => {
        this.writes.push(...writes);
        return Promise.resolve({ kind: 'applied', revision: 1 });
      },
    },
    replica: {
      ready: true,
      get: (key) => this.stored.get(key),
      version: (key) => this.stored.get(key)?.version ?? 0,
    },
    label: 'k0',
    zone: 'a',
    incarnation: 'mine',
    leaseTtlMs: 40,
  });

  async waitUntil(condition: () => boolean): Promise<void> {
    while (!condition()) await new Promise((resolve) => setTimeout(resolve, 2));
  }
}

const announcement: Write = {
  put: 'alive/k0',
  value: aliveRecord({ incarnation: 'mine', zone: 'a' }),
  lease: 3,
};

test('the time to live of a lease is a multiple of the heartbeat interval', () => {
  assert.equal(
    controllerLeaseTtlMs({ heartbeatIntervalMs: 2500 }, { leadership: { leaseHeartbeats: 2.4 } }),
    6000,
  );
});

test('a lease is renewed until the store reports that the lease has ended', async () => {
  const fixture = new MembershipUnderTest();
  const running = fixture.membership.run(fixture.stop.signal);
  await fixture.waitUntil(() => fixture.requests.length >= 3);
  assert.equal(fixture.membership.leaseId, 3);
  assert.deepEqual(fixture.requests.slice(0, 3), ['create 40', 'renew 3', 'renew 3']);
  fixture.isRenewed = () => Promise.resolve(false);
  await running;
  assert.equal(fixture.membership.leaseId, undefined);
});

test('renewals continue if previous renewals have got no response or have failed', async () => {
  const fixture = new MembershipUnderTest();
  fixture.isRenewed = () => new Promise(() => undefined);
  const running = fixture.membership.run(fixture.stop.signal);
  await fixture.waitUntil(() => fixture.requests.length >= 3);
  fixture.isRenewed = () => Promise.reject(new Error('no answer'));
  const requestsBefore = fixture.requests.length;
  await fixture.waitUntil(() => fixture.requests.length >= requestsBefore + 2);
  assert.equal(fixture.membership.leaseId, 3);
  fixture.stop.abort();
  await running;
});

test('the alive key is bound to the lease and is written again if the replica contains the key of another incarnation; a missing format key is written', async () => {
  const fixture = new MembershipUnderTest();
  const value = aliveRecord({ incarnation: 'earlier', zone: 'a' });
  fixture.stored.set('alive/k0', { value, version: 1 });
  fixture.stored.set('formats/k0', { value: formatRecord(), version: 1 });
  const running = fixture.membership.run(fixture.stop.signal);
  await fixture.waitUntil(() => fixture.writes.length >= 2);
  assert.deepEqual(fixture.writes.slice(0, 2), [announcement, announcement]);
  fixture.stored.set('alive/k0', { value: announcement.value, version: 2 });
  fixture.stored.delete('formats/k0');
  const format = { put: 'formats/k0', value: formatRecord() };
  await fixture.waitUntil(() => fixture.writes.some((write) => isDeepStrictEqual(write, format)));
  fixture.stop.abort();
  await running;
});

test('a controller that resigns revokes its lease and requests no new lease for the given time, even if the revocation fails', async () => {
  const fixture = new MembershipUnderTest();
  fixture.isRevoked = () => Promise.reject(new Error('no answer'));
  const running = fixture.membership.run(fixture.stop.signal);
  await fixture.waitUntil(() => fixture.membership.leaseId !== undefined);
  fixture.membership.resign(60_000);
  assert.equal(fixture.membership.leaseId, undefined);
  assert.equal(fixture.requests.at(-1), 'revoke 3');
  await running;
  const waiting = fixture.membership.run(fixture.stop.signal);
  await new Promise((resolve) => setTimeout(resolve, 10));
  fixture.stop.abort();
  await waiting;
  assert.equal(fixture.requests.at(-1), 'revoke 3');
  fixture.now = 60_000;
  const nextStop = new AbortController();
  const secondRun = fixture.membership.run(nextStop.signal);
  await fixture.waitUntil(() => fixture.membership.leaseId !== undefined);
  nextStop.abort();
  await secondRun;
});
