import assert from 'node:assert/strict';
import { test } from 'node:test';

import { StoreReplica } from '../store/store-replica.js';
import { outcomeRecord } from '../wire/job-records.js';
import type { Change } from '../wire/state.js';
import { ReplicaChangeHandler } from './replica-change-handler.js';

function outcome(id: string, version: number, kind: 'done' | 'cancelled'): Change {
  const value = outcomeRecord({ outcome: kind, tasks: 1 });
  return { key: `end/${id}`, value, version, deleted: false };
}

test('changes are applied to the cancellations first, then to the job index, then to the owned blocks', () => {
  const calls: unknown[][] = [];
  const replica = new StoreReplica(
    { list: () => Promise.reject(new Error()), watch: () => Promise.reject(new Error()) },
    0,
  );
  const handler = new ReplicaChangeHandler({
    replica,
    cancellations: { record: (id, version) => calls.push(['learn', id, version]) },
    jobIndex: {
      load: (from) => calls.push(['load', from === replica]),
      applyChanges: (changes) => calls.push(['index', changes.length]),
    },
    ownedBlocks: { applyChanges: (changes) => calls.push(['blocks', changes.length]) },
  });
  handler.apply([outcome('req-000001', 5, 'cancelled'), outcome('req-000002', 6, 'done')]);
  handler.apply([outcome('req-000003', 7, 'cancelled')]);
  assert.deepEqual(calls, [
    ['learn', 'req-000001', 5],
    ['load', true],
    ['blocks', 2],
    ['learn', 'req-000003', 7],
    ['index', 1],
    ['blocks', 1],
  ]);
});
