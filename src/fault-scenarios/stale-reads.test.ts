/**
 * Scenarios in which users query all controllers repeatedly, right after a job was accepted, has ended or was
 * cancelled.
 */
import assert from 'node:assert/strict';
import {
  type Cluster,
  labels,
  workerLeaseMs,
  pause,
  heartbeatIntervalMs,
  untilStopped,
} from '../testing/cluster.js';
import { scenario } from '../testing/scenario.js';
import { seeded } from '../testing/seeded.js';
import { submission } from '../testing/submission.js';

/**
 * Returns a filter for `StoreStandIn.shouldHoldAnswer`. It matches the transactions of one controller that
 * name the outcome key of the job in a condition or a write.
 */
const transactionsOnOutcome =
  (controller: string, id: string) =>
  (client: string, keys: string[]): boolean =>
    client === controller && keys.includes(`sk/end/${id}`);

const awaitHeldAnswer = async (cluster: Cluster): Promise<void> =>
  cluster.waitUntil(
    'the state service has executed a transaction and holds its response',
    () => cluster.store.heldAnswerCount > 0,
  );

// A client repeats the submission of a job, the job is cancelled, and the client repeats the submission
// again. If the later request shared the answer to the earlier one, it would get an outdated answer (rule
// `went_back`), because the job was still open when the earlier request was sent.
scenario(
  'a submission is repeated after the cancellation of its job was confirmed, while an earlier repetition is in flight',
  { port: 26_000, taskMs: untilStopped },
  async (cluster) => {
    for (const [node, label] of labels.entries()) {
      const id = `req-00000${node}`;
      await cluster.submitUntilAccepted(submission(id, 1));
      await cluster.waitUntil('all controllers report the job as open', async () => {
        const statuses = await Promise.all([0, 1, 2].map((other) => cluster.queryStatus(other, id)));
        return statuses.every((status) => status === 'pending' || status === 'running');
      });
      cluster.store.shouldHoldAnswer = transactionsOnOutcome(label, id);
      const earlier = cluster.submit(node, submission(id, 1));
      await awaitHeldAnswer(cluster);
      assert.equal(await cluster.cancelUntilEnded(id, [(node + 1) % 3]), 'cancelled');
      const later = cluster.submit(node, submission(id, 1));
      await pause(heartbeatIntervalMs / 10);
      cluster.store.releaseAnswers();
      assert.deepEqual(await Promise.all([earlier, later]), [200, 200]);
    }
  },
);

// As above, but the earlier request is the first submission of the job at this controller: the state service
// has executed its commit and has not responded yet.
scenario(
  'a job is accepted at one controller and cancelled, while another controller still waits for its commit of the job',
  { port: 26_040, taskMs: untilStopped },
  async (cluster) => {
    for (const [node, label] of labels.entries()) {
      const id = `req-00001${node}`;
      cluster.store.shouldHoldAnswer = transactionsOnOutcome(label, id);
      const first = cluster.submit(node, submission(id, 1));
      await awaitHeldAnswer(cluster);
      await cluster.submitUntilAccepted(submission(id, 1), (node + 1) % 3);
      assert.equal(await cluster.cancelUntilEnded(id, [(node + 2) % 3]), 'cancelled');
      const later = cluster.submit(node, submission(id, 1));
      await pause(heartbeatIntervalMs / 10);
      cluster.store.releaseAnswers();
      await Promise.all([first, later]);
    }
  },
);

// The transaction of a submission gets no response. The job is accepted at another controller and cancelled,
// and then the delayed transaction is applied. If it overwrote the outcome of the job, the job would run
// after its cancellation was confirmed to the user.
scenario(
  'a submission whose transaction got no response is applied after its job was accepted elsewhere and cancelled',
  { port: 26_200, taskMs: untilStopped, capacity: 6 },
  async (cluster) => {
    const id = 'req-000031';
    cluster.store.shouldWithholdCommit = (key) => key === `sk/job/${id}`;
    assert.equal(await cluster.submit(0, submission(id, 2)), 503);
    await cluster.submitUntilAccepted(submission(id, 2), 1);
    assert.equal(await cluster.cancelUntilEnded(id, [2]), 'cancelled');
    assert.equal(cluster.store.applyWithheldCommits(), 1);
    await pause(workerLeaseMs);
    for (const node of labels.keys()) {
      assert.equal(await cluster.queryStatus(node, id), 'cancelled');
      assert.equal(await cluster.submit(node, submission(id, 2)), 200);
    }
    assert.equal(cluster.store.value(`job/${id}`), undefined);
  },
);

