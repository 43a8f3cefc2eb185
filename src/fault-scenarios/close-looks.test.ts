/** Users who ask at all controllers, again and again, right after a job was accepted, has ended or was cancelled. */
import assert from 'node:assert/strict';
import {
  type Cluster,
  labels,
  workerLeaseMs,
  pause,
  heartbeatIntervalMs,
  submission,
  untilStopped,
} from '../testing/cluster.js';
import { scenario } from '../testing/scenario.js';
import { seeded } from '../testing/seeded.js';

const holdsAnswersAbout =
  (controller: string, id: string) =>
  (client: string, keys: string[]): boolean =>
    client === controller && keys.includes(`sk/end/${id}`);

const answerIsHeld = async (cluster: Cluster): Promise<void> =>
  cluster.until('the store has carried it out', () => cluster.store.answersHeld > 0);

// Guards against `went_back`: the later repetition shared the answer of the earlier one, which was true when that was sent.
scenario(
  'a submission is repeated after its cancellation was told, while an earlier repetition is under way',
  { port: 26_000, taskMs: untilStopped },
  async (cluster) => {
    for (const [node, label] of labels.entries()) {
      const id = `req-00000${node}`;
      await cluster.submitSurely(submission(id, 1));
      await cluster.until('all know it', async () => {
        const told = await Promise.all([0, 1, 2].map((other) => cluster.ask(other, id)));
        return told.every((what) => what === 'pending' || what === 'running');
      });
      cluster.store.holdsAnswers = holdsAnswersAbout(label, id);
      const earlier = cluster.submit(node, submission(id, 1));
      await answerIsHeld(cluster);
      assert.equal(await cluster.cancelSurely(id, [(node + 1) % 3]), 'cancelled');
      const later = cluster.submit(node, submission(id, 1));
      await pause(heartbeatIntervalMs / 10);
      cluster.store.releaseAnswers();
      assert.deepEqual(await Promise.all([earlier, later]), [200, 200]);
    }
  },
);

// Guards against the same with the first submission, whose commit was carried out and not answered yet.
scenario(
  'a job is accepted through one controller and cancelled, while another still waits for its commit of the job',
  { port: 26_040, taskMs: untilStopped },
  async (cluster) => {
    for (const [node, label] of labels.entries()) {
      const id = `req-00001${node}`;
      cluster.store.holdsAnswers = holdsAnswersAbout(label, id);
      const first = cluster.submit(node, submission(id, 1));
      await answerIsHeld(cluster);
      await cluster.submitSurely(submission(id, 1), (node + 1) % 3);
      assert.equal(await cluster.cancelSurely(id, [(node + 2) % 3]), 'cancelled');
      const later = cluster.submit(node, submission(id, 1));
      await pause(heartbeatIntervalMs / 10);
      cluster.store.releaseAnswers();
      await Promise.all([first, later]);
    }
  },
);

// Guards against a submission that undoes the end of its job: it would be run after its user was told of the cancellation.
scenario(
  'a submission without an answer is carried out after its job was accepted elsewhere and cancelled',
  { port: 26_200, taskMs: untilStopped, capacity: 6 },
  async (cluster) => {
    const id = 'req-000031';
    cluster.store.keeps = (key) => key === `sk/job/${id}`;
    assert.equal(await cluster.submit(0, submission(id, 2)), 503);
    await cluster.submitSurely(submission(id, 2), 1);
    assert.equal(await cluster.cancelSurely(id, [2]), 'cancelled');
    assert.equal(cluster.store.deliver(), 1);
    await pause(workerLeaseMs);
    for (const node of labels.keys()) {
      assert.equal(await cluster.ask(node, id), 'cancelled');
      assert.equal(await cluster.submit(node, submission(id, 2)), 200);
    }
    assert.equal(cluster.store.value(`job/${id}`), undefined);
  },
);

