import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type JobSpec, type Order, type TaskState, taskKey } from '../model/types.js';
import { createBlockStage, emptyReport, jobSpec, valueBytes, valueLayout } from '../testing/block-stage.js';
import { machineType } from '../testing/cloud-standin.js';
import { testSettings } from '../testing/settings.js';
import { parseMachineTypes } from '../wire/cloud.js';
import { sizeOf } from '../wire/codec.js';
import { ledgerPage, tasksPerChunk } from '../wire/ledger-records.js';
import { MachineState } from '../workers/machine-state.js';
import { stragglers } from '../workers/slowness.js';
import { BlockState } from './block-state.js';
import { JobState } from './job-state.js';
import { Ledger, snapshot } from './ledger.js';
import { Usage, placeTasks } from './placement-round.js';

function jobIn(ledger: Ledger, id: string, tasks: number): JobState {
  const job = JobState.of(jobSpec(id, tasks), 1, { block: 0, ledger, perChunk: tasksPerChunk(valueBytes) });
  job.assignRanges([{ block: 0, first: 0, count: tasks }], 1);
  return job;
}

function placeAll(job: JobState, machine: string): void {
  for (let task = job.next(); task; task = job.next()) job.place(task, machine, 0);
}

// Guards against a duty that can never write again because its record has outgrown a value.
test('however much a block runs, each page of its ledger is a value of the store', () => {
  const ledger = new Ledger(valueBytes);
  for (let i = 0; i < 40; i++) placeAll(jobIn(ledger, `req-${100_000 + i}`, 1 + i * 8), 'vm-000001');
  placeAll(jobIn(ledger, 'req-200000', 3000), 'vm-000002');
  let tasks = 0;
  for (const page of ledger.pages.values()) {
    const { entries, placing } = snapshot(page, Infinity, () => assert.fail('nothing is taken off'));
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
  const first = snapshot(page, 2, (task) => task.job.giveBack(task, 0));
  assert.deepEqual([...new Set(first.placing.map((task) => task.job.id))], ['req-1', 'req-2']);
  // What was taken off is recorded as waiting after its attempt, and goes with the next commit.
  assert.deepEqual(first.entries[2]?.active, []);
  assert.equal(jobs[2]?.waiting, 2);
});

// Guards against a page that the store refuses for good: what is on machines takes more room than was set aside for it.
test('a page of compact entries takes no more tasks than it has room for, and gets room as they are done', () => {
  const ledger = new Ledger(600);
  const at = { block: 0, ledger, perChunk: 20, sizedEntries: true };
  const jobs = ['req-1', 'req-2'].map((id) => JobState.of(jobSpec(id, 20), 1, at));
  for (const [i, job] of jobs.entries()) {
    job.assignRanges([{ block: 0, first: 0, count: 20 }], 1);
    // Names that cannot be shortened, each of its own.
    for (let task = job.next(); task; task = job.next()) job.place(task, `machine-${i}-${task.index}-x`, 0);
  }
  assert.equal(ledger.pages.size, 1);
  const page = ledger.page(0);
  const first = snapshot(page, 9, (task) => task.job.giveBack(task, 0), ledger.pageBytes);
  assert.deepEqual([...new Set(first.placing.map((task) => task.job.id))], ['req-1']);
  assert.ok(sizeOf(ledgerPage(first.entries)) <= 600);
  assert.equal(jobs[1]?.waiting, 20);
  for (const task of first.placing) task.phase = 'placed';
  for (let i = 0; i < 20; i++) jobs[0]?.finish(i, 0);
  for (let task = jobs[1]?.next(); task; task = jobs[1]?.next()) jobs[1]?.place(task, 'm-1', 0);
  const second = snapshot(page, 9, () => assert.fail('there is room'), ledger.pageBytes);
  assert.equal(second.placing.length, 20);
});

test('what has not changed since the last commit is not gathered again, and an ended job leaves its page', () => {
  const ledger = new Ledger(valueBytes);
  const [one, two] = [jobIn(ledger, 'req-1', 2), jobIn(ledger, 'req-2', 2)];
  for (const job of [one, two]) placeAll(job, 'vm-1');
  const page = ledger.page(0);
  const before = snapshot(page, 9, () => undefined);
  for (const task of before.placing) task.phase = 'placed';
  two.finish(0, 5);
  const after = snapshot(page, 9, () => undefined);
  assert.equal(after.entries[0], before.entries[0]);
  assert.deepEqual(after.entries[1]?.done, [0, 0]);
  assert.deepEqual(
    after.done.map(({ job, indices }) => [job.id, indices]),
    [['req-2', [0]]],
  );
  one.leaveLedger(6);
  assert.deepEqual(
    snapshot(page, 9, () => undefined).entries.map((entry) => entry.id),
    ['req-2'],
  );
});

// Guards against ordinary machines filled with work that could have waited for a cheap one.
test('work that may use cheap machines leaves the ordinary ones alone, also while every cheap one is full', () => {
  const machine = (id: string, spot: boolean): MachineState => {
    const state = new MachineState(id, 0);
    state.place = { id, type: 'c8', zone: 'a', spot };
    return state;
  };
  const machines = [machine('m1', true), machine('m2', false)];
  const types = new Map(parseMachineTypes({ hulls: [machineType] }).map((t) => [t.name, t]));
  const ledger = new Ledger(valueBytes);
  const job = JobState.of({ ...jobSpec('req-1', 6), spot: true }, 1, { block: 0, ledger, perChunk: 100 });
  job.assignRanges([{ block: 0, first: 0, count: 6 }], 1);
  const place = (): string[] => {
    const facts = { now: 0, jobs: [job], machines, types, most: 9, usable: () => true };
    const usage = (): Usage => new Usage();
    const cheap = new Set(machines.some((m) => m.place.spot) ? ['c8'] : []);
    const choices = placeTasks({
      ...facts,
      usage,
      cheap,
      partial: false,
      team: (name) => testSettings().teams.get(name),
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
  const at = { block: 0, ledger: new Ledger(valueBytes), perChunk: 100 };
  const jobs = [
    { ...jobSpec('req-1', 1), cpus: 6, team: 'blue' },
    { ...jobSpec('req-2', 1), cpus: 6, team: 'blue' },
    { ...jobSpec('req-3', 1), cpus: 1, team: 'red' },
    { ...jobSpec('req-4', 1), cpus: 1, team: 'blue' },
  ].map((spec) => JobState.of(spec, 1, at));
  for (const job of jobs) job.assignRanges([{ block: 0, first: 0, count: 1 }], 1);
  const machine = new MachineState('m1', 0);
  machine.place = { id: 'm1', type: 'c8', zone: 'a', spot: false };
  const usage = new Usage();
  usage.add('red', { cpus: 32, accelerators: 0, memoryGb: 0 });
  const choices = placeTasks({
    now: 0,
    jobs,
    machines: [machine],
    types,
    cheap: new Set<string>(),
    partial: false,
    most: 9,
    usage: () => usage,
    usable: () => true,
    team: (name) => testSettings().teams.get(name),
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
      blockState.remove('m1');
      const other = blockState.machines.get('m2') as MachineState;
      blockState.report(other, { ...emptyReport('m2', 1), token: 7 }, true);
      scheduler.placeNow(other);
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
  stage.blockState.report(machine, { ...emptyReport('m1', machine.seq + 1), token: 7, tasks: [done] }, true);
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
    reportMs: 1000,
    clock: () => now,
    teams: new Map(),
  });
  const leased = { type: 'c8', zone: 'a', spot: false, leaving: false, since: 0 };
  blockState.applyBlock(
    { owner: 'k', boot: 'b', shares: {}, machines: [{ id: 'm1', token: 7, ...leased }] },
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
    return blockState.report(machine, { ...emptyReport('m1', seq), token, tasks }, true).verdict;
  };
  // Our token never comes back.
  assert.equal(hear(1, 3), 'unreconciled');
  machine.introducedAt = 100;
  assert.equal(machine.deafSince(), 100);
  assert.equal(hear(2, 7), 'reconciled');
  assert.equal(machine.deafSince(), undefined);
  // A start that was ordered and does not show.
  const job = JobState.of(jobSpec('req-1', 1), 1, { block: 0, ledger: blockState.ledger, perChunk: 100 });
  job.assignRanges([{ block: 0, first: 0, count: 1 }], 1);
  blockState.jobs.set('req-1', job);
  placeAll(job, 'm1');
  const task = job.tasks.get(0);
  assert.ok(task);
  blockState.put(task, machine);
  task.phase = 'placed';
  assert.equal(machine.deafSince(), undefined);
  task.orderedAt = now = 500;
  hear(3, 7);
  assert.equal(machine.deafSince(), 500);
  // Its task and its place in the team's usage stay until there is evidence.
  assert.deepEqual(
    [machine.tasks.has(taskKey({ job: 'req-1', index: 0 })), blockState.usage().of('red').cpus],
    [true, 2],
  );
  hear(4, 7, { 0: 'running' });
  assert.equal(machine.deafSince(), undefined);
});

// Guards against a job that waits minutes for its last task on a machine that is many times slower than its kind.
test('a task that runs several times as long as its like is stopped, and its machine gets no more', () => {
  let now = 0;
  const blockState = new BlockState({
    block: 0,
    layout: valueLayout,
    reportMs: 1000,
    clock: () => now,
    teams: new Map(),
  });
  const leased = { type: 'c8', zone: 'a', spot: false, leaving: false, since: 0 };
  blockState.applyBlock(
    { owner: 'k', boot: 'b', shares: {}, machines: [{ id: 'm1', token: 7, ...leased }] },
    7,
  );
  const machine = blockState.machines.get('m1') as MachineState;
  const job = JobState.of(jobSpec('req-1', 4), 1, { block: 0, ledger: blockState.ledger, perChunk: 100 });
  job.assignRanges([{ block: 0, first: 0, count: 4 }], 1);
  blockState.jobs.set('req-1', job);
  placeAll(job, 'm1');
  for (const task of job.tasks.values()) {
    task.phase = 'placed';
    blockState.put(task, machine);
  }
  const hear = (seq: number, states: TaskState[]): Order[] => {
    const tasks = states.map((state, index) => ({
      job: 'req-1',
      index,
      attempt: 1,
      state,
      cause: state === 'ended' ? 'done' : '',
    }));
    return blockState.report(machine, { ...emptyReport('m1', seq), token: 7, tasks }, true).orders;
  };
  hear(1, ['running', 'running', 'running', 'running']);
  now = 12_000;
  hear(2, ['ended', 'ended', 'ended', 'running']);
  // Three times the twelve seconds that the others took; the estimate of ten is shorter.
  assert.deepEqual(stragglers(machine, 36_000), []);
  const [slow] = stragglers(machine, 36_001);
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
    const job = JobState.of({ ...jobSpec('req-1', 4), ...change }, 1, {
      block: 0,
      ledger: new Ledger(valueBytes),
      perChunk: tasksPerChunk(valueBytes),
    });
    job.assignRanges([{ block: 0, first: 0, count: 4 }], 1);
    const machines = new Map(
      ['a', 'b', ''].map((zone) => {
        const machine = new MachineState(`m-${zone}`, 0);
        machine.place = { id: `m-${zone}`, type: 'c8', zone, spot: false };
        return [machine.id, machine];
      }),
    );
    for (const id of on) {
      const task = job.next();
      if (!task) break;
      job.place(task, id, 0);
      machines.get(id)?.tasks.set(taskKey({ job: job.id, index: task.index }), task);
    }
    const choices = placeTasks({
      now: 0,
      jobs: [job],
      machines: machines.values(),
      cheap: new Set<string>(),
      partial: false,
      most: 10,
      types: new Map(parseMachineTypes({ hulls: [machineType] }).map((type) => [type.name, type])),
      team: () => testSettings().teams.get('blue'),
      usage: () => new Usage(),
      // One whose zone is not known yet takes nothing.
      usable: (machine) => machine.place.zone !== '',
    });
    return choices.map(({ machine }) => machine.place.zone);
  };
  assert.deepEqual(places({ oneZone: true }, ['m-b']), ['b', 'b', 'b']);
  assert.deepEqual(places({ spread: true }, ['m-a', 'm-a']), ['b', 'b']);
  // Where one of them is, nobody knows: it may be in either zone.
  assert.deepEqual(places({ spread: true }, ['m-']), ['a', 'b']);
  assert.deepEqual(places({ oneZone: true }, ['m-']), []);
});
