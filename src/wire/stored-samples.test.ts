/**
 * Compares every stored record form with samples that an earlier version wrote, for writing and for reading.
 * If a stored form changed, other versions of the controller could not read the records.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { JobSpec } from '../model/types.js';
import { Samples } from '../testing/samples.js';
import {
  type BlockRecord,
  blockRecord,
  type LeasedMachine,
  machineGroups,
  pagedBlockRecord,
  parseBlock,
} from './block-records.js';
import {
  type AliveRecord,
  aliveRecord,
  currentFormat,
  formatRecord,
  type LeaderRecord,
  leaderRecord,
  parseAlive,
  parseFormat,
  parseLeader,
} from './controller-records.js';
import {
  type JobRecord,
  jobRecord,
  type OutcomeRecord,
  outcomeRecord,
  parseJobRecord,
  parseOutcome,
  type TaskRange,
} from './job-records.js';
import {
  aliveKey,
  blockKey,
  formatKey,
  jobKey,
  ladderKey,
  leaderKey,
  ledgerKey,
  ledgerPrefix,
  machinesKey,
  outcomeKey,
} from './keys.js';
import { ladderRecord, parseLadder } from './ladder-records.js';
import { type LedgerEntry, ledgerPage, parseLedgerPage } from './ledger-records.js';
import { outcomeTransaction } from './outcome-transaction.js';

const samples = new Samples('stored.json');

/** The version with which the samples are read: the store revision of their latest change. */
const version = 412;

const incarnation = '0b9c6d1e-7a42-4d0e-9a55-3f1f6f1f2a10';

const leader: LeaderRecord = { label: 'keel-1', incarnation: incarnation, candidacy: 3 };
const alive: AliveRecord = { incarnation: incarnation, zone: 'zone-b' };

const minimalSpec: JobSpec = {
  id: 'req-000017',
  jobClass: 'nightly-render',
  team: 'red',
  urgency: 'standard',
  tasks: 40,
  cpus: 0.5,
  accelerators: 0,
  memoryGb: 3.2,
  image: 'render:7',
  imageGb: 1.25,
  machineTypes: null,
  zone: null,
  colocated: false,
  spread: false,
  spot: true,
  estimatedRunS: 95.5,
  checkpointIntervalS: 0,
  checkpointSaveS: 0,
  deadlineS: null,
  acceptedAt: 1_790_000_123_456,
};

const fullSpec: JobSpec = {
  id: 'req-123456789012345678',
  jobClass: 'training',
  team: 'blue',
  urgency: 'best_effort',
  tasks: 100_000,
  cpus: 16,
  accelerators: 4,
  memoryGb: 123.75,
  image: 'train:größer',
  imageGb: 20,
  machineTypes: ['c8', 'g4'],
  zone: 'zone-b',
  colocated: true,
  spread: true,
  spot: false,
  estimatedRunS: 3600,
  checkpointIntervalS: 600,
  checkpointSaveS: 12.5,
  deadlineS: 7200,
  acceptedAt: 1_790_000_123_457,
  dependencies: ['req-000017', 'req-000018'],
};

const ranges: TaskRange[] = [
  { block: 0, first: 0, count: 12 },
  { block: 2, first: 12, count: 28 },
];

const jobs: Record<string, JobRecord> = {
  'job, no ranges': { spec: minimalSpec, taskRanges: [] },
  'job, ranges': { spec: minimalSpec, taskRanges: ranges },
  'job, dependencies': { spec: fullSpec, taskRanges: [] },
  'job, dependencies and ranges': { spec: fullSpec, taskRanges: ranges },
};

const outcomes: Record<string, OutcomeRecord> = {
  'end, done': { outcome: 'done', tasks: 40, endedAt: 1_790_000_223_456 },
  'end, cancelled': { outcome: 'cancelled', tasks: 100_000, endedAt: 1_790_000_223_457 },
  'end, without time': { outcome: 'cancelled', tasks: 0 },
};

function machine(id: string, token: number, overrides: Partial<LeasedMachine> = {}): LeasedMachine {
  return {
    id,
    fencingToken: token,
    type: 'c8',
    zone: 'zone-a',
    spot: false,
    draining: false,
    rentedAt: 1_790_000_100_000,
    ...overrides,
  };
}

const firstPage = [
  machine('vm-000001', 370),
  machine('vm-000002', 371, { draining: true }),
  machine('vm-000003', 372, { type: 'g4', zone: 'zone-b', spot: true }),
];
const secondPage = [machine('vm-000009', 401, { rentedAt: 1_790_000_200_000 })];

const block: BlockRecord = {
  owner: 'keel-2',
  incarnation: incarnation,
  quotaShares: { red: [12.5, 0], blue: [1234.25, 3] },
  machines: [...firstPage, ...secondPage],
};

const ledgerBase: Pick<LedgerEntry, 'team' | 'cpus' | 'accelerators' | 'memoryGb'> = {
  team: 'red',
  cpus: 0.5,
  accelerators: 0,
  memoryGb: 3.2,
};

const plainEntries: LedgerEntry[] = [
  {
    ...ledgerBase,
    id: 'req-000017',
    chunk: 0,
    active: [
      [3, 1, 'vm-000001'],
      [4, 2, 'vm-000003'],
    ],
    waiting: [[5, 1]],
    done: [0, 2, 6, 6],
  },
  { ...ledgerBase, id: 'req-000018', chunk: 7, active: [], waiting: [], done: [] },
];

