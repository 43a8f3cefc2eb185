import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { JobSpec } from '../model/types.js';
import { JobIndex, type IndexedEntry } from '../placement/job-index.js';
import { QueueOrder, type QueuedJob, withoutDependencies } from '../placement/queue-order.js';
import { testSettings } from '../testing/settings.js';
import { machineType } from '../testing/cloud-standin.js';
import { parseMachineTypes } from '../wire/cloud.js';
import type { BlockRecord, LeasedMachine } from '../wire/block-records.js';
import type { TaskRange } from '../wire/job-records.js';
import { type AssignmentInput, assignBlocks } from './block-assignment.js';
import { CapacityEstimate, mergeTaskRanges, undispatchedRanges } from './capacity-estimate.js';
import { restoreStartedTasks, recallTasks } from './task-recall.js';
import { allocateQuotaShares } from './quota-shares.js';

const machine = (id: string, zone = 'a', change: Partial<LeasedMachine> = {}): LeasedMachine => ({
  id,
  fencingToken: 5,
  type: 'c8',
  zone,
  spot: false,
  draining: false,
  rentedAt: 0,
  ...change,
});
const block = (owner: string, ...machines: LeasedMachine[]): BlockRecord => ({
  owner,
  incarnation: 'b',
  quotaShares: {},
  machines,
});
const members = ['k0', 'k1', 'k2'].map((label, i) => ({
  label,
  incarnation: 'b',
  zone: i === 0 ? 'a' : 'b',
}));

function lease(change: Partial<AssignmentInput>): Map<number, BlockRecord> {
  return assignBlocks({
    blockCount: 3,
    blocks: new Map([
      [0, block('k0', machine('m1'))],
      [1, block('k1', machine('m2', 'b'))],
      [2, block('k2')],
    ]),
    liveMembers: members,
    stableMembers: new Set(['k0', 'k1', 'k2']),
    unassignedMachines: [],
    terminatedMachines: new Set<string>(),
    machinesWithTasks: new Set<string>(),
    drainingMachines: new Set<string>(),
    waitingSlots: () => 0,
    quotaShares: new Map(),
    ...change,
  });
}

test('leased blocks hold: nothing is written while nothing has changed', () => {
  assert.equal(lease({}).size, 0);
});

test("a dead controller's block goes to another with fresh tokens, the other blocks keep theirs", () => {
  const next = lease({ liveMembers: members.slice(1) });
  assert.deepEqual([...next.keys()], [0]);
  assert.equal(next.get(0)?.owner, 'k1');
  assert.deepEqual(
    next.get(0)?.machines.map((m) => m.fencingToken),
    [0],
  );
});

test('a controller that is back gets a block again only once it has stayed', () => {
  const blocks = new Map([
    [0, block('k1', machine('m1'))],
    [1, block('k1', machine('m2'), machine('m3'))],
    [2, block('k2')],
  ]);
  assert.equal(lease({ blocks, stableMembers: new Set(['k1', 'k2']) }).size, 0);
  assert.equal(lease({ blocks }).get(0)?.owner, 'k0');
});

test('a new machine goes to a controller of its zone, or to where alone work waits', () => {
  assert.ok(
    lease({ unassignedMachines: [machine('m9', 'a', { fencingToken: 0 })] })
      .get(0)
      ?.machines.some((m) => m.id === 'm9'),
  );
  const waiting = (b: number): number => (b === 2 ? 4 : 0);
  assert.ok(
    lease({ unassignedMachines: [machine('m9', 'a', { fencingToken: 0 })], waitingSlots: waiting })
      .get(2)
      ?.machines.some((m) => m.id === 'm9'),
  );
});

test('a machine that is gone stays in its block until its tasks have left it', () => {
  assert.equal(lease({ terminatedMachines: new Set(['m1']), machinesWithTasks: new Set(['m1']) }).size, 0);
  assert.deepEqual(lease({ terminatedMachines: new Set(['m1']) }).get(0)?.machines, []);
});

test("shares never add up to more than the team's limit, whatever is in use beyond them", () => {
  const { teams } = testSettings();
  const need = { cpus: 4, accelerators: 0, memoryGb: 1 };
  const blocks = new Map([
    [0, { ...block('k0'), quotaShares: { red: [24, 0] as [number, number] } }],
    [1, block('k1')],
  ]);
  const used: [number, number][] = [
    [20, 0],
    [0, 0],
  ];
  const waiting = [[], [{ need, count: 5 }]];
  const facts = {
    teams: [...teams.values()],
    blocks,
    demand: (b: number) => ({ used: used[b] ?? [0, 0], waiting: waiting[b] ?? [] }),
  };
  const next = allocateQuotaShares(facts);
  const share = (b: number): number => next.get(b)?.['red']?.[0] ?? 0;
  // 32 in all: 24 are leased to the first block, so only 8 are free now, and its share is cut to what it uses.
  assert.deepEqual([share(0), share(1)], [20, 8]);
  // Once the cut is in force, the rest is there to give.
  blocks.set(0, { ...block('k0'), quotaShares: { red: [20, 0] } });
  blocks.set(1, { ...block('k1'), quotaShares: { red: [8, 0] } });
  const later = allocateQuotaShares(facts);
  assert.deepEqual([later.get(0)?.['red']?.[0], later.get(1)?.['red']?.[0]], [20, 12]);
  assert.equal(next.get(0)?.['blue'], undefined);
});

