/**
 * Compares the messages sent to and received from the state service, the cloud, users and workers with kept
 * samples, so that a change of the wire format is detected. Peer statuses are compared in
 * `peers/peer-links.test.ts`, over a real connection.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import type {
  CloudMachine,
  Heartbeat,
  JobSpec,
  MachineType,
  ReportedTask,
  WorkerCommand,
} from '../model/types.js';
import {
  defaultOperatorSettings,
  type OperatorSettings,
  parseOperatorSettings,
} from '../settings/operator.js';
import { readSampleFile, Samples } from '../testing/samples.js';
import {
  type MachineListPage,
  machineListPath,
  parseMachineList,
  parseMachineNames,
  parseMachineTypes,
  releaseBody,
  rentalBody,
  type RentalRequest,
} from './cloud.js';
import { jobDetailsResponse, jobStatusResponse, parseJob } from './jobs.js';
import {
  type Change,
  commitBody,
  type Condition,
  createLeaseBody,
  type Item,
  keyPath,
  leasePath,
  type ListPage,
  listPath,
  parseChanges,
  parseCommit,
  parseLeaseId,
  parseList,
  parseRead,
  revisionOf,
  watchPath,
  type Write,
} from './state.js';
import { heartbeatResponse, parseHeartbeat, redirectResponse } from './workers.js';

const sent = new Samples('sent.json');
const received = new Samples('received.json');

test('requests to the state service match the kept samples', () => {
  const conditions: Condition[] = [
    { key: 'lead', version: 12 },
    { key: 'job/req-000017', version: 0 },
  ];
  const writes: Write[] = [
    { put: 'alive/keel-0', value: { boot: 'b', zone: 'zone-a' }, lease: 7 },
    { put: 'job/req-000017', value: [1, 'two', null, 0.5] },
    { drop: 'machines/0/3' },
  ];
  sent.assertWritten('state, commit', commitBody(conditions, writes));
  sent.assertWritten('state, comparison', commitBody(conditions, []));
  sent.assertWritten('state, lease', createLeaseBody(6000.4));
  const paths = {
    read: keyPath('job/req-000017'),
    list: listPath('job/', '', 500),
    listOn: listPath('job/', 'job/req-000017', 500),
    watch: watchPath(4321, 10_000),
    lease: leasePath(7),
  };
  sent.assertPlain('state, paths', paths);
});

test('kept responses of the state service are parsed unchanged', () => {
  const item: Item = { key: 'job/req-000017', value: { a: 1 }, version: 12 };
  assert.deepEqual(parseRead(received.plainValue('state, read')), item);
  assert.equal(revisionOf(received.plainValue('state, read')), 40);
  const page: ListPage = {
    items: [item, { key: 'job/req-000018', value: [2], version: 13 }],
    hasMore: true,
    revision: 41,
  };
  assert.deepEqual(parseList(received.plainValue('state, list')), page);
  const changes: Change[] = [
    { key: 'end/req-000017', value: { end: 'done' }, version: 42, deleted: false },
    { key: 'job/req-000017', value: undefined, version: 42, deleted: true },
  ];
  assert.deepEqual(parseChanges(received.plainValue('state, changes')), { changes, revision: 43 });
  assert.deepEqual(parseCommit(received.plainValue('state, commit')), { revision: 44, failed: [] });
  const conflict = { revision: 45, failed: ['job/req-000017', 'lead'] };
  assert.deepEqual(parseCommit(received.plainValue('state, conflict')), conflict);
  assert.equal(parseLeaseId(received.plainValue('state, lease')), 7);
});

test('requests to the cloud match the kept samples', () => {
  const rental: RentalRequest = { name: 'n-1', type: 'c8', zone: 'zone-a', spot: true, count: 50 };
  sent.assertWritten('cloud, rental', rentalBody(rental));
  sent.assertWritten('cloud, release', releaseBody(['vm-000001', 'vm-000002']));
  const paths = { list: machineListPath('', 500), listOn: machineListPath('vm-000001', 500) };
  sent.assertPlain('cloud, paths', paths);
});

test('kept responses of the cloud are parsed unchanged', () => {
  const types: MachineType[] = [
    {
      name: 'g4',
      cpus: 16,
      accelerators: 4,
      memoryGb: 122.5,
      fetchGbPerS: 0.75,
      price: 4.5,
      spotPrice: 1.25,
      bootS: 50,
      zones: ['zone-a', 'zone-b'],
    },
    {
      name: 'c8',
      cpus: 8,
      accelerators: 0,
      memoryGb: 32,
      fetchGbPerS: 1,
      price: 1,
      spotPrice: 0.3,
      bootS: 40,
      zones: [],
    },
  ];
  assert.deepEqual(parseMachineTypes(received.plainValue('cloud, machine types')), types);
  const running: CloudMachine = {
    id: 'vm-000002',
    address: '10.0.0.2:7000',
    type: 'g4',
    zone: 'zone-b',
    spot: false,
    state: 'running',
    ageS: 90,
  };
  const booting: CloudMachine = {
    id: 'vm-000001',
    address: '10.0.0.1:7000',
    type: 'c8',
    zone: 'zone-a',
    spot: true,
    state: 'booting',
    ageS: 3.5,
  };
  const failed: CloudMachine = {
    ...running,
    id: 'vm-000003',
    address: '10.0.0.3:7000',
    state: 'failed',
    ageS: 91,
  };
  const page: MachineListPage = { machines: [booting, running, failed], hasMore: true };
  assert.deepEqual(parseMachineList(received.plainValue('cloud, machines')), page);
  assert.deepEqual(parseMachineNames(received.plainValue('cloud, rented')), ['vm-000001', 'vm-000002']);
});

test('responses to workers match the kept samples', () => {
  const task: Pick<WorkerCommand, 'job' | 'index' | 'attempt'> = { job: 'req-000017', index: 3, attempt: 2 };
  const commands: WorkerCommand[] = [
    { kind: 'forget', ...task },
    { kind: 'start', ...task, attempt: 300 },
    { kind: 'stop', ...task, graceS: 12.5 },
    { kind: 'stop', ...task },
  ];
  sent.assertWritten('worker, orders', heartbeatResponse(4321, commands));
  sent.assertWritten('worker, no orders', heartbeatResponse(0, []));
  sent.assertWritten('worker, redirect', redirectResponse('keel-2'));
  sent.assertWritten('worker, nowhere else', redirectResponse(undefined));
});

test('a kept heartbeat of a worker is parsed unchanged', () => {
  const task: Pick<ReportedTask, 'job' | 'cause'> = { job: 'req-000017', cause: '' };
  const heartbeat: Heartbeat = {
    machine: 'vm-000001',
    address: '10.0.0.1:7000',
    type: 'c8',
    zone: 'zone-a',
    spot: true,
    agentEpoch: 2,
    sequence: 7,
    fencingToken: 370,
    preemptionNoticeS: 28.5,
    tasks: [
      { ...task, index: 0, attempt: 1, state: 'fetching' },
      { ...task, index: 1, attempt: 2, state: 'running' },
      { ...task, index: 2, attempt: 1, state: 'saving' },
      { ...task, index: 3, attempt: 3, state: 'ended', cause: 'done' },
      { ...task, index: 4, attempt: 1, state: 'other' },
    ],
  };
  assert.deepEqual(parseHeartbeat(received.plainValue('worker, report')), heartbeat);
});

test('responses to users match the kept samples', () => {
  for (const status of ['pending', 'running', 'done', 'cancelled'] as const) {
    sent.assertWritten(`user, ${status}`, jobStatusResponse('req-000017', status));
    sent.assertWritten(`user, details of ${status}`, jobDetailsResponse('req-000017', status, 39, 1));
  }
});

test('kept submissions of users are parsed unchanged', () => {
  const small: JobSpec = {
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
    acceptedAt: 1234,
  };
  assert.deepEqual(parseJob(received.plainValue('user, small submission'), 1234), small);
  const full: JobSpec = {
    id: 'req-000019',
    jobClass: 'training',
    team: 'blue',
    urgency: 'best_effort',
    tasks: 100_000,
    cpus: 16,
    accelerators: 4,
    memoryGb: 123.75,
    image: 'train:8',
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
    acceptedAt: 1235,
    dependencies: ['req-000017', 'req-000018'],
  };
  assert.deepEqual(parseJob(received.plainValue('user, full submission'), 1235), full);
});

test("a kept operators' settings file is parsed unchanged, and the defaults are unchanged", async () => {
  const settings: OperatorSettings = {
    ladder: {
      initialThresholdShare: 0.7,
      spotInitialThresholdShare: 0.9,
      targetFailureRatio: 0.02,
      slotShare: 0.25,
      adjustmentPeriodS: 45,
      failureWindowS: 450,
    },
    blocks: { quotaSharePeriodS: 20, dispatchLookaheadShare: 0.5 },
    leadership: { leaseHeartbeats: 2.8 },
    workers: { missedHeartbeats: 4, bootTimeoutMultiple: 5 },
  };
  assert.deepEqual(await parseOperatorSettings(readSampleFile('operator.xml')), settings);
  const defaults: OperatorSettings = {
    ladder: {
      initialThresholdShare: 0.8,
      spotInitialThresholdShare: 0.92,
      targetFailureRatio: 0.01,
      slotShare: 0.125,
      adjustmentPeriodS: 30,
      failureWindowS: 300,
    },
    blocks: { quotaSharePeriodS: 30, dispatchLookaheadShare: 0.25 },
    leadership: { leaseHeartbeats: 2.4 },
    workers: { missedHeartbeats: 3, bootTimeoutMultiple: 3 },
  };
  assert.deepEqual(defaultOperatorSettings, defaults);
  assert.deepEqual(await parseOperatorSettings('<shalekeel/>'), defaults);
  assert.deepEqual(await parseOperatorSettings('<shalekeel><ladder start="0.8"/></shalekeel>'), defaults);
});

test("error texts about wrong operators' settings match the kept samples", async () => {
  const sample = readSampleFile('operator.xml');
  const wrong = [...sample.matchAll(/ (\w+)="([\d.]+)"/g)].map(([all, name]) =>
    sample.replace(all, ` ${name}="-1"`),
  );
  wrong.push(
    ...['ladder', 'blocks', 'leadership', 'workers'].map((name) => `<shalekeel><${name}/></shalekeel>`),
    '<shalekeel><ladder novel="1"/></shalekeel>',
    '<shalekeel><novel/></shalekeel>',
    '<shalekeel>text</shalekeel>',
    '<shalekeel><ladder start="0.5"/><ladder start="0.6"/></shalekeel>',
  );
  const errors: string[] = [];
  for (const xml of wrong) {
    await parseOperatorSettings(xml).then(
      () => errors.push('none'),
      (error: unknown) => {
        assert.ok(error instanceof Error);
        errors.push(error.message);
      },
    );
  }
  sent.assertPlain('operator, errors', errors);
});

test('every message sample is compared by a test', () => {
  assert.deepEqual([...sent.uncompared, ...received.uncompared], []);
});
