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
    assert.deepEqual([store.executed, store.held], [{ writing: 1, comparing: 0, listing: 0 }, 1]);
    store.holdsAnswers = false;
    await store.release();
    assert.deepEqual(
      (await Promise.all(both)).map(({ status }) => status),
      [201, 200],
    );
    // That the job is accepted the repetition learns from the first try; what has become of it, it asks itself.
    assert.deepEqual(store.executed, { writing: 1, comparing: 1, listing: 0 });
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

describe('questions about jobs that ended before this life of the controller', () => {
  const ids = Array.from({ length: 60 }, (_, i) => `req-${(7 * i).toString().padStart(6, '0')}`);

  async function endedJobs(): Promise<{ store: HeldStore; newLife: UserSide }> {
    const store = new HeldStore();
    const earlierLife = await UserSide.create(store, id);
    for (const job of ids) {
      await earlierLife.submit({}, job);
      await earlierLife.cancel(job);
    }
    return { store, newLife: await UserSide.create(store, id) };
  }

  // Guards against `forgotten`: after all controllers had restarted, a request to the state service for each question left
  // none for anything else, and no controller was healthy for minutes.
  test('are answered with a few requests for all of them', async () => {
    const { store, newLife } = await endedJobs();
    const replies = await Promise.all(ids.map((job) => newLife.query(job)));
    assert.deepEqual(
      [...new Set(replies.map(({ body }) => (body as { status: string }).status))],
      ['cancelled'],
    );
    assert.equal(store.executed.listing, 1);
    const before = store.executed.comparing;
    for (const job of ids) await newLife.submit({}, job);
    assert.equal(store.executed.comparing, before);
  });

  // Guards against questions that wait for a state service that does not answer.
  test('are turned away at once when the ends cannot be read', async () => {
    const { store, newLife } = await endedJobs();
    store.failsLists = true;
    const replies = await Promise.all(ids.map((job) => newLife.query(job)));
    assert.ok(replies.every(({ status, retryAfterS }) => status === 503 && retryAfterS !== undefined));
    store.failsLists = false;
    assert.equal((await newLife.query(ids[3])).status, 200);
  });
});