const spec = (id: string, tasks: number, change: Partial<JobSpec> = {}): JobSpec => ({
  id,
  jobClass: 'x',
  team: 'red',
  urgency: 'standard',
  tasks,
  cpus: 2,
  accelerators: 0,
  memoryGb: 2,
  image: 'i',
  imageGb: 1,
  machineTypes: null,
  zone: null,
  colocated: false,
  spread: false,
  spot: false,
  estimatedRunS: 10,
  checkpointIntervalS: 0,
  checkpointSaveS: 0,
  deadlineS: null,
  acceptedAt: 0,
  ...change,
});

function rooms(up: (id: string) => boolean = () => true): CapacityEstimate {
  const jobIndex = new JobIndex(() => 0);
  const types = new Map(parseMachineTypes({ hulls: [machineType] }).map((t) => [t.name, t]));
  const blocks = new Map([
    [0, block('k0', machine('m1'))],
    [1, block('k1', machine('m2'), machine('m3'))],
  ]);
  return new CapacityEstimate({
    blocks,
    isAlive: () => true,
    machineTypes: types,
    jobIndex,
    lookahead: 0,
    isBooted: (m) => up(m.id),
  });
}

test('a job goes whole to the roomiest block, and to none where none has room for all of it', () => {
  assert.deepEqual(rooms().findWholeJobBlock(spec('req-1', 8)), [{ block: 1, first: 0, count: 8 }]);
  assert.equal(rooms().findWholeJobBlock(spec('req-1', 9)), undefined);
});

// Guards against jobs that wait for a machine to boot while another block has room.
test('a block whose machines are still booting has no room, and one that is preferred is taken if it has', () => {
  const some = rooms((id) => id === 'm1');
  assert.deepEqual(some.findWholeJobBlock(spec('req-1', 4)), [{ block: 0, first: 0, count: 4 }]);
  assert.equal(some.findWholeJobBlock(spec('req-2', 5)), undefined);
  assert.deepEqual(
    rooms().findWholeJobBlock(spec('req-3', 4), (b) => b === 0),
    [{ block: 0, first: 0, count: 4 }],
  );
});

test('a job too big for one block is dispatched as far as there is room, and what is dispatched takes that room', () => {
  const some = rooms();
  assert.deepEqual(some.dispatch(spec('req-1', 11), []), [
    { block: 1, first: 0, count: 8 },
    { block: 0, first: 8, count: 3 },
  ]);
  assert.deepEqual(some.dispatch(spec('req-2', 4), []), [{ block: 0, first: 0, count: 1 }]);
  assert.equal(some.dispatch(spec('req-3', 4), []), undefined);
});

test('tasks bound to each other by zone are dispatched to one block, all or none', () => {
  assert.deepEqual(rooms().dispatch(spec('req-1', 20, { colocated: true }), []), [
    { block: 1, first: 0, count: 20 },
  ]);
});

test('every task is dispatched once: gaps are found and neighbouring ranges joined', () => {
  const parts = [
    { block: 0, first: 4, count: 2 },
    { block: 1, first: 0, count: 3 },
  ];
  assert.deepEqual(undispatchedRanges(parts, 8), [
    { first: 3, count: 1 },
    { first: 6, count: 2 },
  ]);
  assert.deepEqual(mergeTaskRanges([...parts, { block: 0, first: 6, count: 2 }]), [
    { block: 0, first: 4, count: 4 },
    parts[1],
  ]);
});

