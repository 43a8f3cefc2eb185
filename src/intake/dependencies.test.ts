/** Tests submissions, status queries and cancel requests for jobs with dependencies. */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';

import type { Reply } from '../base/replies.js';
import { InMemoryStore } from '../testing/in-memory-store.js';
import { UserApiFixture, type UserApiFixtureOptions } from '../testing/user-api-fixture.js';
import { waitUntil } from '../testing/wait-until.js';

const firstJob = 'req-000001';
const secondJob = 'req-000002';
const thirdJob = 'req-000003';

async function createControllers(
  options: UserApiFixtureOptions = {},
): Promise<{ store: InMemoryStore; controller: UserApiFixture; otherController: UserApiFixture }> {
  const store = new InMemoryStore();
  const controller = await UserApiFixture.create(store, firstJob, options);
  return { store, controller, otherController: await UserApiFixture.create(store, firstJob, options) };
}

const statusIn = ({ body }: Reply): string => (body as { status: string }).status;

describe('submissions with dependencies', () => {
  test('are refused with 400 if `moorings` is not a list or contains an entry that is not a job id', async () => {
    const { controller } = await createControllers();
    for (const moorings of ['req-000001', [1], ['x'], [null], { 0: firstJob }]) {
      assert.equal((await controller.submit({ moorings }, secondJob)).status, 400);
    }
  });

  test('are accepted without dependencies if `moorings` is null or empty, and repeated ids count once', async () => {
    const { controller } = await createControllers();
    await controller.submit();
    assert.equal((await controller.submit({ moorings: null }, secondJob)).status, 201);
    assert.equal((await controller.submit({ moorings: [] }, thirdJob)).status, 201);
    const repeated = Array.from({ length: 3000 }, () => firstJob);
    assert.equal((await controller.submit({ moorings: repeated }, 'req-000004')).status, 201);
  });

  test('are refused with 422 if the job depends on itself or on a job that was never accepted', async () => {
    const { controller } = await createControllers();
    assert.equal((await controller.submit({ moorings: [firstJob] }, secondJob)).status, 422);
    assert.equal((await controller.submit({ moorings: [secondJob] }, secondJob)).status, 422);
  });

  // Controller A accepts the dependency. The replica of controller B does not contain the dependency yet when
  // B receives the dependent. If B relied on its replica, it would refuse the dependent with 422.
  test('are accepted if another controller accepted or cancelled the dependency', async () => {
    const { controller, otherController } = await createControllers();
    await controller.submit();
    assert.equal((await otherController.submit({ moorings: [firstJob] }, secondJob)).status, 201);
    await controller.cancel();
    assert.equal((await otherController.submit({ moorings: [firstJob] }, thirdJob)).status, 201);
  });

  test('are refused with the reason if the dependencies do not fit into a job record', async () => {
    const { controller } = await createControllers();
    const moorings = Array.from({ length: 4000 }, (_, i) => `req-${i}`);
    const { status, body } = await controller.submit({ moorings }, secondJob);
    assert.deepEqual([status, body], [422, { error: 'the description of the job is too large' }]);
  });

  test('of an accepted job are answered with 200 when the client retries with other dependencies', async () => {
    const { controller, otherController } = await createControllers();
    await controller.submit();
    for (const target of [controller, otherController]) {
      assert.equal((await target.submit({ moorings: ['req-000009'] })).status, 200);
      assert.equal((await target.submit({ moorings: [firstJob] })).status, 200);
    }
  });

  // A controller of an earlier version ignores dependencies. If a job with dependencies were accepted, that
  // controller could start tasks of the job before the dependencies are done (rule `too_early` in
  // `testing/checker.ts`).
  test('are refused immediately with 503 if some controller may not support dependencies', async () => {
    const { controller } = await createControllers({ supportsDependencies: false });
    await controller.submit();
    const { status, retryAfterS } = await controller.submit({ moorings: [firstJob] }, secondJob);
    assert.deepEqual([status, retryAfterS], [503, 1]);
  });

  test('are refused immediately with 503 if cancellations may be missing from the replica', async () => {
    const { controller } = await createControllers({ knowsCancellations: false });
    await controller.submit();
    assert.equal((await controller.submit({ moorings: [firstJob] }, secondJob)).status, 503);
  });
});

