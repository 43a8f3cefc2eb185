import { fileURLToPath } from 'node:url';
import { HttpPeer, type Answer } from '../base/http.js';
import { createLog } from '../base/log.js';
import { Controller } from '../controller/controller.js';
import { defaultOperatorSettings } from '../settings/operator.js';
import type { Settings } from '../settings/settings.js';
import { type BlockRecord, machinePages, parseBlock } from '../wire/block-records.js';
import { blockKey, machinesPrefix } from '../wire/keys.js';
import { check } from './checker.js';
import { CloudStandIn, type RentedMachine, machineType } from './cloud-standin.js';
import { ControllerProcesses } from './controller-processes.js';
import { History, type JobFacts, type Told } from './history.js';
import { Link } from './link.js';
import { seeded } from './seeded.js';
import { settingsJson, testSettings } from './settings.js';
import { StoreStandIn } from './store-standin.js';
import { type Addresses, applyAddresses, labels, zones } from './three-controllers.js';
import { WorkerStandIn } from './worker-standin.js';

export { labels };

/** The times of the workers, by the settings' names. */
export interface WorkerTimes {
  report_s: number;
  lease_s: number;
  cancel_s: number;
}

/** The deployment's times, scaled: everything that a test waits for is a multiple of them. */
const usualTimes: WorkerTimes = { report_s: 0.2, lease_s: 2, cancel_s: 5 };
export const heartbeatIntervalMs = usualTimes.report_s * 1000;
export const workerLeaseMs = usualTimes.lease_s * 1000;
export const cancelDeadlineMs = usualTimes.cancel_s * 1000;
/** What the protocol allows for a job about which nothing is answered, as a multiple of the time for a cancellation. */
const forgottenCancels = 1.5;
/** What a user waits for an answer. */
const userMs = 5000;
/** Red may use less than the machines have, so that its limit is what holds it back. */
const limits = new Map([['red', 32]]);

export interface ClusterOptions {
  /** The first of a range of ports of its own: test files run side by side. */
  port: number;
  taskMs: number | ((piece: string) => number);
  fetchMs?: number;
  /** Where the usual ones would keep this process busy with reports alone. */
  times?: WorkerTimes;
  seed?: number;
  /** Machines that each zone has to give. */
  capacity?: number;
  /** Controllers that run in processes of their own, so that a test can stop and continue them. */
  processes?: string[];
  /** Controllers that begin with the program at this path, each in a process of its own: an earlier version. */
  earlier?: { program: string; labels: string[] };
  /** Limits that the state service will have, by the settings' names. */
  nextLimits?: Record<string, number>;
}

const mainModule = fileURLToPath(new URL('../main.js', import.meta.url));

/** Three controllers in this process, with stand-ins for all that is outside. */
export class Cluster {
  readonly store: StoreStandIn;
  readonly cloud = new CloudStandIn();
  readonly workers = new Map<string, WorkerStandIn>();
  readonly history = new History();
  /** Zones that are cut off from all that is outside of them. */
  readonly cutZones = new Set<string>();
  /** Called as a task completes, before anybody has heard of it. */
  onDone: (piece: string) => void = () => undefined;
  /** Tasks that run until the test lets them go, so that none ends before it is looked for; their time counts from then. */
  holdsTask: (task: string) => boolean = noTask;
  /** Tasks that share an entry in the ledger of each block, as of the last lease that began in this process. */
  readonly chunkTasks = new Map<number, number>();
  private calmAt = Date.now();
  private readonly running = new Map<string, AbortController>();
  readonly processes = new ControllerProcesses();
  private readonly users: HttpPeer[];
  private readonly links = new Map<string, Link>();
  private readonly random: () => number;
  private readonly times: WorkerTimes;

  constructor(private readonly options: ClusterOptions) {
    this.times = options.times ?? usualTimes;
    this.random = seeded(options.seed ?? 1);
    this.store = new StoreStandIn({ rps: 400, writeRps: 200, txnOps: 20 }, options.seed);
    this.users = labels.map((_, i) => new HttpPeer(this.address(i, 0), 16));
    this.cloud.capacity = options.capacity ?? this.cloud.capacity;
    this.cloud.onRent = (machine) => this.boot(machine);
    this.cloud.onRelease = (id) => this.takeAway(id);
  }

  /** Starts everything and waits until users are served everywhere. */
  async start(): Promise<void> {
    const { port } = this.options;
    await Promise.all([
      ...labels.map((label, i) => this.store.listen(port + i, label)),
      this.cloud.listen(port + 5),
      ...labels.flatMap((from, i) => labels.flatMap((to, j) => (i === j ? [] : [this.connect(from, to)]))),
    ]);
    for (const label of labels) {
      if (this.options.earlier?.labels.includes(label))
        this.startProcess(label, this.options.earlier.program);
      else if (this.options.processes?.includes(label)) this.startProcess(label);
      else this.startController(label);
    }
    await this.until('all controllers are up', async () => {
      const answers = await Promise.all([0, 1, 2].map((node) => this.user(node, 'GET', '/up')));
      return answers.every((answer) => answer.status === 200);
    });
    await this.leading();
  }

