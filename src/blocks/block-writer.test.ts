import assert from 'node:assert/strict';
import { describe, test } from 'node:test';

import { CommitQueue } from '../store/commit-queue.js';
import { InMemoryStore } from '../testing/in-memory-store.js';
import { loadReplica } from '../testing/load-replica.js';
import { testSettings } from '../testing/settings.js';
import { type BlockRecord, blockRecord, type LeasedMachine } from '../wire/block-records.js';
import { formatRecord } from '../wire/controller-records.js';
import { blockKey, formatKey } from '../wire/keys.js';
import { leaseBlock } from './block-assignment.js';
import { BlockRegistry } from './block-registry.js';
import { BlockWriter, type BlockWriteResult } from './block-writer.js';

const labels = ['keel-0', 'keel-1', 'keel-2'];
const nextLimits = { value_kb: 2, txn_ops: 6 };

function machine(i: number, change: Partial<LeasedMachine> = {}): LeasedMachine {
  const kind = { type: ['harju16', 'toompea32'][i % 2] ?? '', zone: labels[i % 3] ?? '', spot: i % 5 > 0 };
  return {
    id: `vm-${String(i).padStart(6, '0')}`,
    fencingToken: 1,
    ...kind,
    draining: false,
    rentedAt: 1e12,
    ...change,
  };
}

function recordOf(count: number): BlockRecord {
  const machines = Array.from({ length: count }, (_, i) => machine(i));
  return { owner: 'keel-0', incarnation: 'life', machines, quotaShares: { red: [4, 0] } };
}

/**
 * A store with one block in the format of earlier versions, in which the block record lists the machines. The
 * store also contains the format records of the controllers that have run with this version.
 */
class WriterFixture {
  readonly store = new InMemoryStore();
  private readonly settings;

  constructor(next: Record<string, number> = nextLimits) {
    this.settings = testSettings((file) => {
      const { state } = file['settings'] as { state: Record<string, unknown> };
      state['next'] = next;
    });
  }

  async prepare(machines: number, upgraded = labels): Promise<void> {
    const formats = upgraded.map((label) => ({ put: formatKey(label), value: formatRecord() }));
    await this.store.commit(
      'duty',
      [],
      [...formats, { put: blockKey(0), value: blockRecord(recordOf(machines)) }],
    );
    this.store.resetLargestSizes();
  }

  async registry(): Promise<BlockRegistry> {
    return new BlockRegistry(await loadReplica(this.store), labels);
  }

  async read(): Promise<BlockRecord> {
    const record = (await this.registry()).blocks().get(0);
    assert.ok(record);
    return { ...record, machines: record.machines.map((leased) => ({ ...leased })) };
  }

  async write(next: BlockRecord): Promise<BlockWriteResult> {
    const { signal } = new AbortController();
    const commits = new CommitQueue(this.store, 'duty', this.settings, signal, 100);
    return new BlockWriter({ settings: this.settings, registry: await this.registry(), commits }).write(
      0,
      next,
    );
  }
}

const idsOf = (record: BlockRecord): string[] => record.machines.map(({ id }) => id).sort();

describe('a block whose record lists its machines, as written by an earlier version', () => {
  test('keeps the format that the earlier version reads until every controller has run with this version', async () => {
    const fixture = new WriterFixture();
    await fixture.prepare(230, labels.slice(1));
    await fixture.write(recordOf(231));
    assert.deepEqual((await fixture.registry()).storedBlock(0)?.isInline, true);
    assert.equal((await fixture.read()).machines.length, 231);
  });

  test('keeps that format while its record is small', async () => {
    const fixture = new WriterFixture();
    await fixture.prepare(10);
    await fixture.write(recordOf(11));
    assert.deepEqual((await fixture.registry()).storedBlock(0)?.isInline, true);
  });

  // Guards against a block that can never be written again. The value limit of the state service is lowered,
  // and a block record that lists many machines exceeds the new limit. Every later write of that record would
  // be refused.
  for (const machines of [230, 700, 1000]) {
    test(`with ${machines} machines is converted to the paged layout in several commits, and contains the same machines after each commit`, async () => {
      const fixture = new WriterFixture();
      await fixture.prepare(machines);
      const before = await fixture.read();
      fixture.store.onWrite = async () => assert.deepEqual(idsOf(await fixture.read()), idsOf(before));
      const { outcome } = await fixture.write({ ...before, quotaShares: { red: [8, 0] } });
      await fixture.store.lastOnWriteResult;
      assert.equal(outcome.kind, 'applied');
      const after = await fixture.read();
      assert.deepEqual(idsOf(after), idsOf(before));
      assert.ok(after.machines.every(({ fencingToken }) => fencingToken === 1));
      assert.deepEqual(after.quotaShares, { red: [8, 0] });
      assert.ok(fixture.store.largestValue <= 2048, `${fixture.store.largestValue} bytes`);
      assert.ok(fixture.store.largestWrites <= 6);
    });
  }
});

