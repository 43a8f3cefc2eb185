import assert from 'node:assert/strict';
import { test } from 'node:test';

import { createBlockFixture, emptyHeartbeat, machineToken } from '../testing/block-fixture.js';
import type { MachineState } from './machine-state.js';

const twoTasks = { cpus: 4, accelerators: 0 };

// Guards against exceeding a team's quota: the leader reduces the block's share and assigns the difference to
// another block. The commit of the intents then fails with a conflict on the block's record, and must not be
// repeated unchanged under the new version of the record.
test('an intent whose commit had a conflict on the block is withdrawn if the new record reduces its team’s share', async () => {
  const blockVersions: number[] = [];
  const stage = createBlockFixture(
    (conditions, { applyBlockRecord }) => {
      blockVersions.push(conditions.find((c) => c.key === 'block/0')?.version ?? 0);
      if (blockVersions.length > 1) return { kind: 'applied', revision: 9 };
      applyBlockRecord(8, { shares: { red: [4, 0] } });
      return { kind: 'conflict', failed: ['block/0'], revision: 8 };
    },
    { team: 'red', tasks: 4, shares: { red: [8, 0] } },
  );
  await stage.place('m1');
  await stage.place('m1');
  const phases = [0, 1, 2, 3].map((index) => stage.task(index)?.phase);
  assert.equal(phases.filter((phase) => phase === 'placed').length, 2);
  assert.equal(phases.filter((phase) => phase === 'placing').length, 0);
  assert.deepEqual(stage.blockState.teamUsage().usedBy('red'), twoTasks);
  assert.equal(blockVersions[1], 8);
});

// A commit without a response may have been applied before the share was reduced, or not at all. No start of
// its tasks was sent to a worker.
test('an intent whose commit has an unknown outcome is withdrawn when its team’s share is reduced', async () => {
  let commits = 0;
  const stage = createBlockFixture(
    (_conditions, { applyBlockRecord }) => {
      if (commits++ > 0) return { kind: 'applied', revision: 9 };
      applyBlockRecord(8, { shares: { red: [4, 0] } });
      return { kind: 'unknown' };
    },
    { team: 'red', tasks: 4, shares: { red: [8, 0] } },
  );
  await stage.place('m1');
  assert.deepEqual(stage.blockState.teamUsage().usedBy('red'), twoTasks);
});

// Guards against the release of a machine that has a task: the machine was empty when the block's record
// marked it as draining, and the commit of an intent for it was still in progress.
test('an intent is not committed for a machine that the block’s new record marks as draining', async () => {
  let commits = 0;
  const stage = createBlockFixture((_conditions, { applyBlockRecord }) => {
    if (commits++ > 0) return { kind: 'applied', revision: 9 };
    applyBlockRecord(8, { leaving: ['m1'] });
    return { kind: 'conflict', failed: ['block/0'], revision: 8 };
  });
  await stage.place('m1');
  assert.equal(stage.blockState.machines.get('m1')?.tasks.size, 0);
  await stage.place('m2');
  assert.deepEqual([stage.task()?.machine, stage.task()?.phase], ['m2', 'placed']);
});

// Guards against a job that waits forever: the new version of its record was read before the commit on the
// old version failed with a conflict.
test('a job whose intents had a commit conflict is placed again under the version read in the meantime', async () => {
  const jobVersions: number[] = [];
  const stage = createBlockFixture((conditions, { applyJobRecord }) => {
    jobVersions.push(conditions.find((c) => c.key === 'job/req-1')?.version ?? 0);
    if (jobVersions.length > 1) return { kind: 'applied', revision: 9 };
    applyJobRecord(5);
    return { kind: 'conflict', failed: ['job/req-1'], revision: 6 };
  });
  await stage.place('m1');
  await stage.place('m1');
  assert.deepEqual(jobVersions, [3, 5]);
  assert.equal(stage.task()?.phase, 'placed');
});

// Guards against the start of a task whose intent is not committed: the machine is removed while the commit
// is in progress, and the task is placed on another machine.
test('a commit confirms only the attempt that it was made for, not a later one', async () => {
  let commits = 0;
  const stage = createBlockFixture((_conditions, { blockState, scheduler }) => {
    if (commits++ === 0) {
      blockState.removeTerminated('m1');
      const secondMachine = blockState.machines.get('m2') as MachineState;
      blockState.applyHeartbeat(
        secondMachine,
        { ...emptyHeartbeat('m2', 1), fencingToken: machineToken },
        true,
      );
      scheduler.placeOn(secondMachine);
      assert.deepEqual([stage.task()?.machine, stage.task()?.phase], ['m2', 'placing']);
      return { kind: 'applied', revision: 8 };
    }
    assert.equal(stage.task()?.phase, 'placing');
    return { kind: 'applied', revision: 9 };
  });
  await stage.place('m1');
  assert.deepEqual([commits, stage.task()?.attempt, stage.task()?.phase], [2, 2, 'placed']);
});
