import assert from 'node:assert/strict';
import { test } from 'node:test';

import { createBlockFixture, emptyHeartbeat, machineToken } from '../testing/block-fixture.js';
import type { MachineState } from './machine-state.js';

// If the commit of a job's outcome were also conditioned on the version of the block's record, this record
// would often change while the commit waits to be sent, and the store would reject the commit. With this
// fault, the store rejected nearly every commit of a controller for minutes, including commits of intents.
test("the commit of a job's outcome is conditioned only on the job's own records, not on the block's record", async () => {
  const outcomeCommitKeys: string[][] = [];
  const fixture = createBlockFixture((conditions) => {
    const keys = conditions.map((c) => c.key);
    if (keys.includes('end/req-1')) outcomeCommitKeys.push(keys);
    return { kind: 'applied', revision: 9 };
  });
  await fixture.place('m1');
  const completedTask = { job: 'req-1', index: 0, attempt: 1, state: 'ended' as const, cause: 'done' };
  const machine = fixture.blockState.machines.get('m1') as MachineState;
  fixture.blockState.applyHeartbeat(
    machine,
    { ...emptyHeartbeat('m1', machine.sequence + 1), fencingToken: machineToken, tasks: [completedTask] },
    true,
  );
  void fixture.scheduler.run();
  for (let i = 0; i < 100 && outcomeCommitKeys.length === 0; i++)
    await new Promise((resolve) => setTimeout(resolve, 20));
  fixture.stop.abort();
  assert.deepEqual(outcomeCommitKeys, [['end/req-1', 'job/req-1']]);
});