const compactEntries: LedgerEntry[] = [
  {
    ...ledgerBase,
    id: 'req-000017',
    chunk: 2,
    chunkTasks: 40,
    active: [
      [80, 1, 'vm-000231'],
      [81, 1, 'odd'],
      [82, 3, 'vm-000007'],
    ],
    waiting: [[86, 4]],
    done: [90, 95, 97, 97],
  },
  { ...ledgerBase, id: 'req-000018', chunk: 0, chunkTasks: 40, active: [], waiting: [[1, 1]], done: [] },
];

test('the records of the leader, of live controllers and of formats match the kept samples', () => {
  samples.assertWritten('lead', leaderRecord(leader));
  samples.assertRead('lead', parseLeader, leader);
  samples.assertWritten('alive', aliveRecord(alive));
  samples.assertRead('alive', parseAlive, alive);
  samples.assertWritten('formats', formatRecord());
  samples.assertRead('formats', parseFormat, currentFormat);
});

test('the records of open jobs match the kept samples', () => {
  for (const [name, job] of Object.entries(jobs)) {
    samples.assertWritten(name, jobRecord(job));
    samples.assertRead(name, parseJobRecord, job);
  }
});

test('the records of job outcomes match the kept samples', () => {
  for (const [name, outcome] of Object.entries(outcomes)) {
    samples.assertWritten(name, outcomeRecord(outcome));
    samples.assertRead(name, parseOutcome, outcome);
    assert.deepEqual(outcomeTransaction('req-000017', 9, outcome).writes[0].value, outcomeRecord(outcome));
  }
});

test('the record of a block with its machines in the record matches the kept sample', () => {
  samples.assertWritten('block, machines', blockRecord(block));
  samples.assertRead('block, machines', (value) => parseBlock(value, version), {
    ...block,
    machines: [firstPage[0], firstPage[1], secondPage[0], firstPage[2]],
  });
});

test('a fencing token of 0, which stands for the version of the record, matches the kept sample', () => {
  const [first] = firstPage;
  const fresh = { ...block, machines: [{ ...first, fencingToken: 0 } as LeasedMachine] };
  samples.assertWritten('block, fresh machine', blockRecord(fresh));
  samples.assertRead('block, fresh machine', (value) => parseBlock(value, version), {
    ...block,
    machines: [{ ...first, fencingToken: version }],
  });
});

test('the record and the pages of a block whose machines are on pages match the kept samples', () => {
  const pages: [number, LeasedMachine[]][] = [
    [0, firstPage],
    [3, secondPage],
  ];
  for (const [page, machines] of pages) samples.assertWritten(`machines/${page}`, machineGroups(machines));
  const stored = pages.map(([page]): [number, { value: unknown; version: number }] => {
    const { value } = samples.plainValue(`machines/${page}`) as { value: unknown };
    return [page, { value, version }];
  });
  const machinesWithMinToken = (token: number): LeasedMachine[] =>
    pages.flatMap(([page, machines]) =>
      machines.map((each) => ({ ...each, fencingToken: Math.max(each.fencingToken, token), page })),
    );
  const read = (value: unknown): unknown => parseBlock(value, version, stored);
  samples.assertWritten('block, pages', pagedBlockRecord(block));
  samples.assertRead('block, pages', read, {
    ...block,
    machines: machinesWithMinToken(1),
    leaseFencingToken: 1,
  });
  samples.assertWritten('block, pages and token', pagedBlockRecord({ ...block, leaseFencingToken: 400 }));
  const raised = { ...block, machines: machinesWithMinToken(400), leaseFencingToken: 400 };
  samples.assertRead('block, pages and token', read, raised);
  samples.assertWritten('block, pages and fresh token', pagedBlockRecord({ ...block, leaseFencingToken: 0 }));
  const renewed = { ...block, machines: machinesWithMinToken(version), leaseFencingToken: version };
  samples.assertRead('block, pages and fresh token', read, renewed);
});

test('ledger pages with plain and with compact entries match the kept samples', () => {
  for (const [name, entries] of [
    ['run, present size', plainEntries],
    ['run, compact', compactEntries],
    ['run, both', [...plainEntries, ...compactEntries]],
  ] as const) {
    samples.assertWritten(name, ledgerPage([...entries]));
    samples.assertRead(name, parseLedgerPage, entries);
  }
});

test('the records of moved thresholds match the kept samples', () => {
  const moved: [number, number][] = [
    [1, 7],
    [12, 0.125],
    [13, 88],
  ];
  samples.assertWritten('ladder', ladderRecord(moved));
  samples.assertRead('ladder', parseLadder, moved);
  samples.assertWritten('ladder, cut', ladderRecord(moved, 65));
  samples.assertRead('ladder, cut', parseLadder, moved.slice(1));
});

test('all keys match the kept samples', () => {
  const keys = {
    lead: leaderKey,
    alive: aliveKey('keel-1'),
    formats: formatKey('keel-1'),
    job: jobKey('req-000017'),
    end: outcomeKey('req-000017'),
    block: blockKey(2),
    machines: machinesKey(2, 3),
    ledger: ledgerKey(2, 11),
    ledgerOfBlock: ledgerPrefix(2),
    ladder: ladderKey('c8/spot'),
  };
  samples.assertPlain('keys', keys);
});

test('every sample of a stored form is compared by a test', () => {
  assert.deepEqual(samples.uncompared, []);
});
