import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { HeldStore, settled } from '../testing/held-store.js';
import { UserSide } from '../testing/user-side.js';

const id = 'req-000001';

describe('submissions while the state service takes few changes', () => {
  // Guards against a queue that its own repetitions keep long: a day of the larger fleet took 361 of 1431 jobs.
  test('a repetition that comes while the first try is under way is no second commit', async () => {
    const store = new HeldStore();
    const users = await UserSide.create(store, id);
    store.holdsAnswers = true;
    const both = [users.submit(), users.submit()];
    await settled();
    assert.deepEqual([store.executed, store.held], [{ writing: 1, comparing: 0 }, 1]);
    store.holdsAnswers = false;
    await store.release();
    assert.deepEqual(
      (await Promise.all(both)).map(({ status }) => status),
      [201, 200],
    );
    // That the job is accepted the repetition learns from the first try; what has become of it, it asks itself.
    assert.deepEqual(store.executed, { writing: 1, comparing: 1 });
  });

  // Guards against a valid submission that is refused for what an earlier one of the same id said.
  test('a repetition that differs from the first try is judged by what it says itself', async () => {
    const store = new HeldStore();
    const users = await UserSide.create(store, id);
    store.holdsAnswers = true;
    const tooLarge = users.submit({ cpus: 64 });
    await settled();
    const valid = users.submit();
    await settled();
    store.holdsAnswers = false;
    await store.release();
    await store.release();
    assert.deepEqual([(await tooLarge).status, (await valid).status], [422, 201]);
  });

  test('what would wait for longer than its user is turned away at once, with the time of its turn', async () => {
    const store = new HeldStore();
    const users = await UserSide.create(store, id, { writeWaitMs: 7000 });
    const reply = await users.submit();
    assert.deepEqual([reply.status, reply.retryAfterS, store.executed.writing], [429, 7, 0]);
  });
});
