import assert from 'node:assert/strict';
import { test } from 'node:test';

import { createBlockFixture, emptyHeartbeat, machineToken } from '../testing/block-fixture.js';
import type { MachineState } from './machine-state.js';

const usageOfTwoTasks = { cpus: 4, accelerators: 0 };

// The commit of four intents, which use the block's whole share of a team's quota, is in progress. Meanwhile
// the leader halves this share and assigns the other half to another block, so the commit fails with a
// conflict on the block's record. If all four intents were committed again under the new version of the
// record, the team would exceed its quota.
test('an intent is withdrawn after a commit conflict on the block’s record if the new record reduces its team’s share', async () => {
  const blockVersions: number[] = [];
  const fixture = createBlockFixture(
    (conditions, { applyBlockRecord }) => {
      blockVersions.push(conditions.find((c) => c.key === 'block/0')?.version ?? 0);
      if (blockVersions.length > 1) return { kind: 'applied', revision: 9 };
      applyBlockRecord(8, { shares: { red: [4, 0] } });
      return { kind: 'conflict', failed: ['block/0'], revision: 8 };
    },
    { team: 'red', tasks: 4, shares: { red: [8, 0] } },
  );
  await fixture.place('m1');
  await fixture.place('m1');
  const phases = [0, 1, 2, 3].map((index) => fixture.task(index)?.phase);
  assert.equal(phases.filter((phase) => phase === 'placed').length, 2);
  assert.equal(phases.filter((phase) => phase === 'placing').length, 0);
  assert.deepEqual(fixture.blockState.teamUsage().usedBy('red'), usageOfTwoTasks);
  assert.equal(blockVersions[1], 8);
});

// A commit gets no response, so its outcome is unknown, and meanwhile the leader reduces the block's share of
// the quota. The commit may have been applied before the share was reduced, or not at all. In both cases no
// start command for its tasks has been sent to a worker. If all its intents were committed again, the team
// could exceed its quota.
test('an intent whose commit has an unknown outcome is withdrawn if its team’s share is reduced', async () => {
  let commits = 0;
  const fixture = createBlockFixture(
    (_conditions, { applyBlockRecord }) => {
      if (commits++ > 0) return { kind: 'applied', revision: 9 };
      applyBlockRecord(8, { shares: { red: [4, 0] } });
      return { kind: 'unknown' };
    },
    { team: 'red', tasks: 4, shares: { red: [8, 0] } },
  );
  await fixture.place('m1');
  assert.deepEqual(fixture.blockState.teamUsage().usedBy('red'), usageOfTwoTasks);
});

// The commit of an intent for machine m1 is in progress. Meanwhile the leader marks m1, which has been empty
// so far, as draining in the block's record. If the intent were committed again, the leader could release m1
// while a task is on it.
test('an intent is not committed for a machine that the block’s new record marks as draining', async () => {
  let commits = 0;
  const fixture = createBlockFixture((_conditions, { applyBlockRecord }) => {
    if (commits++ > 0) return { kind: 'applied', revision: 9 };
    applyBlockRecord(8, { leaving: ['m1'] });
    return { kind: 'conflict', failed: ['block/0'], revision: 8 };
  });
  await fixture.place('m1');
  assert.equal(fixture.blockState.machines.get('m1')?.tasks.size, 0);
  await fixture.place('m2');
  assert.deepEqual([fixture.task()?.machine, fixture.task()?.phase], ['m2', 'placed']);
});

// A commit is conditioned on version 3 of the job's record. During the commit, version 5 of the record is
// read, and then the commit fails with a conflict. If the block waited for a version newer than 5 before it
// placed the job again, the job could wait forever.
test('after a commit conflict on a job’s record, the job is placed again under the version read during the commit', async () => {
  const jobVersions: number[] = [];
  const fixture = createBlockFixture((conditions, { applyJobRecord }) => {
    jobVersions.push(conditions.find((c) => c.key === 'job/req-1')?.version ?? 0);
    if (jobVersions.length > 1) return { kind: 'applied', revision: 9 };
    applyJobRecord(5);
    return { kind: 'conflict', failed: ['job/req-1'], revision: 6 };
  });
  await fixture.place('m1');
  await fixture.place('m1');
  assert.deepEqual(jobVersions, [3, 5]);
  assert.equal(fixture.task()?.phase, 'placed');
});

// A machine is removed while the commit of an intent for it is in progress, and the task is placed on another
// machine as a new attempt. If the commit then confirmed the new attempt, the task would start although its
// new intent is not committed.
test('a commit confirms only the task attempt that it contains, not a later attempt of the same task', async () => {
  let commits = 0;
  const fixture = createBlockFixture((_conditions, { blockState, scheduler }) => {
    if (commits++ === 0) {
      blockState.removeTerminated('m1');
      const secondMachine = blockState.machines.get('m2') as MachineState;
      blockState.applyHeartbeat(
        secondMachine,
        { ...emptyHeartbeat('m2', 1), fencingToken: machineToken },
        true,
      );
      scheduler.placeOn(secondMachine);
      assert.deepEqual([fixture.task()?.machine, fixture.task()?.phase], ['m2', 'placing']);
      return { kind: 'applied', revision: 8 };
    }
    assert.equal(fixture.task()?.phase, 'placing');
    return { kind: 'applied', revision: 9 };
  });
  await fixture.place('m1');
  assert.deepEqual([commits, fixture.task()?.attempt, fixture.task()?.phase], [2, 2, 'placed']);
});
