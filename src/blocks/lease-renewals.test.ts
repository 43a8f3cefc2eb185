import assert from 'node:assert/strict';
import { test } from 'node:test';

import { silentLog } from '../base/log.js';
import { leasedMachine, ownedBlock } from '../testing/block-records.js';
import { testSettings } from '../testing/settings.js';
import { type BlockRecord, tokenFromCommitRevision } from '../wire/block-records.js';
import type { BlockWriteResult } from './block-writer.js';
import { LeaseRenewals } from './lease-renewals.js';

const { label } = testSettings();
const record = ownedBlock(label, leasedMachine('m1'));

/** Creates a `LeaseRenewals` whose block writes settle with the result that the test passes to `answer`. */
function createFixture(): {
  renewals: LeaseRenewals;
  written: BlockRecord[];
  answer: (result: BlockWriteResult | Error) => void;
} {
  const written: BlockRecord[] = [];
  let answer: (result: BlockWriteResult | Error) => void = () => undefined;
  const write = (_block: number, next: BlockRecord): Promise<BlockWriteResult> => {
    written.push(next);
    return new Promise((resolve, reject) => {
      answer = (result) => (result instanceof Error ? reject(result) : resolve(result));
    });
  };
  const ports = { log: silentLog, settings: testSettings(), incarnation: 'second', writer: { write } };
  return { renewals: new LeaseRenewals(ports), written, answer: (result) => answer(result) };
}

test('a renewal leases the block to this incarnation with new fencing tokens, and does not modify the given record', async () => {
  const { renewals, written, answer } = createFixture();
  const renewal = renewals.renew(0, record, 'new-incarnation');
  assert.equal(renewals.isRenewing, true);
  assert.equal(written[0]?.incarnation, 'second');
  assert.deepEqual(
    written[0].machines.map(({ fencingToken }) => fencingToken),
    [tokenFromCommitRevision],
  );
  assert.deepEqual(record, ownedBlock(label, leasedMachine('m1')));
  answer({ outcome: { kind: 'applied', revision: 9 }, version: 7 });
  await renewal;
  assert.equal(renewals.isRenewing, false);
  assert.deepEqual([renewals.renewalRevision(0), renewals.layoutRenewalRevision(0)], [9, undefined]);
});

test('renewals for a new ledger layout are recorded separately, and a renewal that was not applied is not recorded', async () => {
  const { renewals, answer } = createFixture();
  const first = renewals.renew(0, record, 'new-layout');
  answer({ outcome: { kind: 'unknown' }, version: 7 });
  await first;
  assert.deepEqual([renewals.isRenewing, renewals.renewalRevision(0)], [false, undefined]);
  const second = renewals.renew(0, record, 'new-layout');
  answer({ outcome: { kind: 'applied', revision: 9 }, version: 7 });
  await second;
  assert.deepEqual([renewals.renewalRevision(0), renewals.layoutRenewalRevision(0)], [9, 9]);
});

test('a renewal whose write fails with an error is no longer in flight', async () => {
  const { renewals, answer } = createFixture();
  const renewal = renewals.renew(0, record, 'new-incarnation');
  answer(new Error('the queue of commits has ended'));
  await assert.rejects(renewal, /queue of commits has ended/);
  assert.equal(renewals.isRenewing, false);
});
