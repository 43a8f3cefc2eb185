/**
 * Driver for maintainers: cancels a quarter of the jobs of a large fleet, and restarts all controllers again
 * and again until the cancel deadline has passed. Prints the violations of the protocol, the leases that
 * expired, and the tasks of open jobs that were started again:
 *
 *     node target/test/testing/owner-changes.js [--machines 4000] [--seed 1] [--period 7]
 *
 * `--period`: seconds between two restarts. Exits with 1 if a rule was violated.
 */
import { parseArgs } from 'node:util';
import { Cluster, everyTask, labels, pause } from './cluster.js';
import { busyMachineCount, countTaskRestarts, submitJobsForAllMachines } from './fleet.js';

const port = 32_000;
/** Times in s that leave room for several owners between a cancellation and its deadline. */
const times = { report_s: 6, lease_s: 20, cancel_s: 50 };
const taskMs = 25_000;
const rampUpMs = 120_000;
const minBusyShare = 0.9;
const cancelledShare = 0.25;

const { values } = parseArgs({
  options: {
    machines: { type: 'string', default: '4000' },
    seed: { type: 'string', default: '1' },
    period: { type: 'string', default: '7' },
  },
});

/** Restarts all controllers once per period until the time in ms has passed. Returns the number of rounds. */
async function restartRepeatedly(cluster: Cluster, forMs: number): Promise<number> {
  const endsAt = Date.now() + forMs;
  let rounds = 0;
  while (Date.now() < endsAt) {
    await Promise.all(labels.map((label) => cluster.restart(label)));
    rounds++;
    await pause(Number(values.period) * 1000);
  }
  return rounds;
}

function expiredLeases(cluster: Cluster): number {
  return [...cluster.workers.values()].reduce((sum, { agentEpoch }) => sum + agentEpoch - 1, 0);
}

async function run(cluster: Cluster, machineCount: number): Promise<string[]> {
  await cluster.start();
  cluster.shouldHoldTask = everyTask;
  const ids = await submitJobsForAllMachines(cluster, machineCount);
  await cluster.waitUntil(
    'the machines run tasks',
    () => busyMachineCount(cluster) >= minBusyShare * machineCount,
    rampUpMs,
  );
  const cancelled = ids.slice(0, Math.ceil(ids.length * cancelledShare));
  const before = expiredLeases(cluster);
  await Promise.all(cancelled.map((id) => cluster.cancelUntilEnded(id)));
  const rounds = await restartRepeatedly(cluster, times.cancel_s * 1000);
  const violations = cluster.violations();
  const expired = expiredLeases(cluster) - before;
  const restarts = countTaskRestarts(cluster, ids.slice(cancelled.length));
  const running = cancelled.reduce((sum, id) => sum + cluster.runningOf(id).length, 0);
  process.stdout.write(
    `${rounds} restarts of all controllers, ${expired} leases expired, ${restarts} tasks of open jobs started again, ` +
      `${running} cancelled tasks still run, ${violations.length} violations\n`,
  );
  return violations;
}

const machineCount = Number(values.machines);
const seed = Number(values.seed);
const cluster = new Cluster({ port, taskMs, capacity: machineCount / 2, times, seed });
const violations = await run(cluster, machineCount);
for (const violation of violations.slice(0, 10)) process.stdout.write(`${violation}\n`);
cluster.stop();
process.exit(violations.length === 0 ? 0 : 1);
