import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { TrafficClass } from '../store/request-pacing.js';
import { testSettings } from '../testing/settings.js';
import { createCommitQueues, queueLengths } from './commit-queues.js';

test('each kind of work has a queue of its own, with the traffic class that its commits are paced by', async () => {
  const sent: TrafficClass[] = [];
  let answer: () => void = () => undefined;
  const answered = new Promise<void>((resolve) => (answer = resolve));
  const settings = testSettings();
  const queues = createCommitQueues(
    {
      commit: async (traffic) => {
        sent.push(traffic);
        await answered;
        return { kind: 'applied', revision: 1 };
      },
    },
    settings,
    new AbortController().signal,
  );
  const commits = [queues.duty, queues.leader, queues.intake, queues.confirm].map((queue) =>
    queue.commit([], [{ put: 'key', value: 1 }]),
  );
  assert.deepEqual(sent, ['duty', 'duty', 'intake', 'confirm']);
  assert.deepEqual(queueLengths(queues), { duty: 1, leader: 1, intake: 1, confirm: 1 });
  const { txnOps } = settings.state;
  assert.deepEqual(
    [queues.duty, queues.leader, queues.intake, queues.confirm].map((queue) => queue.writableHighWaterMark),
    [4 * txnOps, 4 * txnOps, 4 * txnOps, 8 * txnOps],
  );
  answer();
  await Promise.all(commits);
});