describe('a job with a cancelled dependency', () => {
  test('is cancelled together with the dependency, both as a direct and as a transitive dependent', async () => {
    const { controller } = await createControllers();
    await controller.submit();
    await controller.submit({ moorings: [firstJob] }, secondJob);
    await controller.submit({ moorings: [secondJob] }, thirdJob);
    assert.equal(statusIn(await controller.query(thirdJob)), 'pending');
    await controller.cancel();
    assert.equal(statusIn(await controller.query(secondJob)), 'cancelled');
    assert.equal(statusIn(await controller.query(thirdJob)), 'cancelled');
  });

  test('is accepted and immediately cancelled if it is submitted after the cancellation', async () => {
    const { controller } = await createControllers();
    await controller.submit();
    await controller.cancel();
    const reply = await controller.submit({ moorings: [firstJob] }, secondJob);
    assert.deepEqual([reply.status, statusIn(reply)], [201, 'cancelled']);
    assert.equal(statusIn(await controller.submit({ moorings: [firstJob] }, secondJob)), 'cancelled');
  });

  // Controller B accepts a dependent. Then controller A cancels the dependency, but not the dependent, which
  // is missing from A's replica. If B did not check the dependency on a query, B would report the dependent
  // as open (rule `orphaned` in `testing/checker.ts`).
  test('is cancelled by a status query if no controller has cancelled the job yet', async () => {
    const { controller, otherController } = await createControllers();
    await controller.submit();
    await otherController.submit({ moorings: [firstJob] }, secondJob);
    await controller.cancel();
    assert.equal(statusIn(await otherController.query()), 'cancelled');
    assert.equal(statusIn(await otherController.query(secondJob)), 'cancelled');
    assert.equal(statusIn(await controller.query(secondJob)), 'cancelled');
  });

  test('is not reported as open if cancellations may be missing from the replica; a known cancellation is reported', async () => {
    const { store, controller, otherController } = await createControllers();
    await controller.submit();
    await controller.submit({ moorings: [firstJob] }, secondJob);
    const staleController = await UserApiFixture.create(store, firstJob, { knowsCancellations: false });
    assert.equal((await staleController.query(secondJob)).status, 503);
    await otherController.cancel();
    await staleController.query();
    assert.equal(statusIn(await staleController.query(secondJob)), 'cancelled');
  });

  test('stays open if the dependency was done before the cancel request', async () => {
    const { controller, store } = await createControllers();
    await controller.submit();
    await controller.submit({ moorings: [firstJob] }, secondJob);
    await store.endAsDone(firstJob);
    assert.equal(statusIn(await controller.cancel()), 'done');
    assert.equal(statusIn(await controller.query(secondJob)), 'pending');
  });
});

// A controller commits the outcome of a cancelled job, and stops before it cancels the dependents. If no
// other controller continued the cascade, the dependents would stay open.
test('another controller cancels a chain of ten jobs and the hundred dependents of its last job', async () => {
  const { controller, store } = await createControllers();
  const chain = Array.from({ length: 10 }, (_, i) => `req-${100 + i}`);
  const fanOut = Array.from({ length: 100 }, (_, i) => `req-${200 + i}`);
  await controller.submit({}, chain[0]);
  for (const [i, id] of chain.slice(1).entries()) await controller.submit({ moorings: [chain[i]] }, id);
  for (const id of fanOut) await controller.submit({ moorings: [chain[9]] }, id);
  // Only the outcome of the first job is committed, as if the controller had stopped before it cancelled any
  // dependent.
  await store.endAsCancelled(chain[0] ?? '');
  const otherController = await UserApiFixture.create(store, firstJob, { loadsOpenJobs: true });
  const stop = new AbortController();
  void otherController.cascade.run(stop.signal);
  await waitUntil(() => [...chain, ...fanOut].every((id) => store.has(`end/${id}`)));
  stop.abort();
  assert.ok(store.largestWrites <= 20);
});
