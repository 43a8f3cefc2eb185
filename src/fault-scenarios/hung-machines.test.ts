/**
 * Scenarios in which machines hang with tasks of a job that is cancelled, while the owners of the machines
 * change. A hung machine executes no command, so only its release ends its tasks.
 */
import assert from 'node:assert/strict';
import { type Cluster, type ClusterOptions, labels, pause, untilStopped } from '../testing/cluster.js';
import { scenario } from '../testing/scenario.js';
import { submission } from '../testing/submission.js';
import type { WorkerStandIn } from '../testing/worker-standin.js';

/**
 * Worker times in s. The lease is short, so that the limit for a machine that has sent its owner no heartbeat,
 * counted from the start of an owner, ends after the cancel deadline.
 */
const times = { report_s: 0.2, lease_s: 1, cancel_s: 4 };
const heartbeatIntervalMs = times.report_s * 1000;
const cancelDeadlineMs = times.cancel_s * 1000;
const cancelled = 'req-000001';
const open = 'req-000002';

function clusterOptions(port: number): ClusterOptions {
  return { port, times, taskMs: untilStopped, capacity: 6 };
}

function workersRunning(cluster: Cluster, id: string): WorkerStandIn[] {
  return [...cluster.workers.values()].filter((worker) =>
    worker.running.some((task) => task.startsWith(`${id}/`)),
  );
}

function ownersOf(cluster: Cluster, workers: WorkerStandIn[]): Set<string> {
  return new Set(workers.map(({ machine }) => cluster.ownerOf(machine.id)));
}

async function restartOwners(cluster: Cluster, workers: WorkerStandIn[]): Promise<void> {
  await Promise.all([...ownersOf(cluster, workers)].map((owner) => cluster.restart(owner)));
}

async function submitAndAwaitTasks(cluster: Cluster, id: string, tasks: number): Promise<void> {
  await cluster.submitUntilAccepted(submission(id, tasks, { owner: 'blue' }));
  await cluster.waitUntil(`all tasks of ${id} run`, () => cluster.runningOf(id).length === tasks);
}

/** Hangs the machines, and cancels the job `cancelled` at a controller that owns none of them, if possible. */
async function cancelOnHungMachines(cluster: Cluster, workers: WorkerStandIn[]): Promise<void> {
  const owners = ownersOf(cluster, workers);
  const otherNodes = [0, 1, 2].filter((node) => !owners.has(labels[node] ?? ''));
  for (const worker of workers) worker.pause();
  const answer = await cluster.cancelUntilEnded(cancelled, otherNodes.length > 0 ? otherNodes : [0, 1, 2]);
  assert.equal(answer, 'cancelled');
}

/** So many silent machines are not taken for machines that failed independently of each other. */
const minSilentZoneMachines = 4;

function openTasksOn(workers: WorkerStandIn[]): number {
  return workers.flatMap(({ running }) => running.filter((task) => task.startsWith(`${open}/`))).length;
}

/** The moments of the crash after the confirmed cancellation, in heartbeat intervals. */
const crashMoments = [0.25, 1.5, 2.5];

// Guards against a limit for silent machines that begins anew when their owner restarts. The limit uses
// nearly all of the cancel deadline, so a crash between the cancellation and the release made it end too late.
for (const [i, moment] of crashMoments.entries())
  scenario(
    `a machine hangs, its job is cancelled, and its owner crashes once ${moment} heartbeat intervals later`,
    clusterOptions(27_400 + i * 40),
    async (cluster) => {
      await submitAndAwaitTasks(cluster, cancelled, 3);
      const hung = workersRunning(cluster, cancelled);
      await cancelOnHungMachines(cluster, hung);
      await pause(moment * heartbeatIntervalMs);
      await restartOwners(cluster, hung);
      // The new incarnation cannot tell whether another previous owner still answers the machines.
      await pause(cancelDeadlineMs / 2 - moment * heartbeatIntervalMs);
      assert.deepEqual(cluster.cloud.released, []);
      await pause(cancelDeadlineMs);
    },
  );

// Guards against a limit that begins anew with each owner, however often the owner changes.
scenario(
  'a machine hangs, its job is cancelled, and its owners restart one after the other until shortly before the deadline',
  clusterOptions(27_520),
  async (cluster) => {
    await submitAndAwaitTasks(cluster, cancelled, 3);
    const hung = workersRunning(cluster, cancelled);
    await cancelOnHungMachines(cluster, hung);
    const lastRestartAt = Date.now() + cancelDeadlineMs * 0.7;
    while (Date.now() < lastRestartAt) {
      await restartOwners(cluster, hung);
      await pause(2 * heartbeatIntervalMs);
    }
    await pause(cancelDeadlineMs);
  },
);

