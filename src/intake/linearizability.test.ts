/** Answers to users rest on a state of the store after their request had arrived. */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';

import type { Reply } from '../base/replies.js';
import { HeldStore, settled } from '../testing/held-store.js';
import { UserSide } from '../testing/user-side.js';

const id = 'req-000001';
const cancelled = { id, status: 'cancelled' };

async function twoControllers(): Promise<{ store: HeldStore; first: UserSide; second: UserSide }> {
  const store = new HeldStore();
  return { store, first: await UserSide.create(store, id), second: await UserSide.create(store, id) };
}

/** Releases the answers that are on their way, one by one, until the reply is there. */
async function replyOf(store: HeldStore, reply: Promise<Reply>): Promise<unknown> {
  const replies: Reply[] = [];
  void reply.then((one) => replies.push(one));
  const maxAnswers = 20;
  for (let i = 0; i < maxAnswers && replies.length === 0; i++) await store.release();
  return replies[0]?.body;
}

describe('a job that was shown as cancelled is shown as nothing else', () => {
  /** While a submission is under way at one controller the cancellation is told by another; then the job is submitted again. */
  async function submitAfterCancellation(
    store: HeldStore,
    first: UserSide,
    second: UserSide,
  ): Promise<unknown> {
    store.holdsAnswers = true;
    const earlier = first.submit();
    await settled();
    store.holdsAnswers = false;
    assert.deepEqual((await second.cancel()).body, cancelled);
    const later = first.submit();
    await settled();
    await replyOf(store, earlier);
    return replyOf(store, later);
  }

  // Guards against `went_back`: a repetition shared the evidence of an earlier one that was still under way.
  test('a repetition that arrives after the cancellation was confirmed, while an earlier one is in flight', async () => {
    const { store, first, second } = await twoControllers();
    assert.equal((await first.submit()).status, 201);
    assert.deepEqual(await submitAfterCancellation(store, first, second), cancelled);
  });

  // Guards against the same with the first submission itself, whose commit was executed before the cancellation.
  test('a repetition that arrives after the cancellation was confirmed, while the acceptance is in flight', async () => {
    const { store, first, second } = await twoControllers();
    assert.deepEqual(await submitAfterCancellation(store, first, second), cancelled);
  });

  // Guards against what this controller has learned itself being passed over for an answer that is on its way.
  for (const request of ['query', 'submit'] as const) {
    test(`a ${request} whose comparison was executed before a cancellation that this controller confirms`, async () => {
      const { store, first } = await twoControllers();
      await first.submit();
      store.holdsAnswers = true;
      const earlier = first[request]();
      await settled();
      store.holdsAnswers = false;
      assert.deepEqual((await first.cancel()).body, cancelled);
      const { status } = (await replyOf(store, earlier)) as { status: string };
      assert.equal(status, 'cancelled');
    });
  }

  test('an acceptance whose commit was executed before a cancellation that this controller confirms', async () => {
    const { store, first } = await twoControllers();
    store.holdsAnswers = true;
    const acceptance = first.submit();
    await settled();
    store.holdsAnswers = false;
    // The lanes of submissions and of cancels are one, so the cancel goes out after the answer to the submission.
    const cancel = first.cancel();
    await settled();
    await store.release();
    assert.deepEqual((await cancel).body, cancelled);
    assert.equal((await acceptance).status, 201);
    assert.deepEqual((await first.submit()).body, cancelled);
  });
});

// Guards against load that repeats itself: forty repetitions must not be forty requests to the state service.
test('concurrent repetitions share a comparison that is sent after all of them have arrived', async () => {
  const { store, first } = await twoControllers();
  await first.submit();
  const { writing, comparing } = store.executed;
  const repetitions = 40;
  const replies = await Promise.all(Array.from({ length: repetitions }, () => first.submit()));
  assert.ok(replies.every(({ status }) => status === 200));
  assert.equal(store.executed.writing, writing);
  assert.ok(store.executed.comparing - comparing <= 2);
});
