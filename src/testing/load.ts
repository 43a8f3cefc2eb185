/**
 * Load driver for maintainers: runs three controllers in separate processes, and stand-ins for the state
 * service, the cloud, the workers and the users in this process. Prints for each controller the CPU use
 * during the `--seconds` after the `--warm-up` (in seconds), the CPU time until the end of the warm-up, and
 * the memory:
 *
 *     node target/test/testing/load.js [--machines 632] [--warm-up 40] [--seconds 60] [--jobs-per-second 4]
 *       [--profile DIR]
 */
import { type ChildProcess, spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { parseArgs } from 'node:util';
import { HttpClient } from '../base/http.js';
import { pause } from './cluster.js';
import { CloudStandIn, type RentedMachine } from './cloud-standin.js';
import { History } from './history.js';
import { seeded } from './seeded.js';
import { settingsJson } from './settings.js';
import { StoreStandIn } from './store-standin.js';
import { applyAddresses, labels } from './three-controllers.js';
import { WorkerStandIn } from './worker-standin.js';
import { submission } from './submission.js';

const firstPort = 27_000;
const heartbeatIntervalMs = 4000;
const workerLeaseMs = 20_000;
const taskMs = 30_000;
const tasksPerJob = 8;
const pollMs = 5000;
/** Clock ticks per second. The CPU times in `/proc/<pid>/stat` are in clock ticks. */
const ticksPerSecond = 100;

const { values } = parseArgs({
  options: {
    machines: { type: 'string', default: '632' },
    seconds: { type: 'string', default: '60' },
    'warm-up': { type: 'string', default: '40' },
    'jobs-per-second': { type: 'string', default: '4' },
    profile: { type: 'string' },
  },
});

const servingAddress = (node: number): string => `127.0.0.1:${firstPort + 10 + node}`;
const peerAddress = (node: number): string => `127.0.0.1:${firstPort + 20 + node}`;

function writeSettings(directory: string, node: number): string {
  const json = settingsJson((file) => {
    applyAddresses(file, node, {
      serving: servingAddress,
      peers: peerAddress,
      link: (_, to) => peerAddress(to),
      state: () => `127.0.0.1:${firstPort}`,
      cloud: `127.0.0.1:${firstPort + 5}`,
    });
    const deploymentSettings = file['settings'] as Record<string, unknown>;
    deploymentSettings['teams'] = [{ name: 'red', cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 }];
    deploymentSettings['workers'] = {
      report_s: heartbeatIntervalMs / 1000,
      lease_s: workerLeaseMs / 1000,
      cancel_s: 50,
    };
    deploymentSettings['state'] = { rps: 250, write_rps: 100, value_kb: 32, txn_ops: 32 };
    deploymentSettings['cloud'] = { rps: 50, list_lag_s: 1 };
    deploymentSettings['quota'] = { cores: 0.043, mem_mb: 165, max_sockets: 1500 };
  });
  const path = join(directory, `${labels[node]}.json`);
  writeFileSync(path, json);
  return path;
}

/**
 * Starts the program with the command in `deploy/service.toml`, and with CPU profiling if `--profile` is
 * given.
 */
function startController(settingsPath: string): ChildProcess {
  const deployment = readFileSync('deploy/service.toml', 'utf8');
  const [program = '', ...programArguments] = /^run = "(.*)"$/m.exec(deployment)?.[1]?.split(' ') ?? [];
  const profile = values.profile === undefined ? [] : ['--cpu-prof', `--cpu-prof-dir=${values.profile}`];
  return spawn(program, [...profile, ...programArguments, settingsPath], {
    stdio: ['ignore', 'ignore', 'inherit'],
  });
}

/** Returns the CPU time of a process in seconds, and its current and peak resident memory in MB. */
function usageOf(pid: number): { cpuS: number; rssMb: number; peakMb: number } {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]?.split(' ') ?? [];
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const megabytes = (name: string): number =>
    Math.round(Number(new RegExp(`${name}:\\s+(\\d+)`).exec(status)?.[1]) / 1024);
  const cpuS = (Number(fields[11]) + Number(fields[12])) / ticksPerSecond;
  return { cpuS, rssMb: megabytes('VmRSS'), peakMb: megabytes('VmHWM') };
}

/** Simulated users, who submit jobs at a constant rate and poll each job until it is done. */
class Users {
  readonly counts = { accepted: 0, turnedAway: 0, done: 0 };
  private readonly controllerClients = labels.map((_, node) => new HttpClient(servingAddress(node), 100));
  private submitted = 0;

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

async function main(): Promise<void> {
  const directory = mkdtempSync(join(tmpdir(), 'shalekeel-load-'));
  const store = new StoreStandIn({ rps: 250, writeRps: 100, txnOps: 32 });
  const cloud = new CloudStandIn();
  const random = seeded(1);
  const history = new History();
  const workers = new Map<string, WorkerStandIn>();
  cloud.capacity = Math.ceil(Number(values.machines) / 2);
  cloud.onRent = (machine: RentedMachine) => {
    const worker = new WorkerStandIn(machine, {
      heartbeatIntervalMs,
      workerLeaseMs,
      answerTimeoutMs: 4000,
      fetchMs: 500,
      saveMs: 0,
      taskMs: () => taskMs * (0.5 + random()),
      shouldHoldTask: () => false,
      nodes: labels.map((label, node) => ({ label, address: servingAddress(node) })),
      reaches: () => true,
      history,
      random,
      onTaskCompleted: () => undefined,
      onNewFencingToken: () => undefined,
    });
    workers.set(machine.id, worker);
    void worker.run();
  };
  cloud.onRelease = (id) => {
    workers.get(id)?.end();
    workers.delete(id);
  };
  await Promise.all([store.listen(firstPort), cloud.listen(firstPort + 5)]);
  const controllers = labels.map((_, node) => startController(writeSettings(directory, node)));
  const stop = new AbortController();
  const users = new Users();
  void users.run(Number(values['jobs-per-second']), stop.signal);
  await pause(Number(values['warm-up']) * 1000);
  const before = controllers.map((controller) => usageOf(controller.pid ?? 0));
  await pause(Number(values.seconds) * 1000);
  const after = controllers.map((controller) => usageOf(controller.pid ?? 0));
  for (const [node, label] of labels.entries()) {
    const [from, to] = [before[node], after[node]];
    if (!from || !to) continue;
    const share = (100 * (to.cpuS - from.cpuS)) / Number(values.seconds);
    const memory = `${to.rssMb} MB now, ${to.peakMb} MB at most`;
    process.stdout.write(
      `${label}: ${share.toFixed(1)}% of a core, start ${from.cpuS.toFixed(1)} s, ${memory}\n`,
    );
  }
  process.stdout.write(`${workers.size} machines, users ${JSON.stringify(users.counts)}\n`);
  stop.abort();
  for (const controller of controllers) controller.kill('SIGTERM');
  await pause(3000);
  process.exit(0);
}

await main();
