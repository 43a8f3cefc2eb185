import assert from 'node:assert/strict';
import { defaultOperatorSettings } from '../settings/operator.js';
import {
  cancelDeadlineMs,
  type Cluster,
  everyTask,
  labels,
  workerLeaseMs,
  pause,
  heartbeatIntervalMs,
  submission,
  tasksOf,
  untilStopped,
} from '../testing/cluster.js';
import { scenario } from '../testing/scenario.js';

/** The last tasks within a quota may wait until its shares are divided among the blocks once more. */
const quotaSettlesMs = defaultOperatorSettings.blocks.quotaSharePeriodS * 1000 + 15_000;
const nodeOf = (label: string): number => labels.indexOf(label);

/** A job whose tasks all run on machines of one controller, and that controller. */
async function jobOfOneOwner(cluster: Cluster, ids: string[]): Promise<{ id: string; owner: string }> {
  let found: { id: string; owner: string } | undefined;
  await cluster.until('a job runs at one controller', () => {
    for (const id of ids) {
      const machines = [...cluster.workers.values()].filter((w) =>
        w.running.some((p) => p.startsWith(`${id}/`)),
      );
      const owners = new Set(machines.map((w) => cluster.ownerOf(w.machine.id)));
      const [owner] = owners;
      if (owner !== undefined && owners.size === 1 && cluster.runningOf(id).length >= 2)
        found = { id, owner };
    }
    return found !== undefined;
  });
  return found ?? { id: '', owner: '' };
}

const started = (cluster: Cluster, id: string): number =>
  cluster.history.happenings.filter((h) => h.kind === 'started' && h.task.startsWith(`${id}/`)).length;

// Guards against the gap: the blind controller counted from its last answer and took its peers for agreeing, while one of
// them had confirmed the cancel in the moment before the outage. Only the cancelled tasks go, the others run on.
scenario(
  'jobs are cancelled as the state service refuses their controller alone, and is out for all a moment later',
  { port: 23_000, taskMs: untilStopped, capacity: 6 },
  async (cluster) => {
    const ids = ['req-000001', 'req-000002', 'req-000003'];
    for (const [i, id] of ids.entries()) await cluster.submitSurely(submission(id, 4), i);
    const { id, owner } = await jobOfOneOwner(cluster, ids);
    const others = ids.filter((other) => other !== id);
    await cluster.until('all run', () => ids.every((one) => cluster.runningOf(one).length === 4));
    cluster.store.refused.add(owner);
    await pause(heartbeatIntervalMs / 4);
    const told = await cluster.cancelSurely(
      id,
      [0, 1, 2].filter((node) => node !== nodeOf(owner)),
    );
    assert.equal(told, 'cancelled');
    cluster.store.down = true;
    await cluster.until('its tasks are gone', () => cluster.runningOf(id).length === 0, cancelDeadlineMs);
    await pause(cancelDeadlineMs * 1.2);
    // Peers vouched for them: the outage ended no task of a job that nobody cancelled.
    for (const other of others)
      assert.deepEqual([cluster.runningOf(other).length, started(cluster, other)], [4, 4]);
    cluster.store.refused.clear();
    cluster.store.down = false;
    await cluster.until(
      'it is known everywhere',
      async () => (await cluster.ask(nodeOf(owner), id)) === 'cancelled',
    );
  },
);

// Guards against a controller that told its user and not its own block: the watch that was to bring it never came.
scenario(
  'a controller confirms a cancel itself, and the state service is out before its watch has brought it',
  { port: 23_040, taskMs: untilStopped, capacity: 6 },
  async (cluster) => {
    const ids = ['req-000001', 'req-000002', 'req-000003'];
    for (const [i, id] of ids.entries()) await cluster.submitSurely(submission(id, 3), i);
    const { id, owner } = await jobOfOneOwner(cluster, ids);
    assert.equal(await cluster.cancelSurely(id, [nodeOf(owner)]), 'cancelled');
    cluster.store.down = true;
    await cluster.until('its tasks are gone', () => cluster.runningOf(id).length === 0, workerLeaseMs);
    await pause(cancelDeadlineMs);
    cluster.store.down = false;
  },
);

