import assert from 'node:assert/strict';
import { test } from 'node:test';
import { isDeepStrictEqual } from 'node:util';

import { silentLog } from '../base/log.js';
import { aliveRecord, formatRecord } from '../wire/controller-records.js';
import type { Write } from '../wire/state.js';
import { controllerLeaseTtlMs, Membership } from './membership.js';

/** A membership with a lease of 40 ms whose store answers as the test says. */
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
    mirror: {
      ready: true,
      get: (key) => this.stored.get(key),
      version: (key) => this.stored.get(key)?.version ?? 0,
    },
    label: 'k0',
    zone: 'a',
    incarnation: 'mine',
    leaseTtlMs: 40,
  });

  async until(condition: () => boolean): Promise<void> {
    while (!condition()) await new Promise((resolve) => setTimeout(resolve, 2));
  }
}

const announcement: Write = {
  put: 'alive/k0',
  value: aliveRecord({ incarnation: 'mine', zone: 'a' }),
  lease: 3,
};

test('the time to live of a lease is counted in heartbeat intervals', () => {
  assert.equal(
    controllerLeaseTtlMs({ heartbeatIntervalMs: 2500 }, { leadership: { leaseHeartbeats: 2.4 } }),
    6000,
  );
});

test('a lease is renewed until the store says that it has ended', async () => {
  const test = new MembershipUnderTest();
  const running = test.membership.run(test.stop.signal);
  await test.until(() => test.requests.length >= 3);
  assert.equal(test.membership.leaseId, 3);
  assert.deepEqual(test.requests.slice(0, 3), ['create 40', 'renew 3', 'renew 3']);
  test.isRenewed = () => Promise.resolve(false);
  await running;
  assert.equal(test.membership.leaseId, undefined);
});

test('renewals go on while earlier ones are unanswered or have failed', async () => {
  const test = new MembershipUnderTest();
  test.isRenewed = () => new Promise(() => undefined);
  const running = test.membership.run(test.stop.signal);
  await test.until(() => test.requests.length >= 3);
  test.isRenewed = () => Promise.reject(new Error('no answer'));
  const before = test.requests.length;
  await test.until(() => test.requests.length >= before + 2);
  assert.equal(test.membership.leaseId, 3);
  test.stop.abort();
  await running;
});

test('its key is bound to the lease, and announced again where another incarnation has written it', async () => {
  const test = new MembershipUnderTest();
  const value = aliveRecord({ incarnation: 'earlier', zone: 'a' });
  test.stored.set('alive/k0', { value, version: 1 });
  test.stored.set('formats/k0', { value: formatRecord(), version: 1 });
  const running = test.membership.run(test.stop.signal);
  await test.until(() => test.writes.length >= 2);
  assert.deepEqual(test.writes.slice(0, 2), [announcement, announcement]);
  test.stored.set('alive/k0', { value: announcement.value, version: 2 });
  test.stored.delete('formats/k0');
  const format = { put: 'formats/k0', value: formatRecord() };
  await test.until(() => test.writes.some((write) => isDeepStrictEqual(write, format)));
  test.stop.abort();
  await running;
});

test('whoever resigns revokes the lease and asks for no other for as long, though the revocation fails', async () => {
  const test = new MembershipUnderTest();
  test.isRevoked = () => Promise.reject(new Error('no answer'));
  const running = test.membership.run(test.stop.signal);
  await test.until(() => test.membership.leaseId !== undefined);
  test.membership.resign(60_000);
  assert.equal(test.membership.leaseId, undefined);
  assert.equal(test.requests.at(-1), 'revoke 3');
  await running;
  const waiting = test.membership.run(test.stop.signal);
  await new Promise((resolve) => setTimeout(resolve, 10));
  test.stop.abort();
  await waiting;
  assert.equal(test.requests.at(-1), 'revoke 3');
  test.now = 60_000;
  const next = new AbortController();
  const again = test.membership.run(next.signal);
  await test.until(() => test.membership.leaseId !== undefined);
  next.abort();
  await again;
});
