import assert from 'node:assert/strict';
import { test } from 'node:test';

import { monotonicClock } from '../base/clock.js';
import { silentLog } from '../base/log.js';
import type { CommitOutcome } from '../store/transactions.js';
import { leasedMachine, ownedBlock } from '../testing/block-records.js';
import { testSettings } from '../testing/settings.js';
import { type BlockRecord, parseBlock } from '../wire/block-records.js';
import { blockKey, leaderKey } from '../wire/keys.js';
import type { Condition, Write } from '../wire/state.js';
import { LeaseWriter } from './lease-writer.js';

const fencingToken = 3;
const storedVersion = 7;

interface Commit {
  conditions: Condition[];
  writes: Write[];
}

/** Creates a lease writer whose commits have the given outcomes, in this order. */
function createFixture(outcomes: CommitOutcome[]): {
  leases: LeaseWriter;
  commits: Commit[];
  stored: { version: number };
} {
  const commits: Commit[] = [];
  const stored = { version: storedVersion };
  const term = new AbortController();
  const registry = {
    isClusterUpgraded: false,
    blocks: (): Map<number, BlockRecord> => new Map([[0, ownedBlock('k0', leasedMachine('m1'))]]),
    blockVersion: () => stored.version,
    storedBlock: () => undefined,
  };
  const leases = new LeaseWriter({
    clock: monotonicClock,
    log: silentLog,
    settings: { ...testSettings(), heartbeatIntervalMs: 1 },
    registry,
    term: { fencingToken, signal: term.signal },
    commits: {
      commit: (conditions, writes) => {
        commits.push({ conditions, writes });
        const outcome = outcomes.shift();
        assert.ok(outcome);
        return Promise.resolve(outcome);
      },
    },
  });
  return { leases, commits, stored };
}

const current = ownedBlock('k0', leasedMachine('m1'));
const next = ownedBlock('k1', leasedMachine('m1'), leasedMachine('m2'));

test('a write is conditioned on the term of the leader and on the version of the block that it is based on', async () => {
  const { leases, commits } = createFixture([{ kind: 'applied', revision: 9 }]);
  await leases.write(0, current, next);
  assert.deepEqual(commits[0]?.conditions, [
    { key: leaderKey, version: fencingToken },
    { key: blockKey(0), version: storedVersion },
  ]);
  assert.equal(leases.committedRevision, 9);
  assert.equal(await leases.supersedeUnknownCommits(), false);
});

// Guards against a machine that is in two blocks. The leader sends a commit that adds the machine to one
// block, and the outcome of that commit is unknown. The leader then adds the machine to another block. If the
// first commit is applied after that, both blocks list the machine.
test('after a write with an unknown outcome, the unchanged block record is written on condition of the same version', async () => {
  const { leases, commits, stored } = createFixture([{ kind: 'unknown' }, { kind: 'unknown' }]);
  await leases.write(0, current, next);
  assert.equal(await leases.supersedeUnknownCommits(), true);
  const [unknownCommit, superseding] = commits;
  assert.deepEqual(superseding?.conditions, unknownCommit?.conditions);
  const [write] = superseding?.writes ?? [];
  assert.ok(write && 'put' in write);
  const { owner, machines } = parseBlock(write.value, 0) ?? { owner: undefined, machines: [] };
  assert.equal(owner, 'k0');
  assert.deepEqual(
    machines.map(({ id }) => id),
    ['m1'],
  );
  // After any commit has changed the version of the block, the commit with the unknown outcome can no longer
  // be applied.
  stored.version = 12;
  assert.equal(await leases.supersedeUnknownCommits(), false);
  assert.equal(commits.length, 2);
});
