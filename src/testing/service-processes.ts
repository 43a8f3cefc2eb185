/**
 * Runs three controllers in separate processes, started with the command in `deploy/service.toml` and thus
 * under the memory limits of the service. Stand-ins in this process take the place of the state service, the
 * cloud and the workers.
 */
import { type ChildProcess, spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { CloudStandIn, type RentedMachine } from './cloud-standin.js';
import { History } from './history.js';
import { seeded } from './seeded.js';
import { settingsJson } from './settings.js';
import { StoreStandIn, type StoreLimits } from './store-standin.js';
import { applyAddresses, labels } from './three-controllers.js';
import { WorkerStandIn } from './worker-standin.js';

/** Clock ticks per second. The CPU times in `/proc/<pid>/stat` are in clock ticks. */
const ticksPerSecond = 100;
const kilobytesPerMb = 1024;

/** CPU time and resident memory of a process. */
export interface ProcessUsage {
  cpuS: number;
  memoryMb: number;
  peakMemoryMb: number;
}

/** Returns the CPU time of a process in seconds, and its current and peak resident memory. */
function usageOf(pid: number): ProcessUsage {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]?.split(' ') ?? [];
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const megabytes = (name: string): number =>
    Math.round(Number(new RegExp(`${name}:\\s+(\\d+)`).exec(status)?.[1]) / kilobytesPerMb);
  const cpuS = (Number(fields[11]) + Number(fields[12])) / ticksPerSecond;
  return { cpuS, memoryMb: megabytes('VmRSS'), peakMemoryMb: megabytes('VmHWM') };
}

/** The program and the arguments of the `run` command in `deploy/service.toml`. */
function runCommand(): string[] {
  const deployment = readFileSync('deploy/service.toml', 'utf8');
  return /^run = "(.*)"$/m.exec(deployment)?.[1]?.split(' ') ?? [];
}

export interface ServiceProcessesOptions {
  /** The controllers and the stand-ins listen on ports from this one on. */
  firstPort: number;
  heartbeatIntervalMs: number;
  workerLeaseMs: number;
  fetchMs: number;
  /** Run time in ms of a task. */
  taskMs: (random: () => number) => number;
  storeLimits: Partial<StoreLimits>;
  /** Maximum number of machines of each kind in each zone. */
  cloudCapacity: number;
  /** Changes the deployment's settings in the settings file of each controller. */
  changeSettings: (settings: Record<string, unknown>) => void;
  /** Arguments of Node.js in addition to those in `deploy/service.toml`. */
  nodeArguments?: string[];
  /** Receives what the controllers write to standard error. By default, it is passed on. */
  onLog?: (label: string, text: string) => void;
}

/** The memory quota of the controllers of a small deployment, in MB. */
export const smallDeploymentMemoryMb = 242;

/** Options of a deployment of a few machines, on which tasks take some 300 ms. */
export function smallDeployment(
  firstPort: number,
  onLog: ServiceProcessesOptions['onLog'] = () => undefined,
): ServiceProcessesOptions {
  return {
    firstPort,
    heartbeatIntervalMs: 500,
    workerLeaseMs: 3000,
    fetchMs: 50,
    taskMs: (random) => 200 + 200 * random(),
    storeLimits: {},
    cloudCapacity: 4,
    changeSettings: (settings) => {
      settings['workers'] = { report_s: 0.5, lease_s: 3, cancel_s: 8 };
      settings['quota'] = { cores: 0.34, mem_mb: smallDeploymentMemoryMb, max_sockets: 1800 };
    },
    onLog,
  };
}

/** A controller process that has ended although nobody stopped it. */
export interface UnexpectedExit {
  label: string;
  /** The exit status or the signal. */
  reason: string;
  /** Whether the process was out of heap memory, according to its output. */
  outOfMemory: boolean;
}

/** Three controller processes and their environment. */
export class ServiceProcesses {
  readonly store: StoreStandIn;
  readonly cloud = new CloudStandIn();
  readonly history = new History();
  readonly workers = new Map<string, WorkerStandIn>();
  readonly unexpectedExits: UnexpectedExit[] = [];
  private readonly controllers: (ChildProcess | undefined)[] = [];
  /** Processes that were ended on purpose. */
  private readonly stopped = new Set<ChildProcess>();
  private readonly directory = mkdtempSync(join(tmpdir(), 'shalekeel-service-'));
  private readonly random = seeded(1);
  private isStopping = false;