// Guards against the same with other controllers as the next owners: these controllers have read the
// cancellation themselves, and the previous owner does not return.
scenario(
  'a machine hangs, its job is cancelled, its owner stops for good, and so does the next owner',
  clusterOptions(27_560),
  async (cluster) => {
    await submitAndAwaitTasks(cluster, cancelled, 1);
    const [hung] = workersRunning(cluster, cancelled);
    assert.ok(hung);
    await cancelOnHungMachines(cluster, [hung]);
    await pause(heartbeatIntervalMs);
    const firstOwner = cluster.ownerOf(hung.machine.id);
    cluster.stopController(firstOwner);
    const hasNextOwner = (): boolean => ![firstOwner, ''].includes(cluster.ownerOf(hung.machine.id));
    await cluster.waitUntil('another controller owns the machine', hasNextOwner);
    await pause(heartbeatIntervalMs);
    cluster.stopController(cluster.ownerOf(hung.machine.id));
    await pause(cancelDeadlineMs);
  },
);

// Guards against machines that no owner releases because nearly all machines of a zone are silent, or because
// their owner receives no heartbeat at all and gives up its blocks.
scenario(
  'all machines of a zone hang, their job is cancelled, and their owner crashes once',
  clusterOptions(27_600),
  async (cluster) => {
    await submitAndAwaitTasks(cluster, cancelled, 24);
    await submitAndAwaitTasks(cluster, open, 3);
    const inZone = (workers: Iterable<WorkerStandIn>): WorkerStandIn[] =>
      [...workers].filter(({ machine }) => machine.zone === 'a');
    const hung = inZone(cluster.workers.values());
    assert.ok(inZone(workersRunning(cluster, cancelled)).length >= minSilentZoneMachines);
    const openOutside = cluster.runningOf(open).length - openTasksOn(hung);
    await cancelOnHungMachines(cluster, hung);
    await pause(1.5 * heartbeatIntervalMs);
    await restartOwners(cluster, hung);
    await pause(cancelDeadlineMs);
    assert.ok(cluster.runningOf(open).length >= openOutside);
  },
);

// Guards against machines that send heartbeats but receive nothing, or reach no controller, as their owner
// restarts: the new owner knows nothing about their silence.
scenario(
  'machines behind partitions of either direction run tasks of a cancelled job, and their owner restarts',
  clusterOptions(27_640),
  async (cluster) => {
    await submitAndAwaitTasks(cluster, cancelled, 6);
    const workers = workersRunning(cluster, cancelled);
    for (const [i, worker] of workers.entries()) {
      if (i % 2 === 0) worker.receivesNoResponses = true;
      else worker.isPartitioned = true;
    }
    assert.equal(await cluster.cancelUntilEnded(cancelled), 'cancelled');
    await pause(heartbeatIntervalMs);
    await restartOwners(cluster, workers);
    await pause(cancelDeadlineMs * 1.2);
  },
);

// Guards against the release of machines at work, which was the fault of inc-0484, and against the limit of
// its remedy at the same time. The previous owner is partitioned from the state service and its peers, but
// still answers its workers. The next owner must keep them as long, except for a hung machine with cancelled
// tasks.
scenario(
  'machines that their partitioned previous owner still answers are kept, and a hung one with tasks of a cancelled job is released in time',
  clusterOptions(27_680),
  async (cluster) => {
    await submitAndAwaitTasks(cluster, cancelled, 1);
    await submitAndAwaitTasks(cluster, open, 12);
    const [hung] = workersRunning(cluster, cancelled);
    assert.ok(hung);
    const previousOwner = cluster.ownerOf(hung.machine.id);
    const kept = workersRunning(cluster, open).filter(
      (worker) => worker !== hung && cluster.ownerOf(worker.machine.id) === previousOwner,
    );
    assert.ok(kept.length > 0);
    cluster.store.refusedClients.add(previousOwner);
    for (const link of cluster.peerLinksOf(previousOwner)) link.cut();
    await cancelOnHungMachines(cluster, [hung]);
    await cluster.waitUntil(
      'another controller owns the machines',
      () => ![previousOwner, ''].includes(cluster.ownerOf(hung.machine.id)),
    );
    const stillAnsweredMs = cancelDeadlineMs - times.lease_s * 1000 - 2 * heartbeatIntervalMs;
    await pause(stillAnsweredMs / 2);
    const released = kept.filter(({ machine }) => cluster.cloud.released.includes(machine.id));
    assert.deepEqual(released, []);
    await pause(cancelDeadlineMs);
    cluster.store.refusedClients.clear();
    for (const link of cluster.peerLinksOf(previousOwner)) link.heal();
    assert.ok(cluster.cloud.released.includes(hung.machine.id));
  },
);

/** Longer than `times`, because a controller sends its status to its peers twice a second at most. */
const outageTimes = { report_s: 0.8, lease_s: 2.5, cancel_s: 8 };

// Guards against an owner that releases nothing while the state service is down for all controllers: no other
// controller can own its machines then.
scenario(
  'a machine hangs, its job is cancelled, and the state service is down for all until after the deadline',
  { ...clusterOptions(27_720), times: outageTimes },
  async (cluster) => {
    await submitAndAwaitTasks(cluster, cancelled, 1);
    const [hung] = workersRunning(cluster, cancelled);
    assert.ok(hung);
    await cancelOnHungMachines(cluster, [hung]);
    cluster.store.hasOutage = true;
    await pause(outageTimes.cancel_s * 1000 * 1.1);
    cluster.store.hasOutage = false;
  },
);
