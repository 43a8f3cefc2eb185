import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type JobSpec, type WorkerCommand, type TaskState, taskKey } from '../model/types.js';
import { createBlockStage, emptyReport, jobSpec, valueBytes, valueLayout } from '../testing/block-stage.js';
import { machineType } from '../testing/cloud-standin.js';
import { testSettings } from '../testing/settings.js';
import { parseMachineTypes } from '../wire/cloud.js';
import { sizeOf } from '../wire/codec.js';
import { ledgerPage, tasksPerChunk } from '../wire/ledger-records.js';
import { MachineState } from './machine-state.js';
import { findStragglers } from '../workers/straggler-detection.js';
import { BlockState } from './block-state.js';
import { JobState } from './job-state.js';
import { Ledger, snapshotPage } from './ledger.js';
import { TeamUsage, placeTasks } from './placement-round.js';

function jobIn(ledger: Ledger, id: string, tasks: number): JobState {
  const job = JobState.fromSpec(jobSpec(id, tasks), 1, {
    block: 0,
    ledger,
    chunkTasks: tasksPerChunk(valueBytes),
  });
  job.assignRanges([{ block: 0, first: 0, count: tasks }], 1);
  return job;
}

function placeAll(job: JobState, machine: string): void {
  for (let task = job.nextWaitingTask(); task; task = job.nextWaitingTask()) job.placeTask(task, machine, 0);
}

// Guards against a duty that can never write again because its record has outgrown a value.
test('however much a block runs, each page of its ledger is a value of the store', () => {
  const ledger = new Ledger(valueBytes);
  for (let i = 0; i < 40; i++) placeAll(jobIn(ledger, `req-${100_000 + i}`, 1 + i * 8), 'vm-000001');
  placeAll(jobIn(ledger, 'req-200000', 3000), 'vm-000002');
  let tasks = 0;
  for (const page of ledger.pages.values()) {
    const { entries, placing } = snapshotPage(page, Infinity, () => assert.fail('nothing is taken off'));
    tasks += placing.length;
    const bytes = sizeOf(ledgerPage(entries));
    assert.ok(bytes <= valueBytes, `${bytes} bytes`);
  }
  assert.equal(tasks, 40 + (8 * 39 * 40) / 2 + 3000);
});

test('one commit of a page starts tasks of no more jobs than a transaction can be conditioned on', () => {
  const ledger = new Ledger(valueBytes);
  const jobs = ['req-1', 'req-2', 'req-3'].map((id) => jobIn(ledger, id, 2));
  for (const job of jobs) placeAll(job, 'vm-1');
  const page = ledger.page(0);
  const first = snapshotPage(page, 2, (task) => task.job.unassignTask(task, 0));
  assert.deepEqual([...new Set(first.placing.map((task) => task.job.id))], ['req-1', 'req-2']);
  // What was taken off is recorded as waiting after its attempt, and goes with the next commit.
  assert.deepEqual(first.entries[2]?.active, []);
  assert.equal(jobs[2]?.waitingCount, 2);
});

// Guards against a page that the store refuses for good: what is on machines takes more room than was set aside for it.
test('a page of compact entries takes no more tasks than it has room for, and gets room as they are done', () => {
  const ledger = new Ledger(600);
  const at = { block: 0, ledger, chunkTasks: 20, sizedEntries: true };
  const jobs = ['req-1', 'req-2'].map((id) => JobState.fromSpec(jobSpec(id, 20), 1, at));
  for (const [i, job] of jobs.entries()) {
    job.assignRanges([{ block: 0, first: 0, count: 20 }], 1);
    // Names that cannot be shortened, each of its own.
    for (let task = job.nextWaitingTask(); task; task = job.nextWaitingTask())
      job.placeTask(task, `machine-${i}-${task.index}-x`, 0);
  }
  assert.equal(ledger.pages.size, 1);
  const page = ledger.page(0);
  const first = snapshotPage(page, 9, (task) => task.job.unassignTask(task, 0), ledger.pageBytes);
  assert.deepEqual([...new Set(first.placing.map((task) => task.job.id))], ['req-1']);
  assert.ok(sizeOf(ledgerPage(first.entries)) <= 600);
  assert.equal(jobs[1]?.waitingCount, 20);
  for (const task of first.placing) task.phase = 'placed';
  for (let i = 0; i < 20; i++) jobs[0]?.finishTask(i, 0);
  for (let task = jobs[1]?.nextWaitingTask(); task; task = jobs[1]?.nextWaitingTask())
    jobs[1]?.placeTask(task, 'm-1', 0);
  const second = snapshotPage(page, 9, () => assert.fail('there is room'), ledger.pageBytes);
  assert.equal(second.placing.length, 20);
});