// Guards against answers from the past: after a pause, what the store had said before it and what users ask since come together.
scenario(
  'a controller stands still with answers on their way, the job is cancelled elsewhere, and it goes on',
  { port: 26_240, taskMs: untilStopped, processes: ['keel-2'] },
  async (cluster) => {
    const paused = 'keel-2';
    const node = labels.indexOf(paused);
    for (const id of ['req-000041', 'req-000042', 'req-000043']) {
      await cluster.submitSurely(submission(id, 1));
      await cluster.until('it knows the job', async () =>
        ['pending', 'running'].includes(await cluster.ask(node, id)),
      );
      cluster.store.holdsAnswers = holdsAnswersAbout(paused, id);
      const earlier = [cluster.submit(node, submission(id, 1)), cluster.ask(node, id)];
      await answerIsHeld(cluster);
      cluster.processes.pause(paused);
      cluster.store.releaseAnswers();
      await pause(heartbeatIntervalMs / 4);
      // Only the answers from before reach it: its watch, its peers and what it asks once it goes on are held back.
      cluster.store.held.add(paused);
      for (const link of cluster.peersOf(paused)) link.cut();
      assert.equal(await cluster.cancelSurely(id, [0, 1]), 'cancelled');
      const later = [cluster.submit(node, submission(id, 1)), cluster.ask(node, id)];
      await pause(heartbeatIntervalMs);
      cluster.processes.continue(paused);
      await pause(heartbeatIntervalMs);
      cluster.store.held.delete(paused);
      for (const link of cluster.peersOf(paused)) link.heal();
      await Promise.all([...earlier, ...later]);
      assert.equal(await cluster.ask(node, id), 'cancelled');
    }
  },
);

/** Questions and repeated submissions at all controllers, within a few milliseconds, three times over. */
async function lookClosely(cluster: Cluster, id: string): Promise<unknown> {
  const requests: Promise<unknown>[] = [];
  const looks = 3;
  for (let look = 0; look < looks; look++) {
    for (const node of labels.keys()) {
      requests.push(cluster.ask(node, id), cluster.submit(node, submission(id, 1)));
    }
    await pause(heartbeatIntervalMs / 20);
  }
  return Promise.all(requests);
}

/** A job whose user looks closely as it is accepted, and as it is cancelled or done. */
async function followClosely(cluster: Cluster, id: string, random: () => number): Promise<void> {
  const looks: Promise<unknown>[] = [];
  await cluster.submitSurely(submission(id, 1), Math.floor(random() * labels.length));
  looks.push(lookClosely(cluster, id));
  if (random() < 0.6) {
    await pause(random() * heartbeatIntervalMs);
    await cluster.cancelSurely(id, [Math.floor(random() * labels.length), 0, 1, 2]);
  } else {
    await cluster.until(`${id} has ended`, async () => (await cluster.ask(0, id)) === 'done', 25_000);
  }
  looks.push(lookClosely(cluster, id));
  await Promise.all(looks);
}

// Guards against older answers that no single order of events above has thought of.
for (const [index, seed] of [1, 2, 3].entries()) {
  scenario(
    `users look closely while answers of the store are late or lost and controllers are cut off, end and return, seed ${seed}`,
    { port: 26_080 + index * 40, taskMs: 700, seed, capacity: 6 },
    async (cluster) => {
      const random = seeded(seed);
      const ids = Array.from({ length: 24 }, (_, i) => `req-00002${i.toString().padStart(2, '0')}`);
      cluster.store.lateAnswers = { share: 0.5, toMs: 600 };
      const users = ids.map(async (id) => {
        await pause(random() * 1.5 * workerLeaseMs);
        await followClosely(cluster, id, random);
      });
      await pause(workerLeaseMs / 2);
      cluster.store.losesAnswers = 5;
      await cluster.restart(labels[seed % labels.length] ?? '', 100);
      cluster.store.late = { share: 0.1, fromMs: heartbeatIntervalMs, toMs: workerLeaseMs };
      const cutOff = labels[(seed + 1) % labels.length] ?? '';
      cluster.store.held.add(cutOff);
      await pause(workerLeaseMs / 2);
      cluster.store.held.delete(cutOff);
      cluster.store.late = undefined;
      await Promise.all(labels.map((label, i) => cluster.restart(label, 100 + 100 * i)));
      await Promise.all(users);
      cluster.store.lateAnswers = undefined;
      for (const id of ids) {
        await cluster.until(`${id} has ended for all`, async () => {
          const told = await Promise.all([0, 1, 2].map((node) => cluster.ask(node, id)));
          return told.every((what) => what === told[0]) && ['done', 'cancelled'].includes(told[0] ?? '');
        });
      }
    },
  );
}
