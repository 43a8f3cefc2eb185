import assert from 'node:assert/strict';
import { test } from 'node:test';

import { monotonicClock } from '../base/clock.js';
import { silentLog } from '../base/log.js';
import { Term } from '../leadership/term.js';
import { testSettings } from '../testing/settings.js';
import { type BlockRecord, type LeasedMachine, parseBlock } from '../wire/block-records.js';
import { blockKey } from '../wire/keys.js';
import type { Condition, Write } from '../wire/state.js';
import { BlockAllocator, type BlockAllocatorPorts } from './block-allocator.js';

const labels = ['keel-0', 'keel-1', 'keel-2'];
const unassignedMachine: LeasedMachine = {
  id: 'm1',
  fencingToken: 0,
  type: 'c8',
  zone: 'a',
  spot: false,
  draining: false,
  rentedAt: 0,
};

/**
 * A block registry in which a test can change all block records and their versions while the allocator runs.
 * The version of a block record is the store revision of its latest change.
 */
class ChangingRegistry {
  private currentVersion = 1;
  /** Called whenever the block records are read. */
  onRead: () => void = () => undefined;

  /**
   * Simulates that all controllers restart and then renew the leases of their blocks. Each block record then
   * contains the incarnation of the restarted owner and has a new version.
   */
  simulateLeaseRenewals(): void {
    this.currentVersion++;
  }

  readonly isClusterUpgraded = false;

  storedBlock(): undefined {
    return undefined;
  }

  blockVersion(): number {
    return this.currentVersion;
  }

  blocks(): Map<number, BlockRecord> {
    const incarnation = `life-${this.currentVersion}`;
    this.onRead();
    return new Map(
      labels.map((owner, block) => [block, { owner, incarnation, quotaShares: {}, machines: [] }]),
    );
  }

  liveMembers(): { label: string; incarnation: string; zone: string }[] {
    return labels.map((label) => ({ label, incarnation: `life-${this.currentVersion}`, zone: 'a' }));
  }

  isAlive(): boolean {
    return true;
  }
}

interface Commit {
  conditions: Condition[];
  writes: Write[];
}

async function firstCommitOf(registry: ChangingRegistry): Promise<Commit> {
  const term = new Term(1, 0);
  const commits: Commit[] = [];
  const emptyMap = new Map();
  const ports = {
    clock: monotonicClock,
    wallClock: Date.now,
    log: silentLog,
    term,
    registry,
    incarnation: 'b',
    quotaSharePeriodMs: 1000,
    settings: { ...testSettings(), teams: new Map() },
    jobIndex: { jobs: emptyMap, machineLoads: () => emptyMap, inQueueOrder: () => [], activeTasks: () => [] },
    rentedMachines: {
      unassigned: new Map([[unassignedMachine.id, unassignedMachine]]),
      terminated: new Set(),
      toDrain: new Set(),
      presumedTerminated: new Set(),
      waitingSlots: () => 0,
    },
    store: { failing: false },
    replica: { revision: 1 },
    machineTypes: () => emptyMap,
    isBooted: () => true,
    lookahead: 0,
    commits: {
      writableLength: 0,
      commit: (conditions: Condition[], writes: Write[]) => {
        commits.push({ conditions, writes });
        term.end({ kind: 'shutdown' });
        return Promise.resolve({ kind: 'applied', revision: 2 });
      },
    },
  } as unknown as BlockAllocatorPorts;
  await new BlockAllocator(ports).run();
  assert.ok(commits[0]);
  return commits[0];
}

// Guards against a lost update. The leader built a block record from one version of the stored record, and
// the owner then committed a renewal of its lease. The renewal gave the stored record a new version. The
// leader committed its record on condition of the new version, so the commit was applied and overwrote the
// renewal.
test('the commit of a block record is conditioned on the version of the block from which the record was built', async () => {
  const registry = new ChangingRegistry();
  registry.onRead = () => {
    registry.onRead = () => undefined;
    queueMicrotask(() => registry.simulateLeaseRenewals());
  };
  const { conditions, writes } = await firstCommitOf(registry);
  const [write] = writes;
  assert.ok(write && 'put' in write);
  const condition = conditions.find(({ key }) => key === write.put);
  assert.equal(parseBlock(write.value, 0)?.incarnation, `life-${condition?.version}`);
  assert.ok(labels.some((_, block) => blockKey(block) === write.put));
});
