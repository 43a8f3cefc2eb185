import assert from 'node:assert/strict';
import { test } from 'node:test';

import { Term } from '../leadership/term.js';
import { LeaderDuties, type LeaderDutiesPorts } from './leader-duties.js';

// A controller wins the election while its replica of the store still lacks commits of the previous leader.
// If its duties started immediately, they would act on outdated records.
test('no duty starts before the replica has reached the revision of the commit that won the election', async () => {
  let blocksRead = 0;
  const ports = {
    replica: { revision: 6 },
    registry: {
      blocks: () => {
        blocksRead++;
        return new Map();
      },
    },
  } as unknown as LeaderDutiesPorts;
  const duties = new LeaderDuties(ports);
  const term = new Term(7, 0);
  const running = duties.run(term);
  await new Promise((resolve) => setTimeout(resolve, 60));
  duties.markTerminated(['vm-1']);
  term.end({ kind: 'shutdown' });
  await running;
  assert.equal(blocksRead, 0);
});
