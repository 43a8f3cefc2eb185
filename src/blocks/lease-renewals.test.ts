import assert from 'node:assert/strict';
import { test } from 'node:test';

import { createLog, silentLog } from '../base/log.js';
import { nextTurn } from '../base/turns.js';
import { leasedMachine, ownedBlock } from '../testing/block-records.js';
import { testSettings } from '../testing/settings.js';
import { type BlockRecord, tokenOfOwnCommit } from '../wire/block-records.js';
import type { BlockWriteResult } from './block-writer.js';
import { LeaseRenewals } from './lease-renewals.js';

const { label } = testSettings();
const record = ownedBlock(label, leasedMachine('m1'));

/** Renewals whose writes are answered by the test. */
function stage(log = silentLog): {
  renewals: LeaseRenewals;
  written: BlockRecord[];
  answer: (result: BlockWriteResult | Error) => Promise<void>;
} {
  const written: BlockRecord[] = [];
  let settle: (result: BlockWriteResult | Error) => void = () => undefined;
  const write = (_block: number, next: BlockRecord): Promise<BlockWriteResult> => {
    written.push(next);
    return new Promise((resolve, reject) => {
      settle = (result) => (result instanceof Error ? reject(result) : resolve(result));
    });
  };
  const ports = { log, settings: testSettings(), incarnation: 'second', writer: { write } };
  const answer = async (result: BlockWriteResult | Error): Promise<void> => {
    settle(result);
    await nextTurn();
  };
  return { renewals: new LeaseRenewals(ports), written, answer };
}

test('a renewal leases the block to this incarnation with new fencing tokens, and leaves the record in use alone', async () => {
  const { renewals, written, answer } = stage();
  renewals.start(0, record, 'new-incarnation');
  assert.equal(renewals.isRenewing, true);
  assert.equal(written[0]?.incarnation, 'second');
  assert.deepEqual(
    written[0].machines.map(({ fencingToken }) => fencingToken),
    [tokenOfOwnCommit],
  );
  assert.deepEqual(record, ownedBlock(label, leasedMachine('m1')));
  await answer({ outcome: { kind: 'applied', revision: 9 }, version: 7 });
  assert.equal(renewals.isRenewing, false);
  assert.deepEqual([renewals.renewalRevision(0), renewals.layoutRenewalRevision(0)], [9, undefined]);
});

test('a renewal for a new layout is told apart, and one that was not applied is none', async () => {
  const { renewals, answer } = stage();
  renewals.start(0, record, 'new-layout');
  await answer({ outcome: { kind: 'unknown' }, version: 7 });
  assert.deepEqual([renewals.isRenewing, renewals.renewalRevision(0)], [false, undefined]);
  renewals.start(0, record, 'new-layout');
  await answer({ outcome: { kind: 'applied', revision: 9 }, version: 7 });
  assert.deepEqual([renewals.renewalRevision(0), renewals.layoutRenewalRevision(0)], [9, 9]);
});

test('a renewal that fails is logged and does not hold up the next one', async () => {
  const lines: string[] = [];
  const log = createLog(label, 'error', { write: (line: string) => void lines.push(line) });
  const { renewals, answer } = stage(log);
  renewals.start(0, record, 'new-incarnation');
  await answer(new Error('the queue of commits has ended'));
  assert.equal(renewals.isRenewing, false);
  assert.match(lines.join(), /"duty":"lease-renewal".*the queue of commits has ended/);
});
