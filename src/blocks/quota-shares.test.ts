import assert from 'node:assert/strict';
import { test } from 'node:test';

import { ownedBlock } from '../testing/block-records.js';
import { testSettings } from '../testing/settings.js';
import { allocateQuotaShares } from './quota-shares.js';

test("shares never add up to more than the team's limit, whatever is in use beyond them", () => {
  const { teams } = testSettings();
  const need = { cpus: 4, accelerators: 0, memoryGb: 1 };
  const blocks = new Map([
    [0, { ...ownedBlock('k0'), quotaShares: { red: [24, 0] as [number, number] } }],
    [1, ownedBlock('k1')],
  ]);
  const used: [number, number][] = [
    [20, 0],
    [0, 0],
  ];
  const waiting = [[], [{ need, count: 5 }]];
  const facts = {
    teams: [...teams.values()],
    blocks,
    demand: (b: number) => ({ used: used[b] ?? [0, 0], waiting: waiting[b] ?? [] }),
  };
  const next = allocateQuotaShares(facts);
  const share = (b: number): number => next.get(b)?.['red']?.[0] ?? 0;
  // 32 in all: 24 are leased to the first block, so only 8 are free now, and its share is cut to what it uses.
  assert.deepEqual([share(0), share(1)], [20, 8]);
  // Once the cut is in force, the rest is there to give.
  blocks.set(0, { ...ownedBlock('k0'), quotaShares: { red: [20, 0] } });
  blocks.set(1, { ...ownedBlock('k1'), quotaShares: { red: [8, 0] } });
  const later = allocateQuotaShares(facts);
  assert.deepEqual([later.get(0)?.['red']?.[0], later.get(1)?.['red']?.[0]], [20, 12]);
  assert.equal(next.get(0)?.['blue'], undefined);
});
