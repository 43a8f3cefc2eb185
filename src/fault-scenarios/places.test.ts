import assert from 'node:assert/strict';
import { type Cluster, cancelMs, pause, reportMs, submission } from '../testing/cluster.js';
import { scenario } from '../testing/scenario.js';

/** The machine under some task of the job stops, with all that is on it. */
function kill(cluster: Cluster, id: string): void {
  const worker = [...cluster.workers.values()].find((w) =>
    w.running.some((piece) => piece.startsWith(`${id}/`)),
  );
  assert.ok(worker, `${id} runs somewhere`);
  cluster.cloud.die(worker.machine.id);
}

// Guards against a task that comes back in another zone than its job's others, or in one that already has half of them.
scenario(
  'jobs bound to one zone, arrays too, lose machines, and the leader changes',
  { port: 25_000, taskMs: 1200, capacity: 6 },
  async (cluster) => {
    const jobs = [
      submission('req-000001', 4, { together: true, owner: 'blue' }),
      submission('req-000002', 5, { apart: true, owner: 'blue' }),
      submission('req-000003', 3, { berth: 'b', owner: 'blue' }),
      submission('req-000004', 4, { berth: 'a', together: true, owner: 'blue' }),
    ];
    const ids = jobs.map(({ id }) => String(id));
    for (const [i, job] of jobs.entries()) await cluster.submitSurely(job, i);
    for (const id of ids) await cluster.until(`${id} runs`, () => cluster.runningOf(id).length > 0);
    for (const id of ids) if (cluster.runningOf(id).length > 0) kill(cluster, id);
    await cluster.restart(await cluster.leading());
    await pause(2 * reportMs);
    for (const id of ids) if (cluster.runningOf(id).length > 0) kill(cluster, id);
    await cluster.allDone(ids);
  },
);

// Guards against both sides of a cut going on with the same tasks, and against cancels that the inside never hears of.
scenario(
  'a zone with workers and a controller is cut off for longer than a lease',
  { port: 25_040, taskMs: (piece) => (piece.startsWith('req-00000') ? 30_000 : 7000), capacity: 6 },
  async (cluster) => {
    const cancelled = ['req-000001', 'req-000002'];
    const kept = ['req-000011', 'req-000012', 'req-000013'];
    for (const [i, id] of [...cancelled, ...kept].entries()) {
      await cluster.submitSurely(submission(id, 3, { owner: 'blue' }), i);
    }
    const inside = (): number =>
      [...cluster.workers.values()].filter((w) => w.machine.zone === 'a' && w.running.length > 0).length;
    await cluster.until('all run, also inside', () => {
      return [...cancelled, ...kept].every((id) => cluster.runningOf(id).length === 3) && inside() > 0;
    });
    cluster.cutZones.add('a');
    cluster.store.held.add('keel-0');
    for (const link of cluster.peersOf('keel-0')) link.cut();
    for (const id of cancelled) await cluster.cancelSurely(id, [1, 2]);
    const until = Date.now() + cancelMs * 1.2;
    while (Date.now() < until) {
      for (const [i, id] of [...cancelled, ...kept].entries()) await cluster.ask(1 + (i % 2), id);
      await pause(reportMs);
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
    cluster.store.delayMs = reportMs / 2;
    const jobs = Array.from({ length: 12 }, (_, i) =>
      submission(`req-0001${String(i).padStart(2, '0')}`, i === 0 ? 30 : 4, {
        urgency: i % 2 === 0 ? 'high' : 'best_effort',
        loaners: i % 3 === 0,
        owner: i % 4 === 0 ? 'blue' : 'red',
      }),
    );
    const { pieces, ...lacking } = submission('req-000201', 1);
    assert.equal(pieces, 1);
    await Promise.all([
      ...jobs.map((job, i) => cluster.submitSurely(job, i)),
      cluster.until('a lacking field is refused', async () => (await cluster.submit(1, lacking)) === 400),
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
