import assert from 'node:assert/strict';
import {
  type Cluster,
  cancelDeadlineMs,
  everyTask,
  noTask,
  pause,
  heartbeatIntervalMs,
  submission,
  tasksOf,
} from '../testing/cluster.js';
import { scenario } from '../testing/scenario.js';

/** The machine under some task of the job stops, with all that is on it, as soon as a task of the job runs. */
async function loseMachine(cluster: Cluster, id: string): Promise<void> {
  await cluster.until(`${id} runs and loses a machine`, () => {
    const worker = [...cluster.workers.values()].find((w) =>
      w.running.some((task) => task.startsWith(`${id}/`)),
    );
    if (worker) cluster.cloud.die(worker.machine.id);
    return worker !== undefined;
  });
}

// Guards against a task that comes back in another zone than its job's others, or in one that already has half of them.
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
    cluster.holdsTask = everyTask;
    for (const [i, job] of jobs.entries()) await cluster.submitSurely(job, i);
    await cluster.until('all jobs run', () => ids.every((id) => cluster.runningOf(id).length > 0));
    await Promise.all(ids.map((id) => loseMachine(cluster, id)));
    await cluster.restart(await cluster.leading());
    await pause(2 * heartbeatIntervalMs);
    await Promise.all(ids.map((id) => loseMachine(cluster, id)));
    cluster.holdsTask = noTask;
    await cluster.allDone(ids);
  },
);

// Guards against both sides of a cut going on with the same tasks, and against cancels that the inside never hears of.
scenario(
  'a zone with workers and a controller is partitioned off for longer than a lease, and jobs are cancelled outside',
  { port: 25_040, taskMs: 7000, capacity: 6 },
  async (cluster) => {
    const cancelled = ['req-000001', 'req-000002'];
    const kept = ['req-000011', 'req-000012', 'req-000013'];
    const ids = [...cancelled, ...kept];
    cluster.holdsTask = everyTask;
    for (const [i, id] of ids.entries()) {
      await cluster.submitSurely(submission(id, 3, { owner: 'blue' }), i);
    }
    const busyInsideCount = (): number =>
      [...cluster.workers.values()].filter((w) => w.machine.zone === 'a' && w.running.length > 0).length;
    await cluster.until('all run, also inside', () => {
      return ids.every((id) => cluster.runningOf(id).length === 3) && busyInsideCount() > 0;
    });
    cluster.cutZones.add('a');
    cluster.store.held.add('keel-0');
    for (const link of cluster.peersOf('keel-0')) link.cut();
    // The tasks of the other jobs end around the end of the partition; those of the cancelled ones never do by themselves.
    cluster.holdsTask = tasksOf(...cancelled);
    for (const id of cancelled) assert.equal(await cluster.cancelSurely(id, [1, 2]), 'cancelled');
    const endAt = Date.now() + cancelDeadlineMs * 1.2;
    while (Date.now() < endAt) {
      for (const [i, id] of ids.entries()) await cluster.ask(1 + (i % 2), id);
      await pause(heartbeatIntervalMs);
    }
    cluster.cutZones.clear();
    cluster.store.held.clear();
    for (const link of cluster.peersOf('keel-0')) link.heal();
    await cluster.allDone(kept);
  },
);

// Guards against submissions that are held back or forgotten, work that is never begun, and bad input taken under load.
scenario(
  'there is more work than room, urgent and not, over slow links',
  { port: 25_080, taskMs: 300, capacity: 2 },
  async (cluster) => {
    cluster.store.delayMs = heartbeatIntervalMs / 2;
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
      ...jobs.map((job, i) => cluster.submitSurely(job, i)),
      cluster.until('a lacking field is refused', async () => (await cluster.submit(1, incomplete)) === 400),
      cluster.until(
        'what fits no machine is refused',
        async () => (await cluster.submit(2, submission('req-000202', 1, { cpus: 64 }))) === 422,
      ),
    ]);
    // A repetition of what was accepted gets neither, whatever it says by now.
    assert.equal(await cluster.submit(1, submission('req-000101', 4, { cpus: 64, owner: 'red' })), 200);
    await cluster.allDone(jobs.map(({ id }) => String(id)));
  },
);
