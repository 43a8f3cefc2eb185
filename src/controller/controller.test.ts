import assert from 'node:assert/strict';
import { after, before, describe, test } from 'node:test';

import { Cluster, submission } from '../testing/cluster.js';

// The whole service against stand-ins: what a user sees, and what must hold when parts of it fail.
describe('three controllers', () => {
  const cluster = new Cluster({ port: 21_000, taskMs: 600 });
  before(() => cluster.start());
  after(() => cluster.stop());

  test('a job is accepted, runs to its end and stays done on every controller', async () => {
    const first = await cluster.user(0, 'POST', '/v2/runs', submission('req-000001', 5));
    assert.deepEqual([first.status, first.body], [201, { id: 'req-000001', status: 'pending' }]);
    // Another controller knows the job at once, and contents of a repetition do not matter.
    const again = await cluster.user(1, 'POST', '/v2/runs', submission('req-000001', 9));
    assert.equal(again.status, 200);
    assert.notEqual(await cluster.status(2, 'req-000001'), '404');
    await cluster.until('the job is done', async () => (await cluster.status(1, 'req-000001')) === 'done');
    for (const node of [0, 1, 2]) assert.equal(await cluster.status(node, 'req-000001'), 'done');
    const late = await cluster.user(2, 'POST', '/v2/runs', submission('req-000001', 5));
    assert.deepEqual([late.status, late.body], [200, { id: 'req-000001', status: 'done' }]);
  });

  test('a cancelled job is gone from its machines and stays cancelled', async () => {
    await cluster.user(0, 'POST', '/v2/runs', submission('req-000002', 4));
    const runs = (): boolean =>
      [...cluster.workers.values()].some((w) => w.running.some((p) => p.startsWith('req-000002/')));
    await cluster.until('a task runs', runs);
    const answer = await cluster.user(2, 'POST', '/v2/runs/req-000002/cancel', {});
    assert.deepEqual([answer.status, answer.body], [200, { id: 'req-000002', status: 'cancelled' }]);
    for (const node of [0, 1, 2]) assert.equal(await cluster.status(node, 'req-000002'), 'cancelled');
    await cluster.until('its tasks are gone', () => !runs(), 2000);
    const again = await cluster.user(1, 'POST', '/v2/runs/req-000002/cancel', {});
    assert.deepEqual(again.body, { id: 'req-000002', status: 'cancelled' });
  });

  test('bad input has its status and ends nothing', async () => {
    const wrong: [unknown, number][] = [
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
    for (const [body, status] of wrong) {
      const answer = await cluster.user(0, 'POST', '/v2/runs', body);
      assert.equal(answer.status, status, JSON.stringify(body).slice(0, 300));
    }
    assert.equal((await cluster.user(0, 'GET', '/v2/runs/req-999999')).status, 404);
    assert.equal((await cluster.user(0, 'GET', '/v2/runs/nonsense')).status, 404);
    assert.equal((await cluster.user(0, 'POST', '/v2/runs/req-999999/cancel', {})).status, 404);
    assert.equal((await cluster.user(0, 'GET', '/elsewhere')).status, 404);
    assert.equal((await cluster.user(0, 'GET', '/v2/runs')).status, 405);
    assert.equal((await cluster.user(0, 'GET', '/up')).status, 200);
  });

  test('100,000 tasks are accepted and within the limits of a value', async () => {
    const job = submission('req-000004', 100_000, { owner: 'blue', cpus: 8 });
    assert.equal((await cluster.user(0, 'POST', '/v2/runs', job)).status, 201);
    await cluster.until('it runs', async () => (await cluster.status(1, 'req-000004')) === 'running');
    assert.equal((await cluster.user(1, 'POST', '/v2/runs/req-000004/cancel', {})).status, 200);
  });

  test('an answer of the store that is lost loses no job', async () => {
    cluster.store.losesAnswers = 3;
    await cluster.until('it is accepted', async () => {
      const answer = await cluster.user(0, 'POST', '/v2/runs', submission('req-000005', 3));
      return answer.status === 200 || answer.status === 201;
    });
    await cluster.until('it is done', async () => (await cluster.status(0, 'req-000005')) === 'done');
  });

  test('without the store users are turned away at once, and work resumes after it', async () => {
    await cluster.user(0, 'POST', '/v2/runs', submission('req-000006', 3));
    cluster.store.down = true;
    await cluster.until('the outage is noticed', async () => {
      const began = Date.now();
      const answer = await cluster.user(1, 'POST', '/v2/runs', submission('req-000007', 1));
      return answer.status === 503 && Date.now() - began < 500;
    });
    cluster.store.down = false;
    await cluster.until('it is done', async () => (await cluster.status(2, 'req-000006')) === 'done');
  });

  test('the end of the leader loses nothing: its block is leased anew', async () => {
    const leader = await cluster.leading();
    const node = ['keel-0', 'keel-1', 'keel-2'].indexOf(leader);
    const other = (node + 1) % 3;
    await cluster.user(other, 'POST', '/v2/runs', submission('req-000008', 12));
    cluster.stopController(leader);
    await cluster.leading(leader);
    await cluster.until(
      'it is done',
      async () => (await cluster.status(other, 'req-000008')) === 'done',
      20_000,
    );
    cluster.startController(leader);
    await cluster.until(
      'the old leader answers again',
      async () => (await cluster.status(node, 'req-000008')) === 'done',
    );
  });

  // Guards against jobs that stay unanswered once all troubles are over, and against two lives of one controller that lead.
  test('after an outage in which all controllers restart at once, every accepted job is known everywhere and runs', async () => {
    const ids = [0, 1, 2].map((i) => `req-00001${i}`);
    for (const [i, id] of ids.entries()) await cluster.user(i, 'POST', '/v2/runs', submission(id, 4));
    const before = cluster.store.value('lead');
    cluster.store.down = true;
    for (const label of ['keel-0', 'keel-1', 'keel-2']) {
      cluster.stopController(label);
      // Back within a fraction of a second, while the key of the life before still stands.
      await new Promise((resolve) => setTimeout(resolve, 150));
      cluster.startController(label);
    }
    cluster.store.down = false;
    await cluster.until('every question is answered by every controller', async () => {
      const asked = [0, 1, 2].flatMap((node) => ids.map((id) => cluster.status(node, id)));
      return (await Promise.all(asked)).every((status) => !/^[45]/.test(status));
    });
    await cluster.until(
      'all of them are done',
      async () => {
        const asked = ids.map((id, node) => cluster.status(node, id));
        return (await Promise.all(asked)).every((status) => status === 'done');
      },
      20_000,
    );
    assert.notDeepEqual(cluster.store.value('lead'), before);
  });

  test('through all of this no task was started twice at a time', () => {
    const twice = cluster.violations().filter((violation) => violation.startsWith('ran_twice'));
    assert.deepEqual(twice, []);
    assert.ok(cluster.history.happenings.some(({ kind }) => kind === 'started'));
    assert.equal(cluster.store.refusals, 0);
  });
});
