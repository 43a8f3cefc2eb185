/**
 * Scenarios of jobs with zone constraints, of a partitioned zone, and of more tasks than the machines have
 * capacity for.
 */
import assert from 'node:assert/strict';
import {
  type Cluster,
  cancelDeadlineMs,
  everyTask,
  noTask,
  pause,
  heartbeatIntervalMs,
  tasksOf,
} from '../testing/cluster.js';
import { scenario } from '../testing/scenario.js';
import { submission } from '../testing/submission.js';

/** Waits until a task of the job runs, then fails the machine of this task, which ends all its tasks. */
async function loseMachine(cluster: Cluster, id: string): Promise<void> {
  await cluster.waitUntil(`${id} runs and loses a machine`, () => {
    const worker = [...cluster.workers.values()].find((w) =>
      w.running.some((task) => task.startsWith(`${id}/`)),
    );
    if (worker) cluster.cloud.failMachine(worker.machine.id);
    return worker !== undefined;
  });
}

// Machines fail, and their tasks are started again on other machines. Guards against a restart in another
// zone than the other tasks of a colocated job, or in a zone that already has half of the tasks of a spread
// job.
scenario(
  'colocated, spread and zone-bound jobs lose machines before and after the leader fails over',
  { port: 25_000, taskMs: 1200, capacity: 6 },
  async (cluster) => {
    const jobs = [
      submission('req-000001', 4, { together: true, owner: 'blue' }),
      submission('req-000002', 5, { apart: true, owner: 'blue' }),
      submission('req-000003', 3, { berth: 'b', owner: 'blue' }),
      submission('req-000004', 4, { berth: 'a', together: true, owner: 'blue' }),
    ];
    const ids = jobs.map(({ id }) => String(id));
    // No task ends before each job has lost two machines.
    cluster.shouldHoldTask = everyTask;
    for (const [i, job] of jobs.entries()) await cluster.submitUntilAccepted(job, i);
    await cluster.waitUntil('all jobs run', () => ids.every((id) => cluster.runningOf(id).length > 0));
    await Promise.all(ids.map((id) => loseMachine(cluster, id)));
    await cluster.restart(await cluster.waitForLeader());
    await pause(2 * heartbeatIntervalMs);
    await Promise.all(ids.map((id) => loseMachine(cluster, id)));
    cluster.shouldHoldTask = noTask;
    await cluster.waitUntilAllDone(ids);
  },
);

// A zone is partitioned off, and controllers outside the zone confirm cancels of jobs. Guards against a task
// that runs both inside and outside the zone, and against cancelled tasks that continue to run inside the
// zone.
scenario(
  'a zone with workers and a controller is partitioned off for longer than a lease, and jobs are cancelled outside',
  { port: 25_040, taskMs: 7000, capacity: 6 },
  async (cluster) => {
    const cancelled = ['req-000001', 'req-000002'];
    const kept = ['req-000011', 'req-000012', 'req-000013'];
    const ids = [...cancelled, ...kept];
    cluster.shouldHoldTask = everyTask;
    for (const [i, id] of ids.entries()) {
      await cluster.submitUntilAccepted(submission(id, 3, { owner: 'blue' }), i);
    }
    const busyInsideCount = (): number =>
      [...cluster.workers.values()].filter((w) => w.machine.zone === 'a' && w.running.length > 0).length;
    await cluster.waitUntil('all tasks run, some of them in the zone', () => {
      return ids.every((id) => cluster.runningOf(id).length === 3) && busyInsideCount() > 0;
    });
    cluster.partitionedZones.add('a');
    cluster.store.partitionedClients.add('keel-0');
    for (const link of cluster.peerLinksOf('keel-0')) link.cut();
    // Tasks of the kept jobs end at about the end of the partition. Tasks of the cancelled jobs do not end by
    // themselves.
    cluster.shouldHoldTask = tasksOf(...cancelled);
    for (const id of cancelled) assert.equal(await cluster.cancelUntilEnded(id, [1, 2]), 'cancelled');
    const endAt = Date.now() + cancelDeadlineMs * 1.2;
    while (Date.now() < endAt) {
      for (const [i, id] of ids.entries()) await cluster.queryStatus(1 + (i % 2), id);
      await pause(heartbeatIntervalMs);
    }
    cluster.partitionedZones.clear();
    cluster.store.partitionedClients.clear();
    for (const link of cluster.peerLinksOf('keel-0')) link.heal();
    await cluster.waitUntilAllDone(kept);
  },
);

// More tasks are submitted than the machines have capacity for, and the state service is slow. Guards against
// submissions that are held back or lost, jobs that never start, and invalid submissions that are accepted.
scenario(
  'jobs of high and of low urgency exceed the capacity while the state service is slow',
  { port: 25_080, taskMs: 300, capacity: 2 },
  async (cluster) => {
    cluster.store.answerDelayMs = heartbeatIntervalMs / 2;
    const jobs = Array.from({ length: 12 }, (_, i) =>
      submission(`req-0001${String(i).padStart(2, '0')}`, i === 0 ? 30 : 4, {
        urgency: i % 2 === 0 ? 'high' : 'best_effort',
        loaners: i % 3 === 0,
        owner: i % 4 === 0 ? 'blue' : 'red',
      }),
    );
    const { pieces, ...incomplete } = submission('req-000201', 1);
    assert.equal(pieces, 1);
    await Promise.all([
      ...jobs.map((job, i) => cluster.submitUntilAccepted(job, i)),
      cluster.waitUntil(
        'a submission with a missing field is refused',
        async () => (await cluster.submit(1, incomplete)) === 400,
      ),
      cluster.waitUntil(
        'a job that fits no machine is refused',
        async () => (await cluster.submit(2, submission('req-000202', 1, { cpus: 64 }))) === 422,
      ),
    ]);
    // A repeated submission of an accepted job gets neither error, even if its fields have changed.
    assert.equal(await cluster.submit(1, submission('req-000101', 4, { cpus: 64, owner: 'red' })), 200);
    await cluster.waitUntilAllDone(jobs.map(({ id }) => String(id)));
  },
);