  startController(label: string): void {
    const stop = new AbortController();
    this.running.set(label, stop);
    // Who looks for a cause sets LOG_LEVEL, as for the service itself.
    const level = process.env['LOG_LEVEL'];
    const log = createLog(label, level, { write: (line) => this.heed(line, level !== undefined) });
    void new Controller(this.settings(label), defaultOperatorSettings, log, stop.signal).run();
  }

  /** The settings of one controller of this cluster. */
  settings(label: string): Settings {
    return testSettings((file) => this.adapt(file, label));
  }

  /** Some of what the controllers in this process log is known in no other way. */
  private heed(line: string, prints: boolean): void {
    if (prints) process.stderr.write(line);
    if (!line.includes('"lease-started"')) return;
    const { block, chunkTasks } = JSON.parse(line) as { block: number; chunkTasks: number };
    this.chunkTasks.set(block, chunkTasks);
  }

  /** The program as it is deployed, but for its bundling. */
  startProcess(label: string, program = mainModule): void {
    this.processes.start(
      label,
      program,
      settingsJson((file) => this.adapt(file, label)),
    );
  }

  /** The controller ends, whatever it runs as, and comes back as this version. */
  async upgrade(label: string, afterMs = 300): Promise<void> {
    this.processes.kill(label);
    this.stopController(label);
    await pause(afterMs);
    this.startController(label);
  }

  /** The same, but it comes back as the earlier version. */
  async downgrade(label: string, afterMs = 300): Promise<void> {
    const { earlier } = this.options;
    if (!earlier) throw new Error('there is no earlier version');
    this.processes.kill(label);
    this.stopController(label);
    await pause(afterMs);
    this.startProcess(label, earlier.program);
  }

  /** The state service has the limits that the settings announce. */
  lowerLimits(): void {
    const { value_kb, txn_ops, write_rps } = this.options.nextLimits ?? {};
    this.store.lower({
      ...(value_kb === undefined ? {} : { valueBytes: value_kb * 1024 }),
      ...(txn_ops === undefined ? {} : { txnOps: txn_ops }),
      ...(write_rps === undefined ? {} : { writeRps: write_rps }),
    });
  }

  /** As with no signal: nothing is said to anybody, its connections end. */
  stopController(label: string): void {
    this.running.get(label)?.abort();
    this.running.delete(label);
  }

  /** Ended and back within a fraction of a second, with the life before still on record. */
  async restart(label: string, afterMs = 100): Promise<void> {
    this.stopController(label);
    await pause(afterMs);
    this.startController(label);
  }

  /** Waits until a controller leads, another than the one given, and says which. */
  async leading(not = ''): Promise<string> {
    let label = '';
    await this.until('another leads', () => {
      label = (this.store.value('lead') as { label?: string } | undefined)?.label ?? '';
      return label !== '' && label !== not;
    });
    return label;
  }

  /** The version of the leader's key, which every term has to itself; 0 while nobody leads. */
  leaderToken(): number {
    return this.store.version('lead');
  }

  /** A block as the state service has it, with the machines that its pages name. */
  block(block: number): BlockRecord {
    const { store } = this;
    const pages = machinePages(block, store.below(machinesPrefix(block)));
    const record = parseBlock(store.value(blockKey(block)), store.version(blockKey(block)), pages);
    if (!record) throw new Error(`no block ${block}`);
    return record;
  }

  /** The owners of all blocks, in their order. */
  owners(): string[] {
    return labels.map((_, block) => this.block(block).owner);
  }

  /** The controller that a machine's block is leased to. */
  ownerOf(machine: string): string {
    const blocks = labels.map((_, block) => this.block(block));
    return blocks.find(({ machines }) => machines.some(({ id }) => id === machine))?.owner ?? '';
  }

  /** The link over which one controller tells the other of itself. */
  link(from: string, to: string): Link {
    const link = this.links.get(`${from}>${to}`);
    if (!link) throw new Error(`no link from ${from} to ${to}`);
    return link;
  }

  /** Both ways between a controller and all its peers. */
  peersOf(label: string): Link[] {
    return [...this.links].filter(([key]) => key.split('>').includes(label)).map(([, link]) => link);
  }

  user(node: number, method: string, path: string, body?: unknown): Promise<Answer> {
    const user = this.users[node];
    if (!user) throw new Error(`no controller ${node}`);
    return user.exchange(method, path, body, { timeoutMs: userMs });
  }

