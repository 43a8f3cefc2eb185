/** Tests that replies to users reflect a state of the store at some moment after the request had arrived. */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';

import type { Reply } from '../base/replies.js';
import { InMemoryStore, runPendingCallbacks } from '../testing/in-memory-store.js';
import { UserApiFixture } from '../testing/user-api-fixture.js';

const id = 'req-000001';
const cancelled = { id, status: 'cancelled' };

async function twoControllers(): Promise<{
  store: InMemoryStore;
  firstController: UserApiFixture;
  secondController: UserApiFixture;
}> {
  const store = new InMemoryStore();
  return {
    store,
    firstController: await UserApiFixture.create(store, id),
    secondController: await UserApiFixture.create(store, id),
  };
}

/** Releases the held store responses one by one until the reply has arrived. */
async function replyOf(store: InMemoryStore, reply: Promise<Reply>): Promise<unknown> {
  const replies: Reply[] = [];
  void reply.then((settledReply) => replies.push(settledReply));
  const maxAnswers = 20;
  for (let i = 0; i < maxAnswers && replies.length === 0; i++) await store.releaseOldestAnswer();
  return replies[0]?.body;
}

describe('a job that was reported as cancelled is never reported with another status', () => {
  /**
   * Submits a job at `firstController`, lets `secondController` confirm its cancellation while that
   * submission is in flight, and submits the job to `firstController` again. Returns the reply to the last
   * submission.
   */
  async function submitAfterCancellation(
    store: InMemoryStore,
    firstController: UserApiFixture,
    secondController: UserApiFixture,
  ): Promise<unknown> {
    store.holdsAnswers = true;
    const earlier = firstController.submit();
    await runPendingCallbacks();
    store.holdsAnswers = false;
    assert.deepEqual((await secondController.cancel()).body, cancelled);
    const later = firstController.submit();
    await runPendingCallbacks();
    await replyOf(store, earlier);
    return replyOf(store, later);
  }

  // Guards against a status that goes back from cancelled to open (the checker's `went_back`): a repetition
  // used the comparison of an earlier repetition that was still in flight.
  test('a repetition after the confirmed cancellation, while an earlier repetition is in flight', async () => {
    const { store, firstController, secondController } = await twoControllers();
    assert.equal((await firstController.submit()).status, 201);
    assert.deepEqual(await submitAfterCancellation(store, firstController, secondController), cancelled);
  });

  // Guards against the same fault with the first submission, whose commit was executed before the
  // cancellation.
  test('a repetition after the confirmed cancellation, while the first submission is in flight', async () => {
    const { store, firstController, secondController } = await twoControllers();
    assert.deepEqual(await submitAfterCancellation(store, firstController, secondController), cancelled);
  });

  // Guards against a controller that ignores an outcome it has committed itself and replies from an older
  // store response that was still in flight.
  for (const request of ['query', 'submit'] as const) {
    test(`a ${request} whose comparison was executed before a cancellation that the same controller confirms`, async () => {
      const { store, firstController } = await twoControllers();
      await firstController.submit();
      store.holdsAnswers = true;
      const earlier = firstController[request]();
      await runPendingCallbacks();
      store.holdsAnswers = false;
      assert.deepEqual((await firstController.cancel()).body, cancelled);
      const { status } = (await replyOf(store, earlier)) as { status: string };
      assert.equal(status, 'cancelled');
    });
  }

  test('a submission whose commit was executed before a cancellation that the same controller confirms', async () => {
    const { store, firstController } = await twoControllers();
    store.holdsAnswers = true;
    const acceptance = firstController.submit();
    await runPendingCallbacks();
    store.holdsAnswers = false;
    // Submissions and cancellations share one commit queue, so the cancellation is sent only after the
    // response to the submission has arrived.
    const cancel = firstController.cancel();
    await runPendingCallbacks();
    await store.releaseOldestAnswer();
    assert.deepEqual((await cancel).body, cancelled);
    assert.equal((await acceptance).status, 201);
    assert.deepEqual((await firstController.submit()).body, cancelled);
  });
});

// Guards against load that grows with repetitions: forty repetitions must not cause forty requests to the
// state service.
test('concurrent repetitions share a comparison that is sent after all of them have arrived', async () => {
  const { store, firstController } = await twoControllers();
  await firstController.submit();
  const { writing, comparing } = store.executed;
  const repetitions = 40;
  const replies = await Promise.all(Array.from({ length: repetitions }, () => firstController.submit()));
  assert.ok(replies.every(({ status }) => status === 200));
  assert.equal(store.executed.writing, writing);
  assert.ok(store.executed.comparing - comparing <= 2);
});
