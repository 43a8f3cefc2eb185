/** Tests that a reply to a user reflects a state of the store at some moment after the request arrived. */
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

/** Releases the held store responses one by one until the reply has arrived, and returns its body. */
async function replyOf(store: InMemoryStore, reply: Promise<Reply>): Promise<unknown> {
  const replies: Reply[] = [];
  void reply.then((settledReply) => replies.push(settledReply));
  const maxAnswers = 20;
  for (let i = 0; i < maxAnswers && replies.length === 0; i++) await store.releaseOldestAnswer();
  return replies[0]?.body;
}

describe('a job that was reported as cancelled is never reported with another status', () => {
  /**
   * Submits a job to `firstController`. While that submission is in flight, cancels the job through
   * `secondController` and then submits the job to `firstController` again. Returns the body of the reply to
   * the final submission.
   */
  async function submitAfterCancellation(
    store: InMemoryStore,
    firstController: UserApiFixture,
    secondController: UserApiFixture,
  ): Promise<unknown> {
    store.holdsAnswers = true;
    const earlierReply = firstController.submit();
    await runPendingCallbacks();
    store.holdsAnswers = false;
    assert.deepEqual((await secondController.cancel()).body, cancelled);
    const laterReply = firstController.submit();
    await runPendingCallbacks();
    await replyOf(store, earlierReply);
    return replyOf(store, laterReply);
  }

  // A client retries a submission, and the store executes the status read of the retry. Then another
  // controller confirms a cancellation, and the client retries again. If the second retry shared the status
  // read in flight, the status would go back from cancelled to open (rule `went_back` in
  // `testing/checker.ts`).
  test('a client retry after the confirmed cancellation, while the status read of an earlier retry is in flight', async () => {
    const { store, firstController, secondController } = await twoControllers();
    assert.equal((await firstController.submit()).status, 201);
    assert.deepEqual(await submitAfterCancellation(store, firstController, secondController), cancelled);
  });

  // The same sequence with the first submission in place of the first retry: the store executes the commit of
  // the submission before the cancellation.
  test('a client retry after the confirmed cancellation, while the first submission is in flight', async () => {
    const { store, firstController, secondController } = await twoControllers();
    assert.deepEqual(await submitAfterCancellation(store, firstController, secondController), cancelled);
  });

  // The store executes a status read, and its response is held. Then the same controller commits a
  // cancellation of the job. When the held response arrives, it is older than the cancellation, and a
  // controller that relied on it would report the job as open.
  for (const request of ['query', 'submit'] as const) {
    test(`a ${request} whose status read was executed before a cancellation that the same controller confirms`, async () => {
      const { store, firstController } = await twoControllers();
      await firstController.submit();
      store.holdsAnswers = true;
      const earlierReply = firstController[request]();
      await runPendingCallbacks();
      store.holdsAnswers = false;
      assert.deepEqual((await firstController.cancel()).body, cancelled);
      const { status } = (await replyOf(store, earlierReply)) as { status: string };
      assert.equal(status, 'cancelled');
    });
  }

  test('a submission whose commit was executed before a cancellation that the same controller confirms', async () => {
    const { store, firstController } = await twoControllers();
    store.holdsAnswers = true;
    const acceptance = firstController.submit();
    await runPendingCallbacks();
    store.holdsAnswers = false;
    // Submissions and cancellations share one commit queue, so the cancellation is sent after the response to
    // the submission has arrived.
    const cancel = firstController.cancel();
    await runPendingCallbacks();
    await store.releaseOldestAnswer();
    assert.deepEqual((await cancel).body, cancelled);
    assert.equal((await acceptance).status, 201);
    assert.deepEqual((await firstController.submit()).body, cancelled);
  });
});

// If each client retry caused a status read of its own, the load on the store would grow with the number of
// retries: forty retries would cause forty requests.
test('concurrent client retries share a status read that is sent after all of them have arrived', async () => {
  const { store, firstController } = await twoControllers();
  await firstController.submit();
  const { writing, comparing } = store.executed;
  const retries = 40;
  const replies = await Promise.all(Array.from({ length: retries }, () => firstController.submit()));
  assert.ok(replies.every(({ status }) => status === 200));
  assert.equal(store.executed.writing, writing);
  assert.ok(store.executed.comparing - comparing <= 2);
});
