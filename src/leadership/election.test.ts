import assert from 'node:assert/strict';
import { test } from 'node:test';

import { silentLog } from '../base/log.js';
import type { ChangeListener } from '../store/store-replica.js';
import type { CommitOutcome } from '../store/transactions.js';
import { leaderRecord } from '../wire/controller-records.js';
import type { StoredValue } from '../wire/keys.js';
import type { Condition, Item, Write } from '../wire/state.js';
import { Election, mayCampaign } from './election.js';
import type { Term } from './term.js';

const ownRecord = { label: 'k0', incarnation: 'mine', candidacy: 1 };

/**
 * Runs an election of controller k0 against stand-ins. `outcome` is the result of the commit of every
 * candidacy.
 */
class ElectionUnderTest {
  readonly commits: { conditions: Condition[]; writes: Write[] }[] = [];
  readonly terms: Term[] = [];
  /** The item that a read of the leader key from the store returns. */
  storedItem: Item | undefined;
  /** The value of the leader key in the replica of the store. */
  replica: StoredValue | undefined;
  outcome: CommitOutcome = { kind: 'applied', revision: 7 };
  private listener: ChangeListener = () => undefined;
  private readonly stop = new AbortController();
  private readonly running: Promise<void>;

  constructor(options: { leaseId?: number; onElected?: (term: Term) => Promise<void> } = {}) {
    const holdUntilTermEnds = (term: Term): Promise<void> =>
      new Promise((resolve) => {
        term.signal.addEventListener('abort', () => resolve());
      });
    const election = new Election({
      clock: () => 0,
      log: silentLog,
      store: { failing: false, read: () => Promise.resolve(this.storedItem) },
      commits: {
        commit: (conditions, writes) => {
          this.commits.push({ conditions, writes });
          return Promise.resolve(this.outcome);
        },
      },
      replica: {
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
        await (options.onElected ?? holdUntilTermEnds)(term);
        this.replica = { value: leaderRecord({ ...ownRecord, label: 'k1' }), version: 200 };
      },
    });
    this.running = election.run(this.stop.signal);
  }

  changeReplica(replica: StoredValue | undefined): void {
    this.replica = replica;
    this.listener([]);
  }

  async waitUntil(condition: () => boolean): Promise<void> {
    while (!condition()) await new Promise((resolve) => setTimeout(resolve, 10));
  }

  async end(): Promise<void> {
    this.stop.abort();
    await this.running;
  }
}

test('a controller may campaign if there is no leader record or the record was written by a previous incarnation of the controller', () => {
  assert.equal(mayCampaign(undefined, 'k0'), true);
  assert.equal(mayCampaign({ label: 'k0', incarnation: 'b1', candidacy: 1 }, 'k0'), true);
  assert.equal(mayCampaign({ label: 'k1', incarnation: 'b1', candidacy: 1 }, 'k0'), false);
});

// Guards against a cluster that stays without a leader. A candidate got no response to the commit of its
// candidacy and gave the candidacy up. Seconds later the commit was applied and bound the leader key to the
// lease of the candidate. The candidate was alive and kept renewing the lease, so the leader key was not
// deleted and no controller campaigned.
test('a candidate campaigns again if a candidacy is applied after the candidate has given it up', () => {
  assert.equal(mayCampaign({ label: 'k0', incarnation: 'b2', candidacy: 1 }, 'k0'), true);
});

test('the commit of a candidacy is conditioned on the leader key and binds the key to the lease; its revision is the fencing token', async () => {
  const election = new ElectionUnderTest();
  await election.waitUntil(() => election.terms.length > 0);
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

test('a term ends as soon as the version of the leader key in the replica differs from the fencing token', async () => {
  const election = new ElectionUnderTest();
  await election.waitUntil(() => election.terms.length > 0);
  const [term] = election.terms;
  assert.ok(term);
  election.changeReplica({ value: leaderRecord(ownRecord), version: 7 });
  assert.equal(term.endReason, undefined);
  election.changeReplica({ value: leaderRecord({ ...ownRecord, label: 'k1' }), version: 8 });
  assert.deepEqual(term.endReason, { kind: 'leader-key-changed' });
  await election.end();
});

test('a term ends when the duties of the leader have returned', async () => {
  const election = new ElectionUnderTest({ onElected: () => Promise.resolve() });
  await election.waitUntil(() => election.terms[0]?.endReason !== undefined);
  assert.deepEqual(election.terms[0]?.endReason, { kind: 'duties-ended' });
  await election.end();
});

test('if the outcome of a commit is unknown, a read of the leader key shows whether the candidacy was applied', async () => {
  const won = new ElectionUnderTest();
  won.outcome = { kind: 'unknown' };
  won.storedItem = { key: 'lead', value: leaderRecord(ownRecord), version: 12 };
  await won.waitUntil(() => won.terms.length > 0);
  assert.equal(won.terms[0]?.fencingToken, 12);
  await won.end();

  const lost = new ElectionUnderTest();
  lost.outcome = { kind: 'unknown' };
  lost.storedItem = {
    key: 'lead',
    value: leaderRecord({ ...ownRecord, incarnation: 'theirs' }),
    version: 12,
  };
  await lost.waitUntil(() => lost.commits.length > 0);
  await lost.end();
  assert.equal(lost.terms.length, 0);
});

test('a controller does not campaign if it has no lease in the store or if another controller leads', async () => {
  const withoutLease = new ElectionUnderTest({ leaseId: undefined });
  const follower = new ElectionUnderTest();
  follower.replica = { value: leaderRecord({ ...ownRecord, label: 'k1' }), version: 5 };
  await new Promise((resolve) => setTimeout(resolve, 350));
  await Promise.all([withoutLease.end(), follower.end()]);
  assert.deepEqual([withoutLease.commits, follower.commits], [[], []]);
});