// Guards against the largest jobs being starved: they need room in many places, and small ones fit anywhere.
test('a job of many tasks begins within four minutes and comes to its end while small ones take all the room', () => {
  const large = { spec: spec('req-1', 60, { acceptedAt: 0 }), parts: [] as TaskRange[] };
  const order = new QueueOrder([]);
  const jobs = [large];
  const dispatched = (job: { parts: TaskRange[] }): number =>
    job.parts.reduce((sum, part) => sum + part.count, 0);
  const queued = (job: (typeof jobs)[number]): QueuedJob => {
    return {
      spec: job.spec,
      dependencyFacts: withoutDependencies(job.spec),
      waiting: job.spec.tasks - dispatched(job),
      started: dispatched(job) > 0,
    };
  };
  let begunS = Infinity;
  let nowS = 0;
  for (; dispatched(large) < 60 && nowS < 900; nowS += 10) {
    // Every round all that ran has ended, and as many small jobs come as would fill the room.
    for (let i = 0; i < 3; i++) {
      jobs.push({ spec: spec(`req-${100 + nowS + i}`, 4, { acceptedAt: nowS * 1000 }), parts: [] });
    }
    const room = rooms();
    const open = jobs.filter((job) => dispatched(job) < job.spec.tasks);
    for (const job of order.sorted(open, queued, nowS * 1000)) {
      job.parts = room.dispatch(job.spec, job.parts) ?? job.parts;
    }
    if (dispatched(large) > 0) begunS = Math.min(begunS, nowS);
  }
  assert.ok(begunS < 240, `began after ${begunS} s`);
  assert.ok(nowS < 400, `all dispatched after ${nowS} s`);
});

// Guards against dispatches task by task: with 25 changes a second a third of them were dispatches of what had no room.
test('the more waits beyond all room, the more a block is given ahead, up to its size once over', () => {
  const large = spec('req-1', 500);
  const given = (backlog: number): number => {
    const room = rooms();
    if (backlog > 0) room.extendLookahead([{ spec: large, tasks: backlog }]);
    return (room.dispatch(large, []) ?? []).reduce((sum, part) => sum + part.count, 0);
  };
  const [without, some, much] = [given(0), given(12), given(500)];
  assert.equal(without, 12);
  assert.ok(some > without && some <= without * 2, `${some} of ${without}`);
  assert.equal(much, without * 2);
});

const entry = (at: number, active: number[], done: number[] = []): IndexedEntry => ({
  id: 'req-1',
  chunk: 0,
  team: 'red',
  cpus: 1,
  accelerators: 0,
  memoryGb: 1,
  waiting: [],
  doneCount: 0,
  block: at,
  active: active.map((index) => [index, 1, 'm1']),
  done,
});

// Guards against work that waits in a full block for ever while another block has room for it.
test('waiting tasks are taken back from the ends of their block, never one that is on a machine or done', () => {
  const parts = [
    { block: 0, first: 0, count: 6 },
    { block: 1, first: 6, count: 4 },
    { block: 0, first: 10, count: 5 },
  ];
  const entries = [entry(0, [0, 11], [10, 10]), entry(1, [14])];
  assert.deepEqual(recallTasks(parts, 0, entries, 2), [
    { block: 0, first: 0, count: 6 },
    { block: 1, first: 6, count: 4 },
    { block: 0, first: 10, count: 3 },
  ]);
  assert.deepEqual(recallTasks(parts, 0, entries, 100), [
    { block: 0, first: 0, count: 1 },
    { block: 1, first: 6, count: 4 },
    { block: 0, first: 10, count: 2 },
  ]);
  // Also one that waits between others that are done.
  assert.deepEqual(recallTasks([{ block: 0, first: 0, count: 3 }], 0, [entry(0, [], [0, 0, 2, 2])], 5), [
    { block: 0, first: 0, count: 1 },
    { block: 0, first: 2, count: 1 },
  ]);
  assert.deepEqual(recallTasks([{ block: 2, first: 0, count: 3 }], 2, [], 3), []);
  assert.equal(recallTasks([{ block: 0, first: 0, count: 1 }], 0, entries, 1), undefined);
});

// Guards against two blocks that start one task: its intent was committed just before it was taken back, unseen.
test("a task that is on a block's ledger goes back to that block before anything of its job is dispatched", () => {
  const taskRanges = [{ block: 1, first: 0, count: 2 }];
  const job = (
    change: Partial<JobSpec> = {},
    at = taskRanges,
  ): { taskRanges: TaskRange[]; spec: JobSpec } => ({
    taskRanges: at,
    spec: spec('req-1', 6, change),
  });
  assert.deepEqual(restoreStartedTasks(job(), [entry(0, [3, 4], [5, 5]), entry(1, [0])]), [
    { block: 1, first: 0, count: 2 },
    { block: 0, first: 3, count: 3 },
  ]);
  assert.equal(restoreStartedTasks(job(), [entry(1, [0])]), undefined);
  assert.equal(restoreStartedTasks(job({}, [{ block: 1, first: 0, count: 6 }]), [entry(0, [3])]), undefined);
  // Tasks that depend on each other's zones go back to it all together.
  assert.deepEqual(restoreStartedTasks(job({ spread: true }, []), [entry(0, [3])]), [
    { block: 0, first: 0, count: 6 },
  ]);
});