describe('a block whose machines are on pages', () => {
  async function paged(machines: number, next = nextLimits): Promise<WriterFixture> {
    const fixture = new WriterFixture(next);
    await fixture.prepare(10);
    await fixture.write(recordOf(machines));
    fixture.store.resetLargestSizes();
    return fixture;
  }

  test('is leased to another owner with one write, and its fencing tokens are higher than all earlier fencing tokens', async () => {
    const fixture = await paged(4000);
    const next = await fixture.read();
    leaseBlock(next, { label: 'keel-1', incarnation: 'other', zone: 'a' });
    const { outcome } = await fixture.write(next);
    assert.equal(fixture.store.largestWrites, 1);
    const { owner, machines } = await fixture.read();
    assert.equal(owner, 'keel-1');
    assert.equal(machines.length, 4000);
    const revision = outcome.kind === 'applied' ? outcome.revision : 0;
    assert.ok(machines.every(({ fencingToken }) => fencingToken === revision));
  });

  test('adds, drains and removes a machine by writing few pages, and other machines keep their fencing tokens', async () => {
    const fixture = await paged(4000, { value_kb: 32, txn_ops: 20 });
    const next = await fixture.read();
    const removed = next.machines.pop()?.id;
    const draining = next.machines[0];
    assert.ok(draining);
    draining.draining = true;
    next.machines.push(machine(5000, { fencingToken: 0 }));
    await fixture.write(next);
    assert.ok(fixture.store.largestWrites <= 4);
    const { machines } = await fixture.read();
    assert.equal(machines.length, 4000);
    assert.equal(
      machines.some(({ id }) => id === removed),
      false,
    );
    assert.deepEqual(
      machines.filter((leased) => leased.draining).map(({ id }) => id),
      [draining.id],
    );
    const added = machines.find(({ id }) => id === 'vm-005000');
    assert.ok(added && added.fencingToken > 1);
    assert.ok(machines.filter((leased) => leased !== added).every(({ fencingToken }) => fencingToken === 1));
  });

  // Guards against an intent that is committed for a draining machine. An intent is a planned task attempt
  // that has to be committed to the ledger before its start command is sent. The owner computes the intent
  // from the block record, and then a commit marks the machine as draining. If that commit did not change the
  // version of the block record, the commit of the intent would not conflict.
  test('is written in several commits, each of which changes the version of the block, if more pages change than fit into a transaction', async () => {
    const fixture = await paged(1300);
    const next = await fixture.read();
    for (const leased of next.machines) leased.draining = true;
    const versions = new Set<number>();
    fixture.store.onWrite = async () => void versions.add((await fixture.registry()).blockVersion(0));
    await fixture.write(next);
    await fixture.store.lastOnWriteResult;
    assert.ok(versions.size >= 5);
    assert.ok(fixture.store.largestWrites <= 6);
    assert.ok((await fixture.read()).machines.every(({ draining }) => draining));
  });

  test('reports a conflict if the block changes between the commits of a write, and keeps the pages written before the conflict', async () => {
    const fixture = await paged(1300);
    const next = await fixture.read();
    for (const leased of next.machines) leased.draining = true;
    let writes = 0;
    fixture.store.onWrite = async () => {
      if (++writes === 2)
        await fixture.store.commit(
          'duty',
          [],
          [{ drop: blockKey(9) }, { put: blockKey(0), value: fixture.store.value(blockKey(0)) }],
        );
    };
    const { outcome } = await fixture.write(next);
    assert.equal(outcome.kind, 'conflict');
    const left = (await fixture.read()).machines.filter(({ draining }) => draining).length;
    assert.ok(left > 0 && left < 1300);
  });
});
