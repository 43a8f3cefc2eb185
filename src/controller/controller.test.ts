import assert from 'node:assert/strict';
import { after, before, describe, test } from 'node:test';

import { Cluster } from '../testing/cluster.js';
import { submission } from '../testing/submission.js';

// Runs three controllers against stand-ins of the store, the cloud and the workers. Checks the responses to
// users, and the guarantees that must hold when parts of the service fail.
describe('three controllers', () => {
  const cluster = new Cluster({ port: 21_000, taskMs: 600 });
  before(() => cluster.start());
  after(() => cluster.stop());

  test('a job is accepted, runs to completion and has status done on every controller', async () => {
    const accepted = await cluster.request(0, 'POST', '/v2/runs', submission('req-000001', 5));
    assert.deepEqual([accepted.status, accepted.body], [201, { id: 'req-000001', status: 'pending' }]);
    // Another controller returns the job immediately. The content of a repeated submission is ignored.
    const repeated = await cluster.request(1, 'POST', '/v2/runs', submission('req-000001', 9));
    assert.equal(repeated.status, 200);
    assert.notEqual(await cluster.status(2, 'req-000001'), '404');
    await cluster.waitUntil(
      'the job is done',
      async () => (await cluster.status(1, 'req-000001')) === 'done',
    );
    for (const node of [0, 1, 2]) assert.equal(await cluster.status(node, 'req-000001'), 'done');
    const afterCompletion = await cluster.request(2, 'POST', '/v2/runs', submission('req-000001', 5));
    assert.deepEqual(
      [afterCompletion.status, afterCompletion.body],
      [200, { id: 'req-000001', status: 'done' }],
    );
  });

  test('the tasks of a cancelled job end on their machines, and the job stays cancelled', async () => {
    await cluster.request(0, 'POST', '/v2/runs', submission('req-000002', 4));
    const isRunning = (): boolean =>
      [...cluster.workers.values()].some((w) => w.running.some((p) => p.startsWith('req-000002/')));
    await cluster.waitUntil('a task runs', isRunning);
    const answer = await cluster.request(2, 'POST', '/v2/runs/req-000002/cancel', {});
    assert.deepEqual([answer.status, answer.body], [200, { id: 'req-000002', status: 'cancelled' }]);
    for (const node of [0, 1, 2]) assert.equal(await cluster.status(node, 'req-000002'), 'cancelled');
    await cluster.waitUntil('no task of the job runs any more', () => !isRunning(), 2000);
    const repeated = await cluster.request(1, 'POST', '/v2/runs/req-000002/cancel', {});
    assert.deepEqual(repeated.body, { id: 'req-000002', status: 'cancelled' });
  });

  test('each kind of invalid request gets its HTTP status, and the service keeps running', async () => {
    const invalidSubmissions: [unknown, number][] = [
      ['text', 400],
      [[1, 2], 400],
      [{}, 400],
      [submission('job-1', 1), 400],
      [submission('req-000003', 0), 400],
      [submission('req-000003', 1.5), 400],
      [submission('req-000003', 1, { cpus: Number.NaN }), 400],
      [submission('req-000003', 1, { memoryGb: Infinity }), 400],
      [submission('req-000003', 1, { expectS: -1 }), 400],
      [submission('req-000003', 1, { shape: 'circle' }), 400],
      [submission('req-000003', 1, { owner: 'nobody' }), 422],
      [submission('req-000003', 1, { cpus: 64 }), 422],
      [submission('req-000003', 1, { hulls: ['z9'] }), 422],
      [submission('req-000003', 1, { jobclass: 'x'.repeat(70_000) }), 413],
    ];
    for (const [body, status] of invalidSubmissions) {
      const answer = await cluster.request(0, 'POST', '/v2/runs', body);
      assert.equal(answer.status, status, JSON.stringify(body).slice(0, 300));
    }
    assert.equal((await cluster.request(0, 'GET', '/v2/runs/req-999999')).status, 404);
    assert.equal((await cluster.request(0, 'GET', '/v2/runs/nonsense')).status, 404);
    assert.equal((await cluster.request(0, 'POST', '/v2/runs/req-999999/cancel', {})).status, 404);
    assert.equal((await cluster.request(0, 'GET', '/elsewhere')).status, 404);
    assert.equal((await cluster.request(0, 'GET', '/v2/runs')).status, 405);
    assert.equal((await cluster.request(0, 'GET', '/up')).status, 200);
  });

  test('a job of 100,000 tasks is accepted and runs without exceeding the size limit of a stored value', async () => {
    const job = submission('req-000004', 100_000, { owner: 'blue', cpus: 8 });
    assert.equal((await cluster.request(0, 'POST', '/v2/runs', job)).status, 201);
    await cluster.waitUntil(
      'the job is running',
      async () => (await cluster.status(1, 'req-000004')) === 'running',
    );
    assert.equal((await cluster.request(1, 'POST', '/v2/runs/req-000004/cancel', {})).status, 200);
  });

  test('no job is lost when the store applies commits but its responses are lost', async () => {
    cluster.store.answersToDrop = 3;
    await cluster.waitUntil('the job is accepted', async () => {
      const answer = await cluster.request(0, 'POST', '/v2/runs', submission('req-000005', 3));
      return answer.status === 200 || answer.status === 201;
    });
    await cluster.waitUntil(
      'the job is done',
      async () => (await cluster.status(0, 'req-000005')) === 'done',
    );
  });

  test('during an outage of the store, submissions are refused immediately with 503; jobs complete after the outage', async () => {
    await cluster.request(0, 'POST', '/v2/runs', submission('req-000006', 3));
    cluster.store.hasOutage = true;
    await cluster.waitUntil('a submission is refused with 503 within 500 ms', async () => {
      const sentAt = Date.now();
      const answer = await cluster.request(1, 'POST', '/v2/runs', submission('req-000007', 1));
      return answer.status === 503 && Date.now() - sentAt < 500;
    });
    cluster.store.hasOutage = false;
    await cluster.waitUntil(
      'the job is done',
      async () => (await cluster.status(2, 'req-000006')) === 'done',
    );
  });

  test('no job is lost when the leader stops, because its block is leased to another controller', async () => {
    const leader = await cluster.waitForLeader();
    const leaderNode = ['keel-0', 'keel-1', 'keel-2'].indexOf(leader);
    const otherNode = (leaderNode + 1) % 3;
    await cluster.request(otherNode, 'POST', '/v2/runs', submission('req-000008', 12));
    cluster.stopController(leader);
    await cluster.waitForLeader(leader);
    await cluster.waitUntil(
      'the job is done',
      async () => (await cluster.status(otherNode, 'req-000008')) === 'done',
      20_000,
    );
    cluster.startController(leader);
    await cluster.waitUntil(
      'the restarted former leader returns the status of the job',
      async () => (await cluster.status(leaderNode, 'req-000008')) === 'done',
    );
  });

  // All controllers restart during an outage of the store, and then the outage ends. Guards against two wrong
  // results: status requests for accepted jobs are never answered, or two incarnations of one controller both
  // lead.
  test('after all controllers restart during an outage, each returns every accepted job, and all jobs complete', async () => {
    const ids = [0, 1, 2].map((i) => `req-00001${i}`);
    for (const [i, id] of ids.entries()) await cluster.request(i, 'POST', '/v2/runs', submission(id, 4));
    const leaderBefore = cluster.store.value('lead');
    cluster.store.hasOutage = true;
    for (const label of ['keel-0', 'keel-1', 'keel-2']) {
      cluster.stopController(label);
      // Because the restart takes a fraction of a second, the alive key of the previous incarnation is still
      // in the store when the new incarnation starts.
      await new Promise((resolve) => setTimeout(resolve, 150));
      cluster.startController(label);
    }
    cluster.store.hasOutage = false;
    await cluster.waitUntil('every controller returns the status of every job', async () => {
      const statuses = [0, 1, 2].flatMap((node) => ids.map((id) => cluster.status(node, id)));
      return (await Promise.all(statuses)).every((status) => !/^[45]/.test(status));
    });
    await cluster.waitUntil(
      'all jobs are done',
      async () => {
        const statuses = ids.map((id, node) => cluster.status(node, id));
        return (await Promise.all(statuses)).every((status) => status === 'done');
      },
      20_000,
    );
    assert.notDeepEqual(cluster.store.value('lead'), leaderBefore);
  });

  test('in all tests above, no task ran twice at the same time', () => {
    const doubleStarts = cluster.violations().filter((violation) => violation.startsWith('ran_twice'));
    assert.deepEqual(doubleStarts, []);
    assert.ok(cluster.history.events.some(({ kind }) => kind === 'started'));
    assert.equal(cluster.store.refusals, 0);
  });
});