test('what has not changed since the last commit is not gathered again, and an ended job leaves its page', () => {
  const ledger = new Ledger(valueBytes);
  const [one, two] = [jobIn(ledger, 'req-1', 2), jobIn(ledger, 'req-2', 2)];
  for (const job of [one, two]) placeAll(job, 'vm-1');
  const page = ledger.page(0);
  const before = snapshotPage(page, 9, () => undefined);
  for (const task of before.placing) task.phase = 'placed';
  two.finishTask(0, 5);
  const after = snapshotPage(page, 9, () => undefined);
  assert.equal(after.entries[0], before.entries[0]);
  assert.deepEqual(after.entries[1]?.done, [0, 0]);
  assert.deepEqual(
    after.done.map(({ job, indices }) => [job.id, indices]),
    [['req-2', [0]]],
  );
  one.removeFromLedger(6);
  assert.deepEqual(
    snapshotPage(page, 9, () => undefined).entries.map((entry) => entry.id),
    ['req-2'],
  );
});

// Guards against ordinary machines filled with work that could have waited for a cheap one.
test('work that may use cheap machines leaves the ordinary ones alone, also while every cheap one is full', () => {
  const machine = (id: string, spot: boolean): MachineState => {
    const state = new MachineState(id, 0);
    state.info = { id, type: 'c8', zone: 'a', spot };
    return state;
  };
  const machines = [machine('m1', true), machine('m2', false)];
  const types = new Map(parseMachineTypes({ hulls: [machineType] }).map((t) => [t.name, t]));
  const ledger = new Ledger(valueBytes);
  const job = JobState.fromSpec({ ...jobSpec('req-1', 6), spot: true }, 1, {
    block: 0,
    ledger,
    chunkTasks: 100,
  });
  job.assignRanges([{ block: 0, first: 0, count: 6 }], 1);
  const place = (): string[] => {
    const facts = { now: 0, jobs: [job], machines, machineTypes: types, maxTasks: 9, isUsable: () => true };
    const usage = (): TeamUsage => new TeamUsage();
    const cheap = new Set(machines.some((m) => m.info.spot) ? ['c8'] : []);
    const choices = placeTasks({
      ...facts,
      teamUsage: usage,
      spotTypes: cheap,
      isPartial: false,
      teamOf: (name) => testSettings().teams.get(name),
    });
    for (const { task, machine: on } of choices) on.tasks.set(`${task.job.id}/${task.index}`, task);
    return choices.map((choice) => choice.machine.id);
  };
  assert.deepEqual(place(), ['m1', 'm1', 'm1', 'm1']);
  assert.deepEqual(place(), []);
  machines.shift();
  assert.deepEqual(place(), ['m2', 'm2']);
});

// Guards against a round that leaves machines out too early: what is full for one job may have room for a smaller one.
test('a round goes on to smaller jobs after larger ones have found no room, and past teams at their limit', () => {
  const types = new Map(parseMachineTypes({ hulls: [machineType] }).map((t) => [t.name, t]));
  const at = { block: 0, ledger: new Ledger(valueBytes), chunkTasks: 100 };
  const jobs = [
    { ...jobSpec('req-1', 1), cpus: 6, team: 'blue' },
    { ...jobSpec('req-2', 1), cpus: 6, team: 'blue' },
    { ...jobSpec('req-3', 1), cpus: 1, team: 'red' },
    { ...jobSpec('req-4', 1), cpus: 1, team: 'blue' },
  ].map((spec) => JobState.fromSpec(spec, 1, at));
  for (const job of jobs) job.assignRanges([{ block: 0, first: 0, count: 1 }], 1);
  const machine = new MachineState('m1', 0);
  machine.info = { id: 'm1', type: 'c8', zone: 'a', spot: false };
  const usage = new TeamUsage();
  usage.add('red', { cpus: 32, accelerators: 0, memoryGb: 0 });
  const choices = placeTasks({
    now: 0,
    jobs,
    machines: [machine],
    machineTypes: types,
    spotTypes: new Set<string>(),
    isPartial: false,
    maxTasks: 9,
    teamUsage: () => usage,
    isUsable: () => true,
    teamOf: (name) => testSettings().teams.get(name),
  });
  assert.deepEqual(
    choices.map(({ task }) => task.job.id),
    ['req-1', 'req-4'],
  );
});

