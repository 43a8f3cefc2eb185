import assert from 'node:assert/strict';
import { test } from 'node:test';

import { createBlockFixture, emptyHeartbeat, machineToken } from '../testing/block-fixture.js';
import type { MachineState } from './machine-state.js';

// Guards against outcome commits that are conditioned on the block's record. The record changes while the
// commits wait to be sent, so for minutes the store rejected nearly every commit of a controller, including
// its intents.
test("the commit of a job's outcome is conditioned on the job alone", async () => {
  const ends: string[][] = [];
  const stage = createBlockFixture((conditions) => {
    const keys = conditions.map((c) => c.key);
    if (keys.includes('end/req-1')) ends.push(keys);
    return { kind: 'applied', revision: 9 };
  });
  await stage.place('m1');
  const done = { job: 'req-1', index: 0, attempt: 1, state: 'ended' as const, cause: 'done' };
  const machine = stage.blockState.machines.get('m1') as MachineState;
  stage.blockState.applyHeartbeat(
    machine,
    { ...emptyHeartbeat('m1', machine.sequence + 1), fencingToken: machineToken, tasks: [done] },
    true,
  );
  void stage.scheduler.run();
  for (let i = 0; i < 100 && ends.length === 0; i++) await new Promise((resolve) => setTimeout(resolve, 20));
  stage.stop.abort();
  assert.deepEqual(ends, [['end/req-1', 'job/req-1']]);
});