// A controller process is paused while the state service holds responses to it. The process resumes and
// receives these responses, which were correct before the pause, together with requests that users sent
// during the pause. If the controller answered these requests from the old responses, the answers would be
// outdated.
scenario(
  'a controller process is paused with responses in flight, the job is cancelled elsewhere, and the process resumes',
  { port: 26_240, taskMs: untilStopped, processes: ['keel-2'] },
  async (cluster) => {
    const paused = 'keel-2';
    const node = labels.indexOf(paused);
    for (const id of ['req-000041', 'req-000042', 'req-000043']) {
      await cluster.submitUntilAccepted(submission(id, 1));
      await cluster.waitUntil('the controller reports the job as open', async () =>
        ['pending', 'running'].includes(await cluster.queryStatus(node, id)),
      );
      cluster.store.shouldHoldAnswer = transactionsOnOutcome(paused, id);
      const earlier = [cluster.submit(node, submission(id, 1)), cluster.queryStatus(node, id)];
      await awaitHeldAnswer(cluster);
      cluster.processes.pause(paused);
      cluster.store.releaseAnswers();
      await pause(heartbeatIntervalMs / 4);
      // The controller receives only the responses to requests from before the pause. Its watch, the statuses
      // of its peers and its own requests after the pause are held back.
      cluster.store.partitionedClients.add(paused);
      for (const link of cluster.peerLinksOf(paused)) link.cut();
      assert.equal(await cluster.cancelUntilEnded(id, [0, 1]), 'cancelled');
      const later = [cluster.submit(node, submission(id, 1)), cluster.queryStatus(node, id)];
      await pause(heartbeatIntervalMs);
      cluster.processes.continue(paused);
      await pause(heartbeatIntervalMs);
      cluster.store.partitionedClients.delete(paused);
      for (const link of cluster.peerLinksOf(paused)) link.heal();
      await Promise.all([...earlier, ...later]);
      assert.equal(await cluster.queryStatus(node, id), 'cancelled');
    }
  },
);

/**
 * Sends status requests and repeated submissions to all controllers, three times at intervals of a few
 * milliseconds.
 */
async function queryAllControllers(cluster: Cluster, id: string): Promise<unknown> {
  const requests: Promise<unknown>[] = [];
  const rounds = 3;
  for (let round = 0; round < rounds; round++) {
    for (const node of labels.keys()) {
      requests.push(cluster.queryStatus(node, id), cluster.submit(node, submission(id, 1)));
    }
    await pause(heartbeatIntervalMs / 20);
  }
  return Promise.all(requests);
}

/**
 * Submits a job, then cancels it or waits until it is done. Queries all controllers right after the
 * acceptance and right after the end of the job.
 */
async function followJob(cluster: Cluster, id: string, random: () => number): Promise<void> {
  const queries: Promise<unknown>[] = [];
  await cluster.submitUntilAccepted(submission(id, 1), Math.floor(random() * labels.length));
  queries.push(queryAllControllers(cluster, id));
  if (random() < 0.6) {
    await pause(random() * heartbeatIntervalMs);
    await cluster.cancelUntilEnded(id, [Math.floor(random() * labels.length), 0, 1, 2]);
  } else {
    await cluster.waitUntil(
      `${id} has ended`,
      async () => (await cluster.queryStatus(0, id)) === 'done',
      25_000,
    );
  }
  queries.push(queryAllControllers(cluster, id));
  await Promise.all(queries);
}

// Guards against outdated answers to users in random sequences of faults that the scenarios above do not
// cover.
for (const [index, seed] of [1, 2, 3].entries()) {
  scenario(
    `users query all controllers while responses are late or lost and controllers are cut off or restart, seed ${seed}`,
    { port: 26_080 + index * 40, taskMs: 700, seed, capacity: 6 },
    async (cluster) => {
      const random = seeded(seed);
      const ids = Array.from({ length: 24 }, (_, i) => `req-00002${i.toString().padStart(2, '0')}`);
      cluster.store.delayedAnswers = { share: 0.5, toMs: 600 };
      const users = ids.map(async (id) => {
        await pause(random() * 1.5 * workerLeaseMs);
        await followJob(cluster, id, random);
      });
      await pause(workerLeaseMs / 2);
      cluster.store.answersToDrop = 5;
      await cluster.restart(labels[seed % labels.length] ?? '', 100);
      cluster.store.lateCommits = { share: 0.1, fromMs: heartbeatIntervalMs, toMs: workerLeaseMs };
      const partitioned = labels[(seed + 1) % labels.length] ?? '';
      cluster.store.partitionedClients.add(partitioned);
      await pause(workerLeaseMs / 2);
      cluster.store.partitionedClients.delete(partitioned);
      cluster.store.lateCommits = undefined;
      await Promise.all(labels.map((label, i) => cluster.restart(label, 100 + 100 * i)));
      await Promise.all(users);
      cluster.store.delayedAnswers = undefined;
      for (const id of ids) {
        await cluster.waitUntil(`${id} has the same outcome at all controllers`, async () => {
          const statuses = await Promise.all([0, 1, 2].map((node) => cluster.queryStatus(node, id)));
          return (
            statuses.every((status) => status === statuses[0]) &&
            ['done', 'cancelled'].includes(statuses[0] ?? '')
          );
        });
      }
    },
  );
}