  /** One try of a submission. */
  async submit(node: number, job: Submission): Promise<number> {
    const { id } = job;
    this.history.add({ kind: 'submitted', id: String(id), job: factsOf(job) });
    const sentAt = this.history.now();
    const { status, body } = await this.try(node, 'POST', '/v2/runs', job);
    const accepted = status === 200 || status === 201;
    const what = accepted ? toldIn(body) : status === 400 || status === 422 ? 'refused' : 'turned away';
    this.history.add({ kind: 'told', id: String(id), by: 'submission', what, sentAt });
    return status;
  }

  async ask(node: number, id: string): Promise<Told> {
    const sentAt = this.history.now();
    const { status, body } = await this.try(node, 'GET', `/v2/runs/${id}`);
    const what = status === 200 ? toldIn(body) : status === 404 ? 'unknown' : 'turned away';
    this.history.add({ kind: 'told', id, by: 'question', what, sentAt });
    return what;
  }

  async cancel(node: number, id: string): Promise<Told> {
    this.history.add({ kind: 'asked to cancel', id });
    const sentAt = this.history.now();
    const { status, body } = await this.try(node, 'POST', `/v2/runs/${id}/cancel`, {});
    const what = status === 200 ? toldIn(body) : status === 404 ? 'unknown' : 'turned away';
    this.history.add({ kind: 'told', id, by: 'cancel', what, sentAt });
    return what;
  }

  /** As users do: tries one controller after the other until it is accepted. */
  async submitSurely(job: Submission, from = 0): Promise<void> {
    let node = from;
    await this.until(`${String(job.id)} is accepted`, async () => {
      const status = await this.submit(node++ % 3, job);
      return status === 200 || status === 201;
    });
  }

  async cancelSurely(id: string, nodes: number[] = [0, 1, 2]): Promise<Told> {
    let told: Told = 'turned away';
    let at = 0;
    await this.until(`${id} is ended`, async () => {
      told = await this.cancel(nodes[at++ % nodes.length] ?? 0, id);
      return told === 'cancelled' || told === 'done';
    });
    return told;
  }

  /** As users do: asks again until the answer is what they wait for. */
  async until(what: string, ask: () => Promise<boolean> | boolean, withinMs = 15_000): Promise<void> {
    const deadline = Date.now() + withinMs;
    for (;;) {
      if (await Promise.resolve(ask()).catch(() => false)) return;
      if (Date.now() > deadline) throw new Error(`not within ${withinMs} ms: ${what}`);
      await pause(50);
    }
  }

  /** All troubles are over: whatever is accepted and not cancelled comes to its end, and every controller says so. */
  async allDone(ids: string[], withinMs = 25_000): Promise<void> {
    this.calmAt = Date.now();
    await this.toldEverywhere(ids, 'done', withinMs);
  }

  /** Every controller says this of each of the jobs. */
  async toldEverywhere(ids: string[], what: Told, withinMs: number): Promise<void> {
    for (const id of ids) {
      await this.until(
        `${id} is ${what} for all`,
        async () => {
          const told = await Promise.all([0, 1, 2].map((node) => this.ask(node, id)));
          return told.every((one) => one === what);
        },
        withinMs,
      );
    }
  }

  async status(node: number, id: string): Promise<string> {
    const answer = await this.user(node, 'GET', `/v2/runs/${id}`);
    return answer.status === 200 ? String((answer.body as { status: string }).status) : String(answer.status);
  }

  /** Tasks of the job that are on machines, as the machines know. */
  runningOf(id: string): string[] {
    return [...this.workers.values()].flatMap((w) => w.running.filter((p) => p.startsWith(`${id}/`)));
  }

  /** How many tasks of the job have run to their end, once or more often. */
  completedOf(id: string): number {
    const isOfJob = tasksOf(id);
    const left = this.history.happenings.filter((one) => one.kind === 'left');
    const completed = left.filter((one) => one.completed && isOfJob(one.task));
    return new Set(completed.map((one) => one.task)).size;
  }

  /** Every broken rule so far. */
  violations(): string[] {
    const cancelDeadlineMs = this.times.cancel_s * 1000;
    const startGraceMs = (this.times.lease_s * 1000) / 2;
    const found = check(this.history.happenings, {
      limits,
      cancelDeadlineMs,
      startGraceMs,
      forgottenMs: forgottenCancels * cancelDeadlineMs,
      waitsMs: 2 * cancelDeadlineMs,
      calmAt: this.calmAt,
      endsAt: Date.now(),
    });
    return found.map(({ rule, subject }) => `${rule} ${subject}`);
  }

  stop(): void {
    for (const stop of this.running.values()) stop.abort();
    this.processes.killAll();
    for (const worker of this.workers.values()) worker.end();
    for (const user of this.users) user.close();
    for (const link of this.links.values()) link.close();
    this.store.close();
    this.cloud.close();
  }