// Guards against a job that waits for ever: the watch brought its new version before the refusal of the old one came.
test('a job whose intents were turned down is placed again under the version that the watch has brought since', async () => {
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
      blockState.applyHeartbeat(other, { ...emptyReport('m2', 1), fencingToken: 7 }, true);
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

// Guards against ends that wait for their turn while the block's record changes: nearly all that a controller committed
// for minutes on end was turned down, its intents among them.
test("a job's end is conditioned on the job alone", async () => {
  const ends: string[][] = [];
  const stage = createBlockStage((conditions) => {
    const keys = conditions.map((c) => c.key);
    if (keys.includes('end/req-1')) ends.push(keys);
    return { kind: 'applied', revision: 9 };
  });
  await stage.place('m1');
  const done = { job: 'req-1', index: 0, attempt: 1, state: 'ended' as const, cause: 'done' };
  const machine = stage.blockState.machines.get('m1') as MachineState;
  stage.blockState.applyHeartbeat(
    machine,
    { ...emptyReport('m1', machine.sequence + 1), fencingToken: 7, tasks: [done] },
    true,
  );
  void stage.scheduler.run();
  for (let i = 0; i < 100 && ends.length === 0; i++) await new Promise((resolve) => setTimeout(resolve, 20));
  stage.stop.abort();
  assert.deepEqual(ends, [['end/req-1', 'job/req-1']]);
});

// Its reports arrive, so it is never silent, while answers and commands do not reach it.
test('a machine that is told and told again without doing it counts as deaf; one that does as told does not', () => {
  let now = 0;
  const blockState = new BlockState({
    block: 0,
    layout: valueLayout,
    heartbeatIntervalMs: 1000,
    clock: () => now,
    teams: new Map(),
  });
  const leased = { type: 'c8', zone: 'a', spot: false, draining: false, rentedAt: 0 };
  blockState.applyBlockRecord(
    { owner: 'k', incarnation: 'b', quotaShares: {}, machines: [{ id: 'm1', fencingToken: 7, ...leased }] },
    7,
  );
  const machine = blockState.machines.get('m1') as MachineState;
  const hear = (seq: number, token: number, states: Record<string, 'running'> = {}): string => {
    const tasks = Object.entries(states).map(([index, state]) => ({
      job: 'req-1',
      index: Number(index),
      attempt: 1,
      state,
      cause: '',
    }));
    return blockState.applyHeartbeat(machine, { ...emptyReport('m1', seq), fencingToken: token, tasks }, true)
      .verdict;
  };
  // Our token never comes back.
  assert.equal(hear(1, 3), 'unreconciled');
  machine.fencingTokenOfferedAt = 100;
  assert.equal(machine.oneWayPartitionSince(), 100);
  assert.equal(hear(2, 7), 'reconciled');
  assert.equal(machine.oneWayPartitionSince(), undefined);
  // A start that was ordered and does not show.
  const job = JobState.fromSpec(jobSpec('req-1', 1), 1, {
    block: 0,
    ledger: blockState.ledger,
    chunkTasks: 100,
  });
  job.assignRanges([{ block: 0, first: 0, count: 1 }], 1);
  blockState.jobs.set('req-1', job);
  placeAll(job, 'm1');
  const task = job.tasks.get(0);
  assert.ok(task);
  blockState.addTask(task, machine);
  task.phase = 'placed';
  assert.equal(machine.oneWayPartitionSince(), undefined);
  task.startSentAt = now = 500;
  hear(3, 7);
  assert.equal(machine.oneWayPartitionSince(), 500);
  // Its task and its place in the team's usage stay until there is evidence.
  assert.deepEqual(
    [machine.tasks.has(taskKey({ job: 'req-1', index: 0 })), blockState.teamUsage().usedBy('red').cpus],
    [true, 2],
  );
  hear(4, 7, { 0: 'running' });
  assert.equal(machine.oneWayPartitionSince(), undefined);
});

// Guards against a job that waits minutes for its last task on a machine that is many times slower than its kind.
test('a task that runs several times as long as its like is stopped, and its machine gets no more', () => {
  let now = 0;
  const blockState = new BlockState({
    block: 0,
    layout: valueLayout,
    heartbeatIntervalMs: 1000,
    clock: () => now,
    teams: new Map(),
  });
  const leased = { type: 'c8', zone: 'a', spot: false, draining: false, rentedAt: 0 };
  blockState.applyBlockRecord(
    { owner: 'k', incarnation: 'b', quotaShares: {}, machines: [{ id: 'm1', fencingToken: 7, ...leased }] },
    7,
  );
  const machine = blockState.machines.get('m1') as MachineState;
  const job = JobState.fromSpec(jobSpec('req-1', 4), 1, {
    block: 0,
    ledger: blockState.ledger,
    chunkTasks: 100,
  });
  job.assignRanges([{ block: 0, first: 0, count: 4 }], 1);
  blockState.jobs.set('req-1', job);
  placeAll(job, 'm1');
  for (const task of job.tasks.values()) {
    task.phase = 'placed';
    blockState.addTask(task, machine);
  }
  const hear = (seq: number, states: TaskState[]): WorkerCommand[] => {
    const tasks = states.map((state, index) => ({
      job: 'req-1',
      index,
      attempt: 1,
      state,
      cause: state === 'ended' ? 'done' : '',
    }));
    return blockState.applyHeartbeat(machine, { ...emptyReport('m1', seq), fencingToken: 7, tasks }, true)
      .commands;
  };
  hear(1, ['running', 'running', 'running', 'running']);
  now = 12_000;
  hear(2, ['ended', 'ended', 'ended', 'running']);
  // Three times the twelve seconds that the others took; the estimate of ten is shorter.
  assert.deepEqual(findStragglers(machine, 36_000), []);
  const [slow] = findStragglers(machine, 36_001);
  assert.equal(slow?.index, 3);
  slow.stopping = true;
  const orders = hear(3, ['ended', 'ended', 'ended', 'running']);
  assert.deepEqual(
    orders.filter((order) => order.kind === 'stop').map((order) => order.index),
    [3],
  );
});

// Guards against a round that walked the block's machines twice though their iterator is spent after the first time: it saw
// no task of the job anywhere, and what was bound to the zone of its others started in any.
test('a round over the machines of a blockState heeds the zones of tasks that are there already', () => {
  const places = (change: Partial<JobSpec>, on: string[]): string[] => {
    const job = JobState.fromSpec({ ...jobSpec('req-1', 4), ...change }, 1, {
      block: 0,
      ledger: new Ledger(valueBytes),
      chunkTasks: tasksPerChunk(valueBytes),
    });
    job.assignRanges([{ block: 0, first: 0, count: 4 }], 1);
    const machines = new Map(
      ['a', 'b', ''].map((zone) => {
        const machine = new MachineState(`m-${zone}`, 0);
        machine.info = { id: `m-${zone}`, type: 'c8', zone, spot: false };
        return [machine.id, machine];
      }),
    );
    for (const id of on) {
      const task = job.nextWaitingTask();
      if (!task) break;
      job.placeTask(task, id, 0);
      machines.get(id)?.tasks.set(taskKey({ job: job.id, index: task.index }), task);
    }
    const choices = placeTasks({
      now: 0,
      jobs: [job],
      machines: machines.values(),
      spotTypes: new Set<string>(),
      isPartial: false,
      maxTasks: 10,
      machineTypes: new Map(parseMachineTypes({ hulls: [machineType] }).map((type) => [type.name, type])),
      teamOf: () => testSettings().teams.get('blue'),
      teamUsage: () => new TeamUsage(),
      // One whose zone is not known yet takes nothing.
      isUsable: (machine) => machine.info.zone !== '',
    });
    return choices.map(({ machine }) => machine.info.zone);
  };
  assert.deepEqual(places({ colocated: true }, ['m-b']), ['b', 'b', 'b']);
  assert.deepEqual(places({ spread: true }, ['m-a', 'm-a']), ['b', 'b']);
  // Where one of them is, nobody knows: it may be in either zone.
  assert.deepEqual(places({ spread: true }, ['m-']), ['a', 'b']);
  assert.deepEqual(places({ colocated: true }, ['m-']), []);
});
