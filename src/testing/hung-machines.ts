/**
 * Soak with seeded random faults: machines hang, receive nothing or reach no controller, while jobs on them
 * are cancelled and controllers restart. A short run is part of the tests; a long one is started by hand:
 *
 *     node target/test/testing/hung-machines.js [--seconds 900] [--seed 1]
 *
 * Prints what was done and the violations of the protocol. Exits with 1 if a rule was violated.
 */
import { argv } from 'node:process';
import { fileURLToPath } from 'node:url';
import { parseArgs } from 'node:util';
import { Cluster, labels, pause } from './cluster.js';
import { seeded } from './seeded.js';
import { submission } from './submission.js';
import type { WorkerStandIn } from './worker-standin.js';

/** Worker times of a real deployment in s, scaled down by five. */
const times = { report_s: 0.5, lease_s: 2.8, cancel_s: 6.8 };
const leaseMs = times.lease_s * 1000;
const cancelDeadlineMs = times.cancel_s * 1000;
const taskMs = { min: 2000, max: 12_000 };
const machinesPerZone = 6;
const openJobs = 8;
const maxTasksPerJob = 4;
/** The pause between two faults. */
const faultPauseMs = { min: 100, max: 700 };
/** The longest hang is longer than a cancel deadline. */
const hangMs = { min: 200, max: cancelDeadlineMs * 1.5 };
const partitionMs = { min: 200, max: leaseMs * 1.5 };
const restartMs = { min: 50, max: 300 };
/** Share of the cancellations that hit a job with a task on a machine that hangs. */
const cancelOnHungShare = 0.7;

export interface SoakOptions {
  /** First port of the range that the cluster uses. */
  port: number;
  seed: number;
  durationMs: number;
}

/** What was done, and which rules were violated. */
export interface SoakResult {
  violations: string[];
  hangs: number;
  partitions: number;
  restarts: number;
  cancels: number;
  releases: number;
}

/** Runs a cluster with random faults until the time has passed, and a cancel deadline more without faults. */
export async function soakHungMachines({ port, seed, durationMs }: SoakOptions): Promise<SoakResult> {
  const random = seeded(seed);
  const between = ({ min, max }: { min: number; max: number }): number => min + random() * (max - min);
  const cluster = new Cluster({
    port,
    seed,
    times,
    taskMs: () => between(taskMs),
    capacity: machinesPerZone,
  });
  try {
    await cluster.start();
    const soak = new Soak(cluster, random, between);
    await soak.run(durationMs);
    return soak.result();
  } finally {
    cluster.stop();
  }
}

class Soak {
  private readonly counts = { hangs: 0, partitions: 0, restarts: 0, cancels: 0 };
  private readonly hung = new Set<WorkerStandIn>();
  private readonly restarting = new Set<string>();
  private readonly openIds = new Set<string>();
  private readonly pending = new Set<Promise<void>>();
  private lastJob = 0;

  constructor(
    private readonly cluster: Cluster,
    private readonly random: () => number,
    private readonly between: (range: { min: number; max: number }) => number,
  ) {}

  async run(durationMs: number): Promise<void> {
    const endsAt = Date.now() + durationMs;
    const faults = [
      () => this.hang(),
      () => this.hang(),
      () => this.partition(),
      () => this.restartController(),
      () => this.cancelJob(),
      () => this.cancelJob(),
    ];
    while (Date.now() < endsAt) {
      this.submitJobs();
      this.track(this.pick(faults)?.());
      await pause(this.between(faultPauseMs));
    }
    await Promise.all(this.pending);
    await pause(cancelDeadlineMs);
  }

  result(): SoakResult {
    const { cluster, counts } = this;
    return { ...counts, releases: cluster.cloud.released.length, violations: cluster.violations() };
  }

  private async hang(): Promise<void> {
    const worker = this.pick([...this.cluster.workers.values()].filter((other) => !this.hung.has(other)));
    if (!worker) return;
    this.counts.hangs++;
    this.hung.add(worker);
    worker.pause();
    await pause(this.between(hangMs));
    worker.resume();
    this.hung.delete(worker);
  }

  private async partition(): Promise<void> {
    const worker = this.pick([...this.cluster.workers.values()]);
    if (!worker) return;
    this.counts.partitions++;
    const direction = this.random() < 0.5 ? 'receivesNoResponses' : 'isPartitioned';
    worker[direction] = true;
    await pause(this.between(partitionMs));
    worker[direction] = false;
  }

  private async restartController(): Promise<void> {
    const label = this.pick(labels);
    if (label === undefined || this.restarting.has(label)) return;
    this.counts.restarts++;
    this.restarting.add(label);
    await this.cluster.restart(label, this.between(restartMs));
    this.restarting.delete(label);
  }

  private async cancelJob(): Promise<void> {
    const onHung = [...this.hung].flatMap(({ running }) => running.map((task) => task.split('/')[0] ?? ''));
    const isOnHung = this.random() < cancelOnHungShare && onHung.length > 0;
    const id = this.pick(isOnHung ? onHung : [...this.openIds]);
    if (id === undefined) return;
    this.counts.cancels++;
    this.openIds.delete(id);
    await this.cluster.cancelUntilEnded(id);
  }

  /** Keeps several jobs open. Jobs that have completed are replaced. */
  private submitJobs(): void {
    for (const id of this.openIds) {
      const hasStarted = this.cluster.completedOf(id) > 0;
      if (hasStarted && this.cluster.runningOf(id).length === 0) this.openIds.delete(id);
    }
    while (this.openIds.size < openJobs) {
      const id = `req-${String(++this.lastJob).padStart(6, '0')}`;
      this.openIds.add(id);
      const tasks = 1 + Math.floor(this.random() * maxTasksPerJob);
      this.track(this.cluster.submitUntilAccepted(submission(id, tasks, { owner: 'blue' }), this.lastJob));
    }
  }

  private track(action: Promise<void> | undefined): void {
    if (!action) return;
    const tracked = action.catch(() => undefined).finally(() => this.pending.delete(tracked));
    this.pending.add(tracked);
  }

  private pick<T>(items: readonly T[]): T | undefined {
    return items[Math.floor(this.random() * items.length)];
  }
}

if (argv[1] === fileURLToPath(import.meta.url)) {
  const { values } = parseArgs({
    options: { seconds: { type: 'string', default: '900' }, seed: { type: 'string', default: '1' } },
  });
  const { violations, ...counts } = await soakHungMachines({
    port: 32_000,
    seed: Number(values.seed),
    durationMs: Number(values.seconds) * 1000,
  });
  process.stdout.write(`${JSON.stringify(counts)}, ${violations.length} violations\n`);
  for (const violation of violations.slice(0, 20)) process.stdout.write(`${violation}\n`);
  process.exit(violations.length === 0 ? 0 : 1);
}