  /** Makes the settings those of one controller of this cluster. */
  private adapt(file: Record<string, unknown>, label: string): void {
    applyAddresses(file, labels.indexOf(label), this.addresses);
    const inner = file['settings'] as Record<string, unknown>;
    inner['workers'] = this.times;
    const { nextLimits } = this.options;
    const next = nextLimits ? { next: nextLimits } : {};
    inner['state'] = { rps: 400, write_rps: 200, value_kb: 32, txn_ops: 20, ...next };
    inner['cloud'] = { rps: 50, list_lag_s: 0.1 };
  }

  private get addresses(): Addresses {
    const { port } = this.options;
    return {
      serving: (node) => this.address(node, 0),
      peers: (node) => this.address(node, 1),
      link: (from, to) => `127.0.0.1:${this.linkPort(from, to)}`,
      state: (node) => `127.0.0.1:${port + node}`,
      cloud: `127.0.0.1:${port + 5}`,
    };
  }

  private async try(node: number, method: string, path: string, body?: unknown): Promise<Answer> {
    return this.user(node, method, path, body).catch(() => ({ status: 0, body: undefined }));
  }

  private address(node: number, kind: 0 | 1): string {
    return `127.0.0.1:${this.options.port + 10 + node * 2 + kind}`;
  }

  private linkPort(from: number, to: number): number {
    return this.options.port + 20 + from * 3 + to;
  }

  private connect(from: string, to: string): Promise<void> {
    const [i, j] = [labels.indexOf(from), labels.indexOf(to)];
    const link = new Link(this.options.port + 10 + j * 2 + 1);
    this.links.set(`${from}>${to}`, link);
    return link.listen(this.linkPort(i, j));
  }

  private boot(machine: RentedMachine): void {
    const { taskMs, fetchMs } = this.options;
    const { id, type, zone, spot } = machine;
    const heartbeatIntervalMs = this.times.report_s * 1000;
    const workerLeaseMs = this.times.lease_s * 1000;
    this.history.add({ kind: 'machine', machine: id, type, zone, spot });
    const worker = new WorkerStandIn(machine, {
      heartbeatIntervalMs,
      workerLeaseMs,
      answerMs: workerLeaseMs / 2,
      fetchMs: fetchMs ?? 0,
      saveMs: 0,
      taskMs: typeof taskMs === 'number' ? () => taskMs : taskMs,
      holdsTask: (piece) => this.holdsTask(piece),
      nodes: labels.map((label, i) => ({ label, address: this.address(i, 0) })),
      reaches: (from, label) => {
        const to = zones[labels.indexOf(label)] ?? '';
        return from === to || !(this.cutZones.has(from) || this.cutZones.has(to));
      },
      history: this.history,
      random: this.random,
      onDone: (piece) => this.onDone(piece),
    });
    this.workers.set(id, worker);
    void worker.run();
  }

  private takeAway(id: string): void {
    this.workers.get(id)?.end();
    this.workers.delete(id);
  }
}

export type Submission = Record<string, unknown>;

export function submission(id: string, tasks: number, change: Submission = {}): Submission {
  return {
    id,
    jobclass: 'batch',
    owner: 'red',
    shape: 'sweep',
    urgency: 'standard',
    pieces: tasks,
    cpus: 2.5,
    accelerators: 0,
    memoryGb: 4.5,
    bundle: 'img-1',
    pullGb: 0.5,
    hulls: null,
    berth: null,
    together: false,
    apart: false,
    loaners: false,
    expectS: 1.5,
    savepointS: 0,
    stowS: 0,
    dueS: null,
    ...change,
  };
}

/** The time of tasks that end only because they are stopped. */
export const untilStopped = Infinity;

/** Says of a task whether it belongs to one of the jobs. */
export function tasksOf(...ids: string[]): (task: string) => boolean {
  return (task) => ids.some((id) => task.startsWith(`${id}/`));
}

export const everyTask = (): boolean => true;
export const noTask = (): boolean => false;

export function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

function toldIn(body: unknown): Told {
  return (body as { status: Told }).status;
}

const fields = Object.keys(submission('', 0));

/** What a submission asks for; none where it lacks a field or asks for what no machine has. */
function factsOf(job: Submission): JobFacts | undefined {
  const whole = fields.every((field) => field in job);
  if (!whole || Number(job['cpus']) > machineType.cpus) return undefined;
  return {
    team: String(job['owner']),
    tasks: Number(job['pieces']),
    cpus: Number(job['cpus']),
    types: job['hulls'] as string[] | null,
    zone: job['berth'] as string | null,
    oneZone: job['together'] === true,
    spread: job['apart'] === true,
    spot: job['loaners'] === true,
    dependencies: (job['moorings'] ?? []) as string[],
  };
}
