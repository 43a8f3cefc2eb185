import assert from 'node:assert/strict';
import { test } from 'node:test';

import { silentLog } from '../base/log.js';
import type { ChangeListener } from '../store/mirror.js';
import type { CommitOutcome } from '../store/transactions.js';
import { leaderRecord } from '../wire/controller-records.js';
import type { StoredValue } from '../wire/keys.js';
import type { Condition, Item, Write } from '../wire/state.js';
import { Election, mayCampaign } from './election.js';
import type { Term } from './term.js';

const ownRecord = { label: 'k0', incarnation: 'mine', candidacy: 1 };

/** An election among stand-ins; `outcome` is the store's answer to each candidacy. */
class ElectionUnderTest {
  readonly commits: { conditions: Condition[]; writes: Write[] }[] = [];
  readonly terms: Term[] = [];
  /** What the store has under the leader's key. */
  item: Item | undefined;
  /** What the replica has under it. */
  replica: StoredValue | undefined;
  outcome: CommitOutcome = { kind: 'applied', revision: 7 };
  private listener: ChangeListener = () => undefined;
  private readonly stop = new AbortController();
  private readonly running: Promise<void>;

  constructor(options: { leaseId?: number; onElected?: (term: Term) => Promise<void> } = {}) {
    const untilEnd = (term: Term): Promise<void> =>
      new Promise((resolve) => {
        term.signal.addEventListener('abort', () => resolve());
      });
    const election = new Election({
      clock: () => 0,
      log: silentLog,
      store: { failing: false, read: () => Promise.resolve(this.item) },
      commits: {
        commit: (conditions, writes) => {
          this.commits.push({ conditions, writes });
          return Promise.resolve(this.outcome);
        },
      },
      mirror: {
        ready: true,
        revision: 100,
        get: () => this.replica,
        version: () => this.replica?.version ?? 0,
        listen: (listener) => {
          this.listener = listener;
          return () => undefined;
        },
      },
      membership: { leaseId: 'leaseId' in options ? options.leaseId : 3 },
      label: 'k0',
      incarnation: 'mine',
      random: () => 0,
      onElected: async (term) => {
        this.terms.push(term);
        this.replica = { value: leaderRecord(ownRecord), version: term.fencingToken };
        await (options.onElected ?? untilEnd)(term);
        this.replica = { value: leaderRecord({ ...ownRecord, label: 'k1' }), version: 200 };
      },
    });
    this.running = election.run(this.stop.signal);
  }

  change(replica: StoredValue | undefined): void {
    this.replica = replica;
    this.listener([]);
  }

  async until(condition: () => boolean): Promise<void> {
    while (!condition()) await new Promise((resolve) => setTimeout(resolve, 10));
  }

  async end(): Promise<void> {
    this.stop.abort();
    await this.running;
  }
}

test('a record of an earlier incarnation of the same controller does not keep it from campaigning', () => {
  assert.equal(mayCampaign(undefined, 'k0'), true);
  assert.equal(mayCampaign({ label: 'k0', incarnation: 'b1', candidacy: 1 }, 'k0'), true);
  assert.equal(mayCampaign({ label: 'k1', incarnation: 'b1', candidacy: 1 }, 'k0'), false);
});

// Guards against a cluster without a leader for ever: a candidacy that got no answer was carried out seconds later, when its
// candidate had long given it up, and the key was bound to a lease that its living candidate kept renewing.
test('a candidacy that was carried out after it was given up does not keep its own candidate from leading', () => {
  assert.equal(mayCampaign({ label: 'k0', incarnation: 'b2', candidacy: 1 }, 'k0'), true);
});

test('the fencing token is the revision of the commit, which is bound to the lease and conditioned on the key', async () => {
  const election = new ElectionUnderTest();
  await election.until(() => election.terms.length > 0);
  const [term] = election.terms;
  assert.ok(term);
  assert.equal(term.fencingToken, 7);
  assert.deepEqual(election.commits[0], {
    conditions: [{ key: 'lead', version: 0 }],
    writes: [{ put: 'lead', value: leaderRecord(ownRecord), lease: 3 }],
  });
  await election.end();
  assert.deepEqual(term.endReason, { kind: 'shutdown' });
});

test('a term ends as soon as the replica shows another version of the leader key', async () => {
  const election = new ElectionUnderTest();
  await election.until(() => election.terms.length > 0);
  const [term] = election.terms;
  assert.ok(term);
  election.change({ value: leaderRecord(ownRecord), version: 7 });
  assert.equal(term.endReason, undefined);
  election.change({ value: leaderRecord({ ...ownRecord, label: 'k1' }), version: 8 });
  assert.deepEqual(term.endReason, { kind: 'leader-key-changed' });
  await election.end();
});

test('a term ends with the duties of the leader', async () => {
  const election = new ElectionUnderTest({ onElected: () => Promise.resolve() });
  await election.until(() => election.terms[0]?.endReason !== undefined);
  assert.deepEqual(election.terms[0]?.endReason, { kind: 'duties-ended' });
  await election.end();
});

test('after a lost response the store tells whether the candidacy was carried out', async () => {
  const won = new ElectionUnderTest();
  won.outcome = { kind: 'unknown' };
  won.item = { key: 'lead', value: leaderRecord(ownRecord), version: 12 };
  await won.until(() => won.terms.length > 0);
  assert.equal(won.terms[0]?.fencingToken, 12);
  await won.end();

  const lost = new ElectionUnderTest();
  lost.outcome = { kind: 'unknown' };
  lost.item = { key: 'lead', value: leaderRecord({ ...ownRecord, incarnation: 'theirs' }), version: 12 };
  await lost.until(() => lost.commits.length > 0);
  await lost.end();
  assert.equal(lost.terms.length, 0);
});

test('nobody campaigns without a lease, or while another leads', async () => {
  const withoutLease = new ElectionUnderTest({ leaseId: undefined });
  const follower = new ElectionUnderTest();
  follower.replica = { value: leaderRecord({ ...ownRecord, label: 'k1' }), version: 5 };
  await new Promise((resolve) => setTimeout(resolve, 350));
  await Promise.all([withoutLease.end(), follower.end()]);
  assert.deepEqual([withoutLease.commits, follower.commits], [[], []]);
});
