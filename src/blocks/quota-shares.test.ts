import assert from 'node:assert/strict';
import { test } from 'node:test';

import { testSettings } from '../testing/settings.js';
import type { QuotaShares } from '../wire/block-records.js';
import { allocateQuotaShares } from './quota-shares.js';

test("shares never add up to more than the team's limit, whatever is in use beyond them", () => {
  const { teams } = testSettings();
  const need = { cpus: 4, accelerators: 0, memoryGb: 1 };
  const currentShares = new Map<number, QuotaShares>([
    [0, { red: [24, 0] }],
    [1, {}],
  ]);
  const used: [number, number][] = [
    [20, 0],
    [0, 0],
  ];
  const waiting = [[], [{ need, count: 5 }]];
  const input = {
    teams: [...teams.values()],
    currentShares,
    demand: (block: number) => ({ used: used[block] ?? [0, 0], waiting: waiting[block] ?? [] }),
  };
  const next = allocateQuotaShares(input);
  const share = (block: number): number => next.get(block)?.['red']?.[0] ?? 0;
  // 32 in all: 24 are leased to the first block, so only 8 are free now, and its share is cut to what it
  // uses.
  assert.deepEqual([share(0), share(1)], [20, 8]);
  // Once the cut is in force, the rest is there to give.
  currentShares.set(0, { red: [20, 0] });
  currentShares.set(1, { red: [8, 0] });
  const later = allocateQuotaShares(input);
  assert.deepEqual([later.get(0)?.['red']?.[0], later.get(1)?.['red']?.[0]], [20, 12]);
  assert.equal(next.get(0)?.['blue'], undefined);
});
