/** Tests submissions, queries and cancel requests of jobs with dependencies. */
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
  test('a dependency list that is not a list, or has an entry that is not a job id, is malformed', async () => {
    const { controller } = await createControllers();
    for (const moorings of ['req-000001', [1], ['x'], [null], { 0: firstJob }]) {
      assert.equal((await controller.submit({ moorings }, secondJob)).status, 400);
    }
  });

  test('null and an empty list mean no dependencies, and repeated ids count once', async () => {
    const { controller } = await createControllers();
    await controller.submit();
    assert.equal((await controller.submit({ moorings: null }, secondJob)).status, 201);
    assert.equal((await controller.submit({ moorings: [] }, thirdJob)).status, 201);
    const repeated = Array.from({ length: 3000 }, () => firstJob);
    assert.equal((await controller.submit({ moorings: repeated }, 'req-000004')).status, 201);
  });

  test('a job that depends on itself or on a job that was never accepted is refused with 422', async () => {
    const { controller } = await createControllers();
    assert.equal((await controller.submit({ moorings: [firstJob] }, secondJob)).status, 422);
    assert.equal((await controller.submit({ moorings: [secondJob] }, secondJob)).status, 422);
  });

  // Guards against 422 from a controller whose replica lags: another controller has just accepted the
  // dependency.
  test('a dependency that another controller accepted, or that ended there, is accepted', async () => {
    const { controller, otherController } = await createControllers();
    await controller.submit();
    assert.equal((await otherController.submit({ moorings: [firstJob] }, secondJob)).status, 201);
    await controller.cancel();
    assert.equal((await otherController.submit({ moorings: [firstJob] }, thirdJob)).status, 201);
  });

  test('more dependencies than fit into a job record are refused with the reason', async () => {
    const { controller } = await createControllers();
    const moorings = Array.from({ length: 4000 }, (_, i) => `req-${i}`);
    const { status, body } = await controller.submit({ moorings }, secondJob);
    assert.deepEqual([status, body], [422, { error: 'the description of the job is too large' }]);
  });

  test('a repetition of an accepted submission is accepted, whichever dependencies it lists', async () => {
    const { controller, otherController } = await createControllers();
    await controller.submit();
    for (const target of [controller, otherController]) {
      assert.equal((await target.submit({ moorings: ['req-000009'] })).status, 200);
      assert.equal((await target.submit({ moorings: [firstJob] })).status, 200);
    }
  });

  // Guards against tasks that start before their dependencies are done (the checker's `too_early`): a
  // controller of an earlier version ignores dependencies and would start the job at once.
  test('are refused at once with 503 while some controller may not support dependencies', async () => {
    const { controller } = await createControllers({ supportsDependencies: false });
    await controller.submit();
    const { status, retryAfterS } = await controller.submit({ moorings: [firstJob] }, secondJob);
    assert.deepEqual([status, retryAfterS], [503, 1]);
  });

  test('are refused at once with 503 while this controller may not know all cancellations', async () => {
    const { controller } = await createControllers({ knowsCancellations: false });
    await controller.submit();
    assert.equal((await controller.submit({ moorings: [firstJob] }, secondJob)).status, 503);
  });
});

describe('a job with a cancelled dependency', () => {
  test('is cancelled together with it, whether the dependent is direct or transitive', async () => {
    const { controller } = await createControllers();
    await controller.submit();
    await controller.submit({ moorings: [firstJob] }, secondJob);
    await controller.submit({ moorings: [secondJob] }, thirdJob);
    assert.equal(statusIn(await controller.query(thirdJob)), 'pending');
    await controller.cancel();
    assert.equal(statusIn(await controller.query(secondJob)), 'cancelled');
    assert.equal(statusIn(await controller.query(thirdJob)), 'cancelled');
  });

  test('is accepted and cancelled at once when it is submitted after the cancellation', async () => {
    const { controller } = await createControllers();
    await controller.submit();
    await controller.cancel();
    const reply = await controller.submit({ moorings: [firstJob] }, secondJob);
    assert.deepEqual([reply.status, statusIn(reply)], [201, 'cancelled']);
    assert.equal(statusIn(await controller.submit({ moorings: [firstJob] }, secondJob)), 'cancelled');
  });

  // Guards against a dependent that stays open after its dependency was cancelled (the checker's `orphaned`):
  // the controller learns of the cancellation after the dependent was accepted, and no controller has
  // cancelled it yet.
  test('is cancelled by a query for it if no controller has cancelled it yet', async () => {
    const { controller, otherController } = await createControllers();
    await controller.submit();
    await otherController.submit({ moorings: [firstJob] }, secondJob);
    await controller.cancel();
    assert.equal(statusIn(await otherController.query()), 'cancelled');
    assert.equal(statusIn(await otherController.query(secondJob)), 'cancelled');
    assert.equal(statusIn(await controller.query(secondJob)), 'cancelled');
  });

  test('is not reported as open while its cancellation may be unknown; a known cancellation is reported', async () => {
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

// Guards against dependents that stay open because the controller that handled the cancel request stopped:
// any other controller must continue the cascade, for any number of dependents.
test('another controller cancels a chain of ten jobs and the hundred dependents of its last job', async () => {
  const { controller, store } = await createControllers();
  const chain = Array.from({ length: 10 }, (_, i) => `req-${100 + i}`);
  const fanOut = Array.from({ length: 100 }, (_, i) => `req-${200 + i}`);
  await controller.submit({}, chain[0]);
  for (const [i, id] of chain.slice(1).entries()) await controller.submit({ moorings: [chain[i]] }, id);
  for (const id of fanOut) await controller.submit({ moorings: [chain[9]] }, id);
  // The outcome of the first job is committed; the controller that received the cancel request stops before
  // it cancels any dependent.
  await store.endAsCancelled(chain[0] ?? '');
  const otherController = await UserApiFixture.create(store, firstJob, { loadsOpenJobs: true });
  const stop = new AbortController();
  void otherController.cascade.run(stop.signal);
  await waitUntil(() => [...chain, ...fanOut].every((id) => store.has(`end/${id}`)));
  stop.abort();
  assert.ok(store.largestWrites <= 20);
});