  constructor(private readonly options: ServiceProcessesOptions) {
    this.store = new StoreStandIn(options.storeLimits);
    this.cloud.capacity = options.cloudCapacity;
    this.cloud.onRent = (machine) => this.startWorker(machine);
    this.cloud.onRelease = (id) => {
      this.workers.get(id)?.end();
      this.workers.delete(id);
    };
  }

  /** The address at which a controller serves users and workers. */
  servingAddress(node: number): string {
    return `127.0.0.1:${this.options.firstPort + 10 + node}`;
  }

  /** The address at which a controller serves the other controllers. */
  peerAddress(node: number): string {
    return `127.0.0.1:${this.options.firstPort + 20 + node}`;
  }

  async start(): Promise<void> {
    const { firstPort } = this.options;
    await Promise.all([this.store.listen(firstPort), this.cloud.listen(firstPort + 5)]);
    for (const node of labels.keys()) this.startController(node);
  }

  /** Starts a controller, also again after its process has ended. */
  startController(node: number): void {
    const [program = '', ...programArguments] = runCommand();
    const { nodeArguments = [], onLog } = this.options;
    const child = spawn(program, [...nodeArguments, ...programArguments, this.writeSettings(node)], {
      stdio: ['ignore', 'ignore', 'pipe'],
    });
    this.controllers[node] = child;
    const label = labels[node] ?? '';
    let outOfMemory = false;
    child.stderr.on('data', (chunk: Buffer) => {
      const text = chunk.toString();
      outOfMemory ||= text.includes('heap out of memory');
      if (onLog) onLog(label, text);
      else process.stderr.write(text);
    });
    child.on('close', (code, signal) => {
      if (this.isStopping || this.stopped.has(child)) return;
      this.controllers[node] = undefined;
      this.unexpectedExits.push({ label, reason: signal ?? `status ${code}`, outOfMemory });
    });
  }

  /** Ends a controller without warning, and starts it again. */
  restartController(node: number): void {
    const child = this.controllers[node];
    if (child) {
      this.stopped.add(child);
      child.kill('SIGKILL');
    }
    this.startController(node);
  }

  isRunning(node: number): boolean {
    return this.controllers[node] !== undefined;
  }

  /** CPU time and memory of a controller, or undefined if its process has ended. */
  usage(node: number): ProcessUsage | undefined {
    const pid = this.controllers[node]?.pid;
    return pid === undefined ? undefined : usageOf(pid);
  }

  /** Ends all processes and stand-ins. With `SIGTERM`, the controllers end by themselves. */
  async stop(signal: 'SIGKILL' | 'SIGTERM' = 'SIGKILL'): Promise<void> {
    this.isStopping = true;
    const running = this.controllers.filter((child) => child !== undefined);
    await Promise.all(
      running.map((child) => {
        const closed = new Promise((resolve) => child.on('close', resolve));
        child.kill(signal);
        return closed;
      }),
    );
    for (const worker of this.workers.values()) worker.end();
    this.store.close();
    this.cloud.close();
    rmSync(this.directory, { recursive: true, force: true });
  }

  private writeSettings(node: number): string {
    const { firstPort, changeSettings } = this.options;
    const json = settingsJson((file) => {
      applyAddresses(file, node, {
        serving: (index) => this.servingAddress(index),
        peers: (index) => this.peerAddress(index),
        link: (_, to) => this.peerAddress(to),
        state: () => `127.0.0.1:${firstPort}`,
        cloud: `127.0.0.1:${firstPort + 5}`,
      });
      changeSettings(file['settings'] as Record<string, unknown>);
    });
    const path = join(this.directory, `${labels[node]}.json`);
    writeFileSync(path, json);
    return path;
  }

  private startWorker(machine: RentedMachine): void {
    const { options, random } = this;
    const worker = new WorkerStandIn(machine, {
      heartbeatIntervalMs: options.heartbeatIntervalMs,
      workerLeaseMs: options.workerLeaseMs,
      answerTimeoutMs: 4000,
      fetchMs: options.fetchMs,
      saveMs: 0,
      taskMs: () => options.taskMs(random),
      shouldHoldTask: () => false,
      nodes: labels.map((label, node) => ({ label, address: this.servingAddress(node) })),
      reaches: () => true,
      history: this.history,
      random,
      onTaskCompleted: () => undefined,
      onNewFencingToken: () => undefined,
    });
    this.workers.set(machine.id, worker);
    void worker.run();
  }
}
