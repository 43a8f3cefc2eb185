import assert from 'node:assert/strict';
import { type Cluster, labels, leaseMs, pause, reportMs, submission } from '../testing/cluster.js';
import { scenario } from '../testing/scenario.js';

const five = Array.from({ length: 5 }, (_, i) => `req-00000${i}`);

async function submitAll(cluster: Cluster, ids: string[], tasks: number): Promise<void> {
  for (const [i, id] of ids.entries()) await cluster.submitSurely(submission(id, tasks), i);
}

// Guards against what a transaction brings back when it is carried out behind newer ones: an old page, an old lease, an old
// dealing, an end or a job that its user was told nothing of.
for (const seed of [1, 2, 3]) {
  scenario(
    `transactions without an answer are carried out late, after newer ones (seed ${seed})`,
    { port: 24_000 + seed * 40, taskMs: 700, seed },
    async (cluster) => {
      cluster.store.late = { share: 0.25, fromMs: reportMs, toMs: 6 * reportMs };
      await submitAll(cluster, five, 4);
      const [cancelled = '', ...kept] = five;
      await cluster.cancelSurely(cancelled);
      await cluster.restart(await cluster.leading());
      for (let i = 0; i < 12; i++) {
        for (const [j, id] of five.entries()) await cluster.ask((i + j) % 3, id);
        await pause(reportMs);
      }
      cluster.store.late = undefined;
      assert.ok(cluster.store.carriedOutLate > 0);
      await cluster.allDone(kept);
    },
  );
}

// Guards against a start or a halt that a machine carries out when it goes on, long after it was said.
scenario(
  'commands and their answers are held up for seconds, and the machines then go on',
  { port: 24_160, taskMs: 900, fetchMs: 100 },
  async (cluster) => {
    await submitAll(cluster, five, 4);
    await cluster.until('tasks run', () => five.some((id) => cluster.runningOf(id).length > 0));
    const [cancelled = '', ...kept] = five;
    for (const hungMs of [reportMs, leaseMs / 2, leaseMs * 0.9, leaseMs * 1.4]) {
      const hung = [...cluster.workers.values()].filter((_, i) => i % 2 === 0);
      for (const worker of hung) worker.hang();
      if (hungMs === leaseMs * 0.9) await cluster.cancelSurely(cancelled);
      await pause(hungMs);
      for (const worker of hung) worker.resume();
      await pause(reportMs);
    }
    await cluster.allDone(kept);
  },
);

// Guards against an old task list taken for news: of this session, of an earlier one, of an earlier attempt.
scenario(
  'old reports arrive after newer ones, also from an earlier session or attempt',
  { port: 24_200, taskMs: 900 },
  async (cluster) => {
    await submitAll(cluster, five, 4);
    await cluster.until('tasks run', () => five.some((id) => cluster.runningOf(id).length > 0));
    for (const worker of cluster.workers.values()) worker.late = { share: 0.5, toMs: 1.5 * leaseMs };
    // Some of them lose their lease, and with it session and attempts, before the copies arrive.
    const lost = [...cluster.workers.values()].slice(0, 2);
    for (const worker of lost) worker.mute = true;
    await pause(1.1 * leaseMs);
    for (const worker of lost) worker.mute = false;
    for (let i = 0; i < 5; i++) {
      for (const worker of cluster.workers.values()) worker.repeat(5 + i * 5, i % 3);
      if (i === 2) await cluster.restart(await cluster.leading());
      await pause(reportMs);
    }
    await cluster.allDone(five);
  },
);

// Guards against tasks taken for running, or started twice, where no report comes: only the cloud can say what has gone.
scenario(
  'workers cannot open connections to any controller, for longer than a lease',
  { port: 24_240, taskMs: 1500 },
  async (cluster) => {
    await submitAll(cluster, five, 4);
    await cluster.until('tasks run', () => five.some((id) => cluster.runningOf(id).length > 0));
    const [cancelled = '', ...kept] = five;
    const mute = [...cluster.workers.values()];
    for (const worker of mute) worker.mute = true;
    await cluster.cancelSurely(cancelled);
    await pause(1.5 * leaseMs);
    for (const worker of mute) worker.mute = false;
    for (const label of labels)
      assert.notEqual(await cluster.ask(labels.indexOf(label), cancelled), 'pending');
    await cluster.allDone(kept);
  },
);

// Guards against machines that are rented twice or not at all, and against a release that takes a machine with new tasks.
scenario(
  'rentals and releases get no answer, releases are carried out late, and the list lags',
  { port: 24_280, taskMs: 500 },
  async (cluster) => {
    cluster.cloud.listLagMs = reportMs;
    cluster.cloud.losesRentals = 3;
    cluster.cloud.lateReleases = { count: 4, ms: 4 * reportMs };
    await submitAll(cluster, five, 4);
    await cluster.until('tasks run', () => five.some((id) => cluster.runningOf(id).length > 0));
    const hung = [...cluster.workers.values()].slice(0, 2);
    for (const worker of hung) worker.hang();
    await cluster.restart(await cluster.leading());
    await pause(leaseMs);
    for (const worker of hung) worker.resume();
    await cluster.allDone(five);
  },
);