// Guards against extending the right to answer while a peer that has confirmed the cancel cannot be heard.
scenario(
  'the same, and the blind controller hears none of its peers: all its leases run out in time',
  { port: 23_080, taskMs: untilStopped, capacity: 6 },
  async (cluster) => {
    const ids = ['req-000001', 'req-000002', 'req-000003'];
    for (const [i, id] of ids.entries()) await cluster.submitSurely(submission(id, 3), i);
    const { id, owner } = await jobOfOneOwner(cluster, ids);
    cluster.store.refused.add(owner);
    for (const link of cluster.peersOf(owner)) link.cut();
    await cluster.cancelSurely(
      id,
      [0, 1, 2].filter((node) => node !== nodeOf(owner)),
    );
    cluster.store.down = true;
    await pause(cancelDeadlineMs * 1.2);
    assert.deepEqual(cluster.runningOf(id), []);
    cluster.store.refused.clear();
    cluster.store.down = false;
    for (const link of cluster.peersOf(owner)) link.heal();
  },
);

// Guards against a new life that vouches for what the life before told its users.
scenario(
  'the peer that confirmed the cancel begins a new life inside the outage',
  { port: 23_120, taskMs: untilStopped, capacity: 6 },
  async (cluster) => {
    const ids = ['req-000001', 'req-000002', 'req-000003'];
    for (const [i, id] of ids.entries()) await cluster.submitSurely(submission(id, 3), i);
    const { id, owner } = await jobOfOneOwner(cluster, ids);
    const teller = (nodeOf(owner) + 1) % 3;
    cluster.store.refused.add(owner);
    for (const link of cluster.peersOf(owner)) link.cut();
    await cluster.cancelSurely(id, [teller]);
    cluster.store.down = true;
    await cluster.restart(labels[teller] ?? '', 50);
    // What the two lives had sent before arrives late, and then what the new one has to say.
    for (const link of cluster.peersOf(owner)) link.heal();
    await pause(cancelDeadlineMs * 1.2);
    assert.deepEqual(cluster.runningOf(id), []);
    cluster.store.refused.clear();
    cluster.store.down = false;
  },
);

// Guards against a leader that goes on in its own world: users of the other side are told of cancels that it never hears of.
scenario(
  'a leader is cut from state service and peers, not from workers and users, and jobs are cancelled elsewhere',
  { port: 23_160, taskMs: untilStopped, capacity: 6 },
  async (cluster) => {
    const ids = ['req-000001', 'req-000002', 'req-000003', 'req-000004'];
    for (const [i, id] of ids.entries()) await cluster.submitSurely(submission(id, 3), i);
    await cluster.until('all run', () => ids.every((id) => cluster.runningOf(id).length === 3));
    const first = await cluster.leading();
    const elsewhere = [0, 1, 2].filter((node) => node !== nodeOf(first));
    cluster.store.held.add(first);
    for (const link of cluster.peersOf(first)) link.cut();
    for (const id of ids) await cluster.cancelSurely(id, elsewhere);
    // Its own users may get no answer, but never an older one.
    for (let i = 0; i < 10; i++) {
      for (const id of ids) await cluster.ask(nodeOf(first), id);
      await pause(cancelDeadlineMs / 8);
    }
    for (const id of ids) assert.deepEqual(cluster.runningOf(id), []);
    cluster.store.held.clear();
    for (const link of cluster.peersOf(first)) link.heal();
    await cluster.until(
      'it has heard',
      async () => (await cluster.ask(nodeOf(first), ids[0] ?? '')) === 'cancelled',
    );
  },
);

