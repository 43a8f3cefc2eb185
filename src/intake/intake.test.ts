/** Tests submissions at the store's rate limit, and status queries after a restart of the controller. */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';

import { InMemoryStore, runPendingCallbacks } from '../testing/in-memory-store.js';
import { UserApiFixture } from '../testing/user-api-fixture.js';

const id = 'req-000001';

describe('submissions if the store commits slowly', () => {
  // Clients retry submissions while the first attempt waits in the commit queue. Before this fault was fixed,
  // each retry queued a further commit for the same job, so the queue stayed long. In a run of one day with
  // the larger fleet before the fix, only 361 of 1431 jobs were accepted.
  test('a client retry that arrives while the first attempt is in flight causes no second commit', async () => {
    const store = new InMemoryStore();
    const controller = await UserApiFixture.create(store, id);
    store.holdsAnswers = true;
    const replies = [controller.submit(), controller.submit()];
    await runPendingCallbacks();
    assert.deepEqual([store.executed, store.heldAnswerCount], [{ writing: 1, comparing: 0, listing: 0 }, 1]);
    store.holdsAnswers = false;
    await store.releaseOldestAnswer();
    assert.deepEqual(
      (await Promise.all(replies)).map(({ status }) => status),
      [201, 200],
    );
    // The result of the first attempt shows only that the job is accepted, so the status for the retry is
    // read in a separate transaction.
    assert.deepEqual(store.executed, { writing: 1, comparing: 1, listing: 0 });
  });

  // A submission that can never run is in flight when a valid submission with the same id arrives. If the
  // second submission shared the result of the first, it would be refused although it is valid.
  test('a client retry that differs from the first attempt is validated by its own content', async () => {
    const store = new InMemoryStore();
    const controller = await UserApiFixture.create(store, id);
    store.holdsAnswers = true;
    const tooLarge = controller.submit({ cpus: 64 });
    await runPendingCallbacks();
    const valid = controller.submit();
    await runPendingCallbacks();
    store.holdsAnswers = false;
    await store.releaseOldestAnswer();
    await store.releaseOldestAnswer();
    assert.deepEqual([(await tooLarge).status, (await valid).status], [422, 201]);
  });

  test('a submission is refused immediately with Retry-After if its commit would outlast the time-out of the user', async () => {
    const store = new InMemoryStore();
    const controller = await UserApiFixture.create(store, id, { writeWaitMs: 7000 });
    const reply = await controller.submit();
    assert.deepEqual([reply.status, reply.retryAfterS, store.executed.writing], [429, 7, 0]);
  });
});

describe('status queries for jobs that ended before the controller restarted', () => {
  const ids = Array.from({ length: 60 }, (_, i) => `req-${(7 * i).toString().padStart(6, '0')}`);

  async function endedJobs(): Promise<{ store: InMemoryStore; restarted: UserApiFixture }> {
    const store = new InMemoryStore();
    const controllerBeforeRestart = await UserApiFixture.create(store, id);
    for (const job of ids) {
      await controllerBeforeRestart.submit({}, job);
      await controllerBeforeRestart.cancel(job);
    }
    return { store, restarted: await UserApiFixture.create(store, id) };
  }

  // All controllers restart, and users query the jobs that ended before. If each query caused a store
  // request, the requests would use up the rate limit. No controller would be healthy for minutes, and
  // queries would get no answer (rule `forgotten` in `testing/checker.ts`).
  test('share one list request to the store', async () => {
    const { store, restarted } = await endedJobs();
    const replies = await Promise.all(ids.map((job) => restarted.query(job)));
    assert.deepEqual(
      [...new Set(replies.map(({ body }) => (body as { status: string }).status))],
      ['cancelled'],
    );
    assert.equal(store.executed.listing, 1);
    const comparisonsBefore = store.executed.comparing;
    for (const job of ids) await restarted.submit({}, job);
    assert.equal(store.executed.comparing, comparisonsBefore);
  });

  // The store does not respond to list requests. The queries must not wait for it.
  test('are refused immediately with 503 if the outcomes cannot be read', async () => {
    const { store, restarted } = await endedJobs();
    store.failsLists = true;
    const replies = await Promise.all(ids.map((job) => restarted.query(job)));
    assert.ok(replies.every(({ status, retryAfterS }) => status === 503 && retryAfterS !== undefined));
    store.failsLists = false;
    assert.equal((await restarted.query(ids[3])).status, 200);
  });
});
