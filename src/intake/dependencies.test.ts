/** Submissions, queries and cancels of jobs with dependencies. */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';

import type { Reply } from '../base/replies.js';
import { HeldStore } from '../testing/held-store.js';
import { tick } from '../testing/ticks.js';
import { UserSide, type UserSideOptions } from '../testing/user-side.js';

const first = 'req-000001';
const second = 'req-000002';
const third = 'req-000003';

async function users(
  options: UserSideOptions = {},
): Promise<{ store: HeldStore; one: UserSide; other: UserSide }> {
  const store = new HeldStore();
  const one = await UserSide.create(store, first, options);
  return { store, one, other: await UserSide.create(store, first, options) };
}

const statusIn = ({ body }: Reply): string => (body as { status: string }).status;

describe('submissions with dependencies', () => {
  test('a value that is no list, or a list with an entry that is no id, is malformed', async () => {
    const { one } = await users();
    for (const moorings of ['req-000001', [1], ['x'], [null], { 0: first }]) {
      assert.equal((await one.submit({ moorings }, second)).status, 400);
    }
  });

  test('null and an empty list name none, and an id counts once', async () => {
    const { one } = await users();
    await one.submit();
    assert.equal((await one.submit({ moorings: null }, second)).status, 201);
    assert.equal((await one.submit({ moorings: [] }, third)).status, 201);
    const repeated = Array.from({ length: 3000 }, () => first);
    assert.equal((await one.submit({ moorings: repeated }, 'req-000004')).status, 201);
  });

  test('a job that was never accepted, or itself, can never run', async () => {
    const { one } = await users();
    assert.equal((await one.submit({ moorings: [first] }, second)).status, 422);
    assert.equal((await one.submit({ moorings: [second] }, second)).status, 422);
  });

  // Guards against 422 from a replica that lags: the job was accepted by another controller a moment ago.
  test('a job that another controller has accepted, or seen ended, is known', async () => {
    const { one, other } = await users();
    await one.submit();
    assert.equal((await other.submit({ moorings: [first] }, second)).status, 201);
    await one.cancel();
    assert.equal((await other.submit({ moorings: [first] }, third)).status, 201);
  });

  test('more names than a record has room for are refused with the reason', async () => {
    const { one } = await users();
    const moorings = Array.from({ length: 4000 }, (_, i) => `req-${i}`);
    const { status, body } = await one.submit({ moorings }, second);
    assert.deepEqual([status, body], [422, { error: 'the description of the job is too large' }]);
  });

  test('a repetition of an accepted job is accepted, whatever dependencies it names', async () => {
    const { one, other } = await users();
    await one.submit();
    for (const side of [one, other]) {
      assert.equal((await side.submit({ moorings: ['req-000009'] })).status, 200);
      assert.equal((await side.submit({ moorings: [first] })).status, 200);
    }
  });

  // Guards against `too_early`: an earlier version would start such a job at once.
  test('are turned away at once while some controller may not heed what they name', async () => {
    const { one } = await users({ supportsDependencies: false });
    await one.submit();
    const { status, retryAfterS } = await one.submit({ moorings: [first] }, second);
    assert.deepEqual([status, retryAfterS], [503, 1]);
  });

  test('are turned away at once while cancellations may be unknown here', async () => {
    const { one } = await users({ knowsCancellations: false });
    await one.submit();
    assert.equal((await one.submit({ moorings: [first] }, second)).status, 503);
  });
});

describe('a job with a cancelled dependency', () => {
  test('is cancelled with it, as a direct or transitive dependent', async () => {
    const { one } = await users();
    await one.submit();
    await one.submit({ moorings: [first] }, second);
    await one.submit({ moorings: [second] }, third);
    assert.equal(statusIn(await one.query(third)), 'pending');
    await one.cancel();
    assert.equal(statusIn(await one.query(second)), 'cancelled');
    assert.equal(statusIn(await one.query(third)), 'cancelled');
  });

  test('is accepted all the same, and cancelled', async () => {
    const { one } = await users();
    await one.submit();
    await one.cancel();
    const reply = await one.submit({ moorings: [first] }, second);
    assert.deepEqual([reply.status, statusIn(reply)], [201, 'cancelled']);
    assert.equal(statusIn(await one.submit({ moorings: [first] }, second)), 'cancelled');
  });

  // Guards against `orphaned`: the cancellation became known here after the job, and no controller has cancelled the dependent yet.
  test('is cancelled by a query for it where no controller has done so yet', async () => {
    const { one, other } = await users();
    await one.submit();
    await other.submit({ moorings: [first] }, second);
    await one.cancel();
    assert.equal(statusIn(await other.query()), 'cancelled');
    assert.equal(statusIn(await other.query(second)), 'cancelled');
    assert.equal(statusIn(await one.query(second)), 'cancelled');
  });

  test('is not shown as open while the cancellation may be unknown here; a known one is shown', async () => {
    const { store, one, other } = await users();
    await one.submit();
    await one.submit({ moorings: [first] }, second);
    const blind = await UserSide.create(store, first, { knowsCancellations: false });
    assert.equal((await blind.query(second)).status, 503);
    await other.cancel();
    await blind.query();
    assert.equal(statusIn(await blind.query(second)), 'cancelled');
  });

  test('goes on where the cancellation came after the end', async () => {
    const { one, store } = await users();
    await one.submit();
    await one.submit({ moorings: [first] }, second);
    await store.endAsDone(first);
    assert.equal(statusIn(await one.cancel()), 'done');
    assert.equal(statusIn(await one.query(second)), 'pending');
  });
});

// Guards against dependents that only a live canceller knows of: whoever comes upon them goes on, however many there are.
test('the cascade cancels a chain of ten and a hundred that need its last, after a change of controllers', async () => {
  const { one, store } = await users();
  const chain = Array.from({ length: 10 }, (_, i) => `req-${100 + i}`);
  const wide = Array.from({ length: 100 }, (_, i) => `req-${200 + i}`);
  await one.submit({}, chain[0]);
  for (const [i, id] of chain.slice(1).entries()) await one.submit({ moorings: [chain[i]] }, id);
  for (const id of wide) await one.submit({ moorings: [chain[9]] }, id);
  // The job itself ends, and whoever took the request ends before it has carried anything on.
  await store.endAsCancelled(chain[0] ?? '');
  const other = await UserSide.create(store, first, { listsJobs: true });
  const stop = new AbortController();
  void other.cascade.run(stop.signal);
  await tick(() => [...chain, ...wide].every((id) => store.has(`end/${id}`)));
  stop.abort();
  assert.ok(store.largestWrites <= 20);
});
