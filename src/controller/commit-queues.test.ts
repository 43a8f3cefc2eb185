import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { TrafficClass } from '../store/request-pacing.js';
import { testSettings } from '../testing/settings.js';
import { createCommitQueues, queueLengths } from './commit-queues.js';

test('each kind of work has its own commit queue, with a traffic class and a capacity', async () => {
  const sentTrafficClasses: TrafficClass[] = [];
  let respond: () => void = () => undefined;
  const responded = new Promise<void>((resolve) => (respond = resolve));
  const settings = testSettings();
  const queues = createCommitQueues(
    {
      commit: async (traffic) => {
        sentTrafficClasses.push(traffic);
        await responded;
        return { kind: 'applied', revision: 1 };
      },
    },
    settings,
    new AbortController().signal,
  );
  const commits = [queues.duty, queues.leader, queues.intake, queues.confirm].map((queue) =>
    queue.commit([], [{ put: 'key', value: 1 }]),
  );
  assert.deepEqual(sentTrafficClasses, ['duty', 'duty', 'intake', 'confirm']);
  assert.deepEqual(queueLengths(queues), { duty: 1, leader: 1, intake: 1, confirm: 1 });
  const { txnOps } = settings.state;
  assert.deepEqual(
    [queues.duty, queues.leader, queues.intake, queues.confirm].map((queue) => queue.writableHighWaterMark),
    [4 * txnOps, 4 * txnOps, 4 * txnOps, 8 * txnOps],
  );
  respond();
  await Promise.all(commits);
});
