/**
 * Load driver for maintainers: runs three controllers in separate processes, and stand-ins for the state
 * service, the cloud, the workers and the users in this process. Prints for each controller the CPU use
 * during the `--seconds` after the `--warm-up` (in seconds), the CPU time until the end of the warm-up, and
 * the memory:
 *
 *     node target/test/testing/load.js [--machines 632] [--warm-up 40] [--seconds 60] [--jobs-per-second 4]
 *       [--first-port 27000] [--restart-every S] [--profile DIR]
 *
 * With `--restart-every`, every controller process is ended and started again each time after so many seconds,
 * and the largest memory of each controller and its unexpected ends are printed.
 */
import { parseArgs } from 'node:util';
import { testClient } from './test-client.js';
import { type HttpClient } from '../base/http.js';
import { pause } from './cluster.js';
import { type ProcessUsage, ServiceProcesses } from './service-processes.js';
import { submission } from './submission.js';
import { labels } from './three-controllers.js';

const heartbeatIntervalMs = 4000;
const workerLeaseMs = 20_000;
const taskMs = 30_000;
const tasksPerJob = 8;
const pollMs = 5000;

const { values } = parseArgs({
  options: {
    machines: { type: 'string', default: '632' },
    seconds: { type: 'string', default: '60' },
    'warm-up': { type: 'string', default: '40' },
    'jobs-per-second': { type: 'string', default: '4' },
    'first-port': { type: 'string', default: '27000' },
    'restart-every': { type: 'string' },
    profile: { type: 'string' },
  },
});

function changeSettings(settings: Record<string, unknown>): void {
  settings['teams'] = [{ name: 'red', cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 }];
  settings['workers'] = {
    report_s: heartbeatIntervalMs / 1000,
    lease_s: workerLeaseMs / 1000,
    cancel_s: 50,
  };
  settings['state'] = { rps: 250, write_rps: 100, value_kb: 32, txn_ops: 32 };
  settings['cloud'] = { rps: 50, list_lag_s: 1 };
  settings['quota'] = { cores: 0.043, mem_mb: 165, max_sockets: 1500 };
}

/** Simulated users, who submit jobs at a constant rate and poll each job until it is done. */
class Users {
  readonly counts = { accepted: 0, turnedAway: 0, done: 0 };
  private readonly controllerClients: HttpClient[];
  private submitted = 0;

  constructor(addresses: string[]) {
    this.controllerClients = addresses.map((address) => testClient(address, 100));
  }

  async run(jobsPerSecond: number, stop: AbortSignal): Promise<void> {
    while (!stop.aborted) {
      void this.follow(`req-${100_000 + this.submitted++}`, stop);
      await pause(1000 / jobsPerSecond);
    }
  }

  private async follow(id: string, stop: AbortSignal): Promise<void> {
    while (!stop.aborted && !(await this.submit(id))) await pause(1000);
    for (let status = ''; !stop.aborted && status !== 'done';) {
      await pause(pollMs);
      status = await this.queryStatus(id);
    }
    this.counts.done++;
  }

  private async submit(id: string): Promise<boolean> {
    const job = submission(id, tasksPerJob, { loaners: true, cpus: 2.5, expectS: taskMs / 1000 });
    const answer = await this.requestStatus('POST', '/v2/runs', job);
    const accepted = answer === 200 || answer === 201;
    this.counts[accepted ? 'accepted' : 'turnedAway']++;
    return accepted;
  }

  private async requestStatus(method: string, path: string, body?: unknown): Promise<number> {
    const client = this.controllerClients[Math.floor(Math.random() * labels.length)] as HttpClient;
    const answer = await client.exchange(method, path, body, { timeoutMs: 5000 }).catch(() => undefined);
    return answer?.status ?? 0;
  }

  private async queryStatus(id: string): Promise<string> {
    const client = this.controllerClients[Math.floor(Math.random() * labels.length)] as HttpClient;
    const answer = await client
      .exchange('GET', `/v2/runs/${id}`, undefined, { timeoutMs: 2000 })
      .catch(() => undefined);
    return String((answer?.body as { status?: string } | undefined)?.status);
  }
}

function printUsage(label: string, from: ProcessUsage, to: ProcessUsage): void {
  const share = (100 * (to.cpuS - from.cpuS)) / Number(values.seconds);
  const memory = `${to.memoryMb} MB now, ${to.peakMemoryMb} MB at most`;
  process.stdout.write(
    `${label}: ${share.toFixed(1)}% of a core, start ${from.cpuS.toFixed(1)} s, ${memory}\n`,
  );
}

/** Ends and starts all controllers again and again, and records the largest memory of each. */
async function restartControllers(
  service: ServiceProcesses,
  intervalMs: number,
  stop: AbortSignal,
): Promise<number[]> {
  const peaksMb = labels.map(() => 0);
  while (!stop.aborted) {
    await pause(intervalMs);
    for (const node of labels.keys()) {
      peaksMb[node] = Math.max(peaksMb[node] ?? 0, service.usage(node)?.peakMemoryMb ?? 0);
      service.restartController(node);
    }
  }
  return peaksMb;
}

async function runWithRestarts(service: ServiceProcesses, intervalMs: number): Promise<void> {
  const stop = new AbortController();
  const restarts = restartControllers(service, intervalMs, stop.signal);
  await pause(Number(values.seconds) * 1000);
  stop.abort();
  const peaksMb = await restarts;
  process.stdout.write(`largest memory with restarts: ${peaksMb.join(', ')} MB\n`);
  process.stdout.write(`unexpected ends: ${JSON.stringify(service.unexpectedExits)}\n`);
}

async function measureUsage(service: ServiceProcesses): Promise<void> {
  const before = labels.map((_, node) => service.usage(node));
  await pause(Number(values.seconds) * 1000);
  for (const [node, label] of labels.entries()) {
    const [from, to] = [before[node], service.usage(node)];
    if (from && to) printUsage(label, from, to);
  }
}

async function main(): Promise<void> {
  const service = new ServiceProcesses({
    firstPort: Number(values['first-port']),
    heartbeatIntervalMs,
    workerLeaseMs,
    fetchMs: 500,
    taskMs: (random) => taskMs * (0.5 + random()),
    storeLimits: { rps: 250, writeRps: 100, txnOps: 32 },
    cloudCapacity: Math.ceil(Number(values.machines) / 2),
    changeSettings,
    nodeArguments: values.profile === undefined ? [] : ['--cpu-prof', `--cpu-prof-dir=${values.profile}`],
  });
  await service.start();
  const stop = new AbortController();
  const users = new Users(labels.map((_, node) => service.servingAddress(node)));
  void users.run(Number(values['jobs-per-second']), stop.signal);
  await pause(Number(values['warm-up']) * 1000);
  const restartEveryS = values['restart-every'];
  if (restartEveryS === undefined) await measureUsage(service);
  else await runWithRestarts(service, Number(restartEveryS) * 1000);
  process.stdout.write(`${service.workers.size} machines, users ${JSON.stringify(users.counts)}\n`);
  stop.abort();
  await service.stop(values.profile === undefined ? 'SIGKILL' : 'SIGTERM');
  process.exit(0);
}

await main();