// Guards against older answers and late halts while nothing but slow answers is to be had, and then none at all.
scenario(
  'the state service is slow, refuses the leader alone and then everybody, while users cancel and ask',
  { port: 23_200, taskMs: untilStopped, capacity: 6 },
  async (cluster) => {
    const ids = ['req-000001', 'req-000002', 'req-000003', 'req-000004', 'req-000005'];
    for (const [i, id] of ids.entries()) await cluster.submitSurely(submission(id, 2), i);
    await cluster.until('all run', () => ids.every((id) => cluster.runningOf(id).length === 2));
    const ask = async (): Promise<void> => {
      await Promise.all(ids.flatMap((id) => [0, 1, 2].map((node) => cluster.ask(node, id))));
    };
    cluster.store.delayMs = 300;
    await cluster.cancelSurely(ids[0] ?? '');
    await ask();
    cluster.store.refused.add(await cluster.leading());
    await cluster.cancelSurely(ids[1] ?? '');
    const late = cluster.cancel(0, ids[2] ?? '');
    cluster.store.down = true;
    await late;
    await ask();
    await pause(cancelDeadlineMs * 1.2);
    await ask();
    for (const id of ids.slice(0, 2)) assert.deepEqual(cluster.runningOf(id), []);
    cluster.store.refused.clear();
    cluster.store.down = false;
    cluster.store.delayMs = 0;
    for (const id of ids) assert.equal(await cluster.cancelSurely(id), 'cancelled');
    await ask();
  },
);

// Guards against room of a team that is given out twice: by the new leader, and by machines that have yet to be asked.
scenario(
  'a team is at its quota when the leader fails over, some of its machines are partitioned, and a job is cancelled',
  { port: 23_240, taskMs: 2500, capacity: 10 },
  async (cluster) => {
    const [cancelled, running] = ['req-000001', 'req-000002'];
    const waiting = ['req-000003', 'req-000004'];
    const other = 'req-000009';
    cluster.holdsTask = everyTask;
    for (const [i, id] of [cancelled, running].entries()) await cluster.submitSurely(submission(id, 6), i);
    await cluster.until(
      'the team is at its limit',
      () => [cancelled, running].every((id) => cluster.runningOf(id).length === 6),
      quotaSettlesMs,
    );
    // Another team's work brings more machines up, and leaves room on them as it is cancelled.
    await cluster.submitSurely(submission(other, 18, { owner: 'blue' }));
    await cluster.until('the other team runs too', () => cluster.runningOf(other).length === 18);
    for (const [i, id] of waiting.entries()) await cluster.submitSurely(submission(id, 8), i);
    await cluster.toldEverywhere(waiting, 'pending', cancelDeadlineMs);
    cluster.holdsTask = tasksOf(other, cancelled);
    const busy = [...cluster.workers.values()].filter((w) => w.running.length > 0);
    for (const worker of busy.slice(0, Math.ceil(busy.length / 2))) worker.mute = true;
    const first = await cluster.leading();
    cluster.stopController(first);
    const told = await Promise.all([cluster.cancelSurely(other), cluster.cancelSurely(cancelled)]);
    assert.deepEqual(told, ['cancelled', 'cancelled']);
    await pause(workerLeaseMs * 1.2);
    for (const worker of busy) worker.mute = false;
    cluster.startController(first);
    await cluster.allDone([running, ...waiting]);
  },
);

// Guards against two ends of one job: what the first user was told decides for all.
scenario(
  'a cancel, a question and a repeated submission meet the end of the last task',
  { port: 23_280, taskMs: 500 },
  async (cluster) => {
    const ids = Array.from({ length: 8 }, (_, i) => `req-00000${i}`);
    const answers: Promise<unknown>[] = [];
    const meet = (id: string): void => {
      for (const [i, node] of [0, 1, 2, 0, 1].entries()) {
        const at = i * 40;
        answers.push(
          pause(at).then(() => cluster.cancel(node, id)),
          pause(at).then(() => cluster.ask(node, id)),
          pause(at).then(() => cluster.submit(node, submission(id, 2))),
        );
      }
    };
    const left = new Map(ids.map((id) => [id, 2]));
    cluster.onDone = (piece) => {
      const id = piece.split('/')[0] ?? '';
      left.set(id, (left.get(id) ?? 0) - 1);
      if (left.get(id) === 0) meet(id);
    };
    for (const [i, id] of ids.entries()) await cluster.submitSurely(submission(id, 2), i);
    for (const id of ids) {
      await cluster.until('it has ended', async () =>
        ['done', 'cancelled'].includes(await cluster.ask(0, id)),
      );
    }
    await Promise.all(answers);
    for (const id of ids) {
      const told = await Promise.all([0, 1, 2].map((node) => cluster.ask(node, id)));
      assert.equal(new Set(told).size, 1);
    }
  },
);
