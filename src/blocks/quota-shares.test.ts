import assert from 'node:assert/strict';
import { test } from 'node:test';

import { testSettings } from '../testing/settings.js';
import type { QuotaShares } from '../wire/block-records.js';
import { allocateQuotaShares } from './quota-shares.js';

test("the sum of the shares never exceeds the team's limit, even if a block uses more than its new share", () => {
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
  // The limit is 32 CPUs. The first block has a share of 24, so the second block can get only 8 now. The
  // share of the first block is cut to the 20 CPUs that its tasks use.
  assert.deepEqual([share(0), share(1)], [20, 8]);
  // After the smaller share of the first block has been committed, the four CPUs by which that share was cut
  // can be added to the share of the second block.
  currentShares.set(0, { red: [20, 0] });
  currentShares.set(1, { red: [8, 0] });
  const later = allocateQuotaShares(input);
  assert.deepEqual([later.get(0)?.['red']?.[0], later.get(1)?.['red']?.[0]], [20, 12]);
  assert.equal(next.get(0)?.['blue'], undefined);
});
