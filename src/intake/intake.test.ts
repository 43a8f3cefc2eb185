/** Tests submissions at the store's rate limit and queries after a restart. */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';

import { InMemoryStore, runPendingCallbacks } from '../testing/in-memory-store.js';
import { UserApiFixture } from '../testing/user-api-fixture.js';

const id = 'req-000001';

describe('submissions while the store commits slowly', () => {
  // Guards against a commit queue that stays long because repeated submissions are queued too: in one day of
  // the larger fleet, only 361 of 1431 jobs were accepted.
  test('a repetition that arrives while the first attempt is in flight causes no second commit', async () => {
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
    // The first attempt's result shows only that the job is accepted, so the repetition reads the status
    // separately.
    assert.deepEqual(store.executed, { writing: 1, comparing: 1, listing: 0 });
  });

  // Guards against refusing a valid submission because of the content of an earlier submission with the same
  // id.
  test('a repetition that differs from the first attempt is validated by its own content', async () => {
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

  test('a submission whose commit would wait longer than its user does is refused at once with Retry-After', async () => {
    const store = new InMemoryStore();
    const controller = await UserApiFixture.create(store, id, { writeWaitMs: 7000 });
    const reply = await controller.submit();
    assert.deepEqual([reply.status, reply.retryAfterS, store.executed.writing], [429, 7, 0]);
  });
});

describe('queries for jobs that ended before the controller restarted', () => {
  const ids = Array.from({ length: 60 }, (_, i) => `req-${(7 * i).toString().padStart(6, '0')}`);

  async function endedJobs(): Promise<{ store: InMemoryStore; restarted: UserApiFixture }> {
    const store = new InMemoryStore();
    const earlier = await UserApiFixture.create(store, id);
    for (const job of ids) {
      await earlier.submit({}, job);
      await earlier.cancel(job);
    }
    return { store, restarted: await UserApiFixture.create(store, id) };
  }

  // Guards against queries without an answer (the checker's `forgotten`): after all controllers had
  // restarted, one store request for each query used up the rate limit, and no controller was healthy for
  // minutes.
  test('share one list request to the store', async () => {
    const { store, restarted } = await endedJobs();
    const replies = await Promise.all(ids.map((job) => restarted.query(job)));
    assert.deepEqual(
      [...new Set(replies.map(({ body }) => (body as { status: string }).status))],
      ['cancelled'],
    );
    assert.equal(store.executed.listing, 1);
    const before = store.executed.comparing;
    for (const job of ids) await restarted.submit({}, job);
    assert.equal(store.executed.comparing, before);
  });

  // Guards against queries that wait for a store that does not respond.
  test('are refused at once with 503 when the outcomes cannot be read', async () => {
    const { store, restarted } = await endedJobs();
    store.failsLists = true;
    const replies = await Promise.all(ids.map((job) => restarted.query(job)));
    assert.ok(replies.every(({ status, retryAfterS }) => status === 503 && retryAfterS !== undefined));
    store.failsLists = false;
    assert.equal((await restarted.query(ids[3])).status, 200);
  });
});
