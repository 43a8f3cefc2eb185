import assert from 'node:assert/strict';
import { test } from 'node:test';

import { createBlockStage, emptyReport, machineToken } from '../testing/block-stage.js';
import type { MachineState } from './machine-state.js';

const twoTasks = { cpus: 4, accelerators: 0 };

// Guards against a broken quota: the leader cut the share and gave the room to another block, the commit of the intents
// failed for the block's version, and they were committed again under the new one.
test('an intent whose commit failed for the block is not committed under a record that cuts its team’s share', async () => {
  const versions: number[] = [];
  const stage = createBlockStage(
    (conditions, { putBlock }) => {
      versions.push(conditions.find((c) => c.key === 'block/0')?.version ?? 0);
      if (versions.length > 1) return { kind: 'applied', revision: 9 };
      putBlock(8, { shares: { red: [4, 0] } });
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
  assert.equal(versions[1], 8);
});

// The commit without an answer may have been carried out before the cut, or never: nothing of it was sent to a worker.
test('an intent of unknown fate is withdrawn when its team’s share is cut', async () => {
  let commits = 0;
  const stage = createBlockStage(
    (_conditions, { putBlock }) => {
      if (commits++ > 0) return { kind: 'applied', revision: 9 };
      putBlock(8, { shares: { red: [4, 0] } });
      return { kind: 'unknown' };
    },
    { team: 'red', tasks: 4, shares: { red: [8, 0] } },
  );
  await stage.place('m1');
  assert.deepEqual(stage.blockState.teamUsage().usedBy('red'), twoTasks);
});

// Guards against a machine that is given back with a task on it: it was empty when its record said that it is leaving.
test('an intent is not committed for a machine that the block’s new record calls leaving', async () => {
  let commits = 0;
  const stage = createBlockStage((_conditions, { putBlock }) => {
    if (commits++ > 0) return { kind: 'applied', revision: 9 };
    putBlock(8, { leaving: ['m1'] });
    return { kind: 'conflict', failed: ['block/0'], revision: 8 };
  });
  await stage.place('m1');
  assert.equal(stage.blockState.machines.get('m1')?.tasks.size, 0);
  await stage.place('m2');
  assert.deepEqual([stage.task()?.machine, stage.task()?.phase], ['m2', 'placed']);
});

// Guards against a job that waits for ever: its new version was read before the refusal of the old one came.
test('a job whose intents were turned down is placed again under the version that has been read since', async () => {
  const seen: number[] = [];
  const stage = createBlockStage((conditions, { putJob }) => {
    seen.push(conditions.find((c) => c.key === 'job/req-1')?.version ?? 0);
    if (seen.length > 1) return { kind: 'applied', revision: 9 };
    putJob(5);
    return { kind: 'conflict', failed: ['job/req-1'], revision: 6 };
  });
  await stage.place('m1');
  await stage.place('m1');
  assert.deepEqual(seen, [3, 5]);
  assert.equal(stage.task()?.phase, 'placed');
});

// Guards against a start that no commit speaks of: the machine went while its intent was on the way.
test('a commit confirms the attempt that it was made for, and no later one', async () => {
  let commits = 0;
  const stage = createBlockStage((_conditions, { blockState, scheduler }) => {
    if (commits++ === 0) {
      blockState.removeTerminated('m1');
      const other = blockState.machines.get('m2') as MachineState;
      blockState.applyHeartbeat(other, { ...emptyReport('m2', 1), fencingToken: machineToken }, true);
      scheduler.placeOn(other);
      assert.deepEqual([stage.task()?.machine, stage.task()?.phase], ['m2', 'placing']);
      return { kind: 'applied', revision: 8 };
    }
    assert.equal(stage.task()?.phase, 'placing');
    return { kind: 'applied', revision: 9 };
  });
  await stage.place('m1');
  assert.deepEqual([commits, stage.task()?.attempt, stage.task()?.phase], [2, 2, 'placed']);
});
