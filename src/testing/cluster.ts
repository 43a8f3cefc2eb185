/** Runs three controllers against stand-ins for the state service, the cloud, the workers and the users. */
import { fileURLToPath } from 'node:url';
import { testClient } from './test-client.js';
import { type HttpClient, type HttpResponse } from '../base/http.js';
import { createLog } from '../base/log.js';
import { Controller } from '../controller/controller.js';
import { defaultOperatorSettings } from '../settings/operator.js';
import type { Settings } from '../settings/settings.js';
import { type BlockRecord, machinePages, parseBlock } from '../wire/block-records.js';
import { blockKey, machinesPrefix } from '../wire/keys.js';
import { check } from './checker.js';
import { CloudStandIn, type RentedMachine } from './cloud-standin.js';
import { ControllerProcesses } from './controller-processes.js';
import { History, type UserAnswer } from './history.js';
import { Link } from './link.js';
import { seeded } from './seeded.js';
import { settingsJson, testSettings } from './settings.js';
import { StoreStandIn } from './store-standin.js';
import { requestOf, type Submission } from './submission.js';
import { type Addresses, applyAddresses, labels, zones } from './three-controllers.js';
import { WorkerStandIn } from './worker-standin.js';

export { labels };

/**
 * Worker times in seconds, under the names of the settings file: heartbeat interval, worker lease and cancel
 * deadline.
 */
export interface WorkerTimes {
  report_s: number;
  lease_s: number;
  cancel_s: number;
}

/** Worker times of a real deployment, scaled down. Most waits in the tests are multiples of these times. */
const defaultTimes: WorkerTimes = { report_s: 0.2, lease_s: 2, cancel_s: 5 };
export const heartbeatIntervalMs = defaultTimes.report_s * 1000;
export const workerLeaseMs = defaultTimes.lease_s * 1000;
export const cancelDeadlineMs = defaultTimes.cancel_s * 1000;
/** Maximum time for which queries for a job may stay unanswered, as a multiple of the cancel deadline. */
const unansweredCancelDeadlines = 1.5;
/** Time in ms for which a user waits for an answer. */
const userTimeoutMs = 5000;
/**
 * CPU limits of the teams. The limit of `red` is below the number of CPUs of all machines, so that the limit
 * takes effect.
 */
const teamCpuLimits = new Map([['red', 32]]);

export interface ClusterOptions {
  /**
   * First port of the range that this cluster uses. Test files run in parallel, so the ranges must not
   * overlap.
   */
  port: number;
  /** Run time of every task in ms, or a function that returns the run time of a task (`<job>/<index>`). */
  taskMs: number | ((piece: string) => number);
  fetchMs?: number;
  /**
   * Replaces the default times. Used for fleets so large that their heartbeats alone would keep this process
   * busy at the default times.
   */
  times?: WorkerTimes;
  seed?: number;
  /** Maximum number of rented machines of each kind (spot and ordinary) in each zone. */
  capacity?: number;
  /** Labels of the controllers that run in a separate process, so that a test can pause and continue them. */
  processes?: string[];
  /**
   * Path of an earlier version of the program, and labels of the controllers that start with this version,
   * each in its own process.
   */
  earlierVersion?: { program: string; labels: string[] };
  /**
   * Upcoming limits of the state service that the settings announce, under the names of the settings file.
   */
  nextLimits?: Record<string, number>;
}

const mainModule = fileURLToPath(new URL('../main.js', import.meta.url));

/**
 * A cluster of three controllers, by default all in this process. The state service, the cloud, the workers
 * and the users are stand-ins.
 */
export class Cluster {
  readonly store: StoreStandIn;
  readonly cloud = new CloudStandIn();
  readonly workers = new Map<string, WorkerStandIn>();
  readonly history = new History();
  /**
   * Partitioned zones. A worker and a controller in different zones cannot reach each other, in either
   * direction, if one of these zones is partitioned.
   */
  readonly partitionedZones = new Set<string>();
  /** Called when a task completes, before any controller receives a heartbeat that reports the completion. */
  onTaskCompleted: (piece: string) => void = () => undefined;
  /** Called after a worker has executed the commands of the first answer with a higher fencing token. */
  onNewFencingToken: (machine: string) => void = () => undefined;
  /**
   * Returns true while the test holds a task. A held task keeps running, so that it cannot end before the
   * test checks for it. The run time of the task counts from its release.
   */
  shouldHoldTask: (task: string) => boolean = noTask;
  /**
   * Number of consecutive tasks of a job that are recorded in one ledger entry, by block. The owner of a
   * block determines this number when it starts the block, and keeps it until it stops the block. The value
   * is from the latest start of the block by a controller in this process.
   */
  readonly chunkTasks = new Map<number, number>();
  private faultsEndedAt = Date.now();
  private readonly controllerStops = new Map<string, AbortController>();
  readonly processes = new ControllerProcesses();
  private readonly userClients: HttpClient[];
  private readonly links = new Map<string, Link>();
  private readonly random: () => number;
  private readonly times: WorkerTimes;

  constructor(private readonly options: ClusterOptions) {
    this.times = options.times ?? defaultTimes;
    this.random = seeded(options.seed ?? 1);
    this.store = new StoreStandIn({ rps: 400, writeRps: 200, txnOps: 20 }, options.seed);
    this.userClients = labels.map((_, i) => testClient(this.address(i, 0), 16));
    this.cloud.capacity = options.capacity ?? this.cloud.capacity;
    this.cloud.onRent = (machine) => this.startWorker(machine);
    this.cloud.onRelease = (id) => this.endWorker(id);
  }

  /**
   * Starts all parts of the cluster and waits until every controller serves users and one controller leads.
   */
  async start(): Promise<void> {
    const { port } = this.options;
    await Promise.all([
      ...labels.map((label, i) => this.store.listen(port + i, label)),
      this.cloud.listen(port + 5),
      ...labels.flatMap((from, i) => labels.flatMap((to, j) => (i === j ? [] : [this.connect(from, to)]))),
    ]);
    for (const label of labels) {
      if (this.options.earlierVersion?.labels.includes(label))
        this.startProcess(label, this.options.earlierVersion.program);
      else if (this.options.processes?.includes(label)) this.startProcess(label);
      else this.startController(label);
    }
    await this.waitUntil('all controllers answer GET /up with 200', async () => {
      const answers = await Promise.all([0, 1, 2].map((node) => this.request(node, 'GET', '/up')));
      return answers.every((answer) => answer.status === 200);
    });
    await this.waitForLeader();
  }

  startController(label: string): void {
    const stop = new AbortController();
    this.controllerStops.set(label, stop);
    // LOG_LEVEL sets the log level, as it does for the deployed service. The log is printed only if LOG_LEVEL
    // is set.
    const level = process.env['LOG_LEVEL'];
    const log = createLog(label, level, { write: (line) => this.handleLogLine(line, level !== undefined) });
    void new Controller(this.settings(label), defaultOperatorSettings, log, stop.signal).run();
  }

  /** Returns the settings of one controller of this cluster. */
  settings(label: string): Settings {
    return testSettings((file) => this.applyClusterSettings(file, label));
  }

  /**
   * Prints a log line if `isPrinted` is true, and reads the number of tasks in a ledger entry from the line,
   * because the controllers expose this number nowhere else.
   */
  private handleLogLine(line: string, isPrinted: boolean): void {
    if (isPrinted) process.stderr.write(line);
    if (!line.includes('"lease-started"')) return;
    const { block, chunkTasks } = JSON.parse(line) as { block: number; chunkTasks: number };
    this.chunkTasks.set(block, chunkTasks);
  }

  /**
   * Starts a controller in a process of its own. By default, the process runs the same program as in
   * production, but not bundled.
   */
  startProcess(label: string, program = mainModule): void {
    this.processes.start(
      label,
      program,
      settingsJson((file) => this.applyClusterSettings(file, label)),
    );
  }

  /**
   * Ends the controller, which may run in this process or in its own, and restarts it in this process with
   * the current version.
   */
  async upgrade(label: string, afterMs = 300): Promise<void> {
    this.processes.kill(label);
    this.stopController(label);
    await pause(afterMs);
    this.startController(label);
  }

  /**
   * Ends the controller, which may run in this process or in its own, and restarts it in its own process with
   * the earlier version.
   *
   * @throws Error if the options name no earlier version
   */
  async downgrade(label: string, afterMs = 300): Promise<void> {
    const { earlierVersion } = this.options;
    if (!earlierVersion) throw new Error('the cluster options name no earlier version');
    this.processes.kill(label);
    this.stopController(label);
    await pause(afterMs);
    this.startProcess(label, earlierVersion.program);
  }

  /** Applies the announced limits to the state service. */
  applyAnnouncedLimits(): void {
    const { value_kb, txn_ops, write_rps } = this.options.nextLimits ?? {};
    this.store.changeLimits({
      ...(value_kb === undefined ? {} : { valueBytes: value_kb * 1024 }),
      ...(txn_ops === undefined ? {} : { txnOps: txn_ops }),
      ...(write_rps === undefined ? {} : { writeRps: write_rps }),
    });
  }

  /** Stops a controller without notice: it sends no further messages, and its connections are closed. */
  stopController(label: string): void {
    this.controllerStops.get(label)?.abort();
    this.controllerStops.delete(label);
  }

  /**
   * Stops a controller and restarts it so soon that the state service still holds the records of its previous
   * incarnation.
   */
  async restart(label: string, afterMs = 100): Promise<void> {
    this.stopController(label);
    await pause(afterMs);
    this.startController(label);
  }

  /** Waits until a controller other than `excluded` leads, and returns its label. */
  async waitForLeader(excluded = ''): Promise<string> {
    let label = '';
    await this.waitUntil('a controller leads', () => {
      label = (this.store.value('lead') as { label?: string } | undefined)?.label ?? '';
      return label !== '' && label !== excluded;
    });
    return label;
  }

  /**
   * Returns the version of the leader's key, which is different for every term, or 0 if no controller leads.
   */
  leaderToken(): number {
    return this.store.version('lead');
  }

  /**
   * Returns the record of a block in the state service, including the machines, which are stored in separate
   * pages.
   *
   * @throws Error if the state service holds no record of the block
   */
  block(block: number): BlockRecord {
    const { store } = this;
    const pages = machinePages(block, store.entriesBelow(machinesPrefix(block)));
    const record = parseBlock(store.value(blockKey(block)), store.version(blockKey(block)), pages);
    if (!record) throw new Error(`the state service holds no record of block ${block}`);
    return record;
  }

  /** Returns the owners of all blocks, in the order of the blocks. */
  owners(): string[] {
    return labels.map((_, block) => this.block(block).owner);
  }

  /**
   * Returns the controller that owns the block of a machine, or an empty string if no block contains the
   * machine.
   */
  ownerOf(machine: string): string {
    const blocks = labels.map((_, block) => this.block(block));
    return blocks.find(({ machines }) => machines.some(({ id }) => id === machine))?.owner ?? '';
  }

  /**
   * Returns the link over which the controller `from` sends its status to its peer `to`.
   *
   * @throws Error if there is no such link
   */
  link(from: string, to: string): Link {
    const link = this.links.get(`${from}>${to}`);
    if (!link) throw new Error(`no link from ${from} to ${to}`);
    return link;
  }

  /** Returns the links between a controller and all its peers, in both directions. */
  peerLinksOf(label: string): Link[] {
    return [...this.links].filter(([key]) => key.split('>').includes(label)).map(([, link]) => link);
  }

  /** Sends a user's request to one controller. */
  request(node: number, method: string, path: string, body?: unknown): Promise<HttpResponse> {
    const client = this.userClients[node];
    if (!client) throw new Error(`no controller with index ${node}`);
    return client.exchange(method, path, body, { timeoutMs: userTimeoutMs });
  }

  /**
   * Submits a job to one controller without retries. Returns the HTTP status, or 0 if there was no answer.
   */
  async submit(node: number, job: Submission): Promise<number> {
    const { id } = job;
    this.history.add({ kind: 'submitted', id: String(id), job: requestOf(job) });
    const sentAt = this.history.now();
    const { status, body } = await this.exchange(node, 'POST', '/v2/runs', job);
    const accepted = status === 200 || status === 201;
    const answer = accepted ? statusIn(body) : status === 400 || status === 422 ? 'refused' : 'turned away';
    this.history.add({ kind: 'told', id: String(id), requestKind: 'submission', answer, sentAt });
    return status;
  }

  async queryStatus(node: number, id: string): Promise<UserAnswer> {
    const sentAt = this.history.now();
    const { status, body } = await this.exchange(node, 'GET', `/v2/runs/${id}`);
    const answer = status === 200 ? statusIn(body) : status === 404 ? 'unknown' : 'turned away';
    this.history.add({ kind: 'told', id, requestKind: 'question', answer, sentAt });
    return answer;
  }

  async cancel(node: number, id: string): Promise<UserAnswer> {
    this.history.add({ kind: 'asked to cancel', id });
    const sentAt = this.history.now();
    const { status, body } = await this.exchange(node, 'POST', `/v2/runs/${id}/cancel`, {});
    const answer = status === 200 ? statusIn(body) : status === 404 ? 'unknown' : 'turned away';
    this.history.add({ kind: 'told', id, requestKind: 'cancel', answer, sentAt });
    return answer;
  }

  /** Submits a job to the controllers in turn, as users do, until one of them accepts the job. */
  async submitUntilAccepted(job: Submission, from = 0): Promise<void> {
    let node = from;
    await this.waitUntil(`job ${String(job.id)} is accepted`, async () => {
      const status = await this.submit(node++ % 3, job);
      return status === 200 || status === 201;
    });
  }

  async cancelUntilEnded(id: string, nodes: number[] = [0, 1, 2]): Promise<UserAnswer> {
    let answer: UserAnswer = 'turned away';
    let attempt = 0;
    await this.waitUntil(`job ${id} is cancelled or done`, async () => {
      answer = await this.cancel(nodes[attempt++ % nodes.length] ?? 0, id);
      return answer === 'cancelled' || answer === 'done';
    });
    return answer;
  }

  /**
   * Evaluates the condition every 50 ms until it holds, as a user polls for the status of a job. A rejected
   * promise counts as a condition that does not hold.
   *
   * @throws Error if the condition does not hold within the time
   */
  async waitUntil(
    description: string,
    condition: () => Promise<boolean> | boolean,
    withinMs = 15_000,
  ): Promise<void> {
    const deadline = Date.now() + withinMs;
    for (;;) {
      if (await Promise.resolve(condition()).catch(() => false)) return;
      if (Date.now() > deadline) throw new Error(`timed out after ${withinMs} ms: ${description}`);
      await pause(50);
    }
  }

  /**
   * Records the current time as the end of all faults, and waits until every controller reports each of the
   * jobs as done.
   */
  async waitUntilAllDone(ids: string[], withinMs = 25_000): Promise<void> {
    this.faultsEndedAt = Date.now();
    await this.waitForStatusEverywhere(ids, 'done', withinMs);
  }

  /** Waits until every controller gives the expected answer for each of the jobs. */
  async waitForStatusEverywhere(ids: string[], expected: UserAnswer, withinMs: number): Promise<void> {
    for (const id of ids) {
      await this.waitUntil(
        `job ${id} is ${expected} at all controllers`,
        async () => {
          const answers = await Promise.all([0, 1, 2].map((node) => this.queryStatus(node, id)));
          return answers.every((answer) => answer === expected);
        },
        withinMs,
      );
    }
  }

  /**
   * Queries the status of a job without an entry in the history. Returns the HTTP status instead if it is not
   * 200.
   */
  async status(node: number, id: string): Promise<string> {
    const answer = await this.request(node, 'GET', `/v2/runs/${id}`);
    return answer.status === 200 ? String((answer.body as { status: string }).status) : String(answer.status);
  }

  /** Returns the tasks of the job that the workers are executing, according to the workers themselves. */
  runningOf(id: string): string[] {
    return [...this.workers.values()].flatMap((w) => w.running.filter((p) => p.startsWith(`${id}/`)));
  }

  /**
   * Returns the number of tasks of the job that have completed. A task that completed more than once counts
   * once.
   */
  completedOf(id: string): number {
    const isOfJob = tasksOf(id);
    const exits = this.history.events.filter((event) => event.kind === 'left');
    const completed = exits.filter((exit) => exit.completed && isOfJob(exit.task));
    return new Set(completed.map((exit) => exit.task)).size;
  }

  /**
   * Returns all violations of the protocol so far, each as the name of the rule and the job or task that
   * violates it.
   */
  violations(): string[] {
    const cancelDeadlineMs = this.times.cancel_s * 1000;
    const startGraceMs = (this.times.lease_s * 1000) / 2;
    const violations = check(this.history.events, {
      teamCpuLimits,
      cancelDeadlineMs,
      startGraceMs,
      maxUnansweredMs: unansweredCancelDeadlines * cancelDeadlineMs,
      maxWaitMs: 2 * cancelDeadlineMs,
      faultsEndedAt: this.faultsEndedAt,
      historyEndsAt: Date.now(),
    });
    return violations.map(({ rule, subject }) => `${rule} ${subject}`);
  }

  stop(): void {
    for (const stop of this.controllerStops.values()) stop.abort();
    this.processes.killAll();
    for (const worker of this.workers.values()) worker.end();
    for (const client of this.userClients) client.close();
    for (const link of this.links.values()) link.close();
    this.store.close();
    this.cloud.close();
  }

  /**
   * Adapts the parsed content of a settings file in place: sets the addresses of the controller `label`, and
   * the worker times and the limits of the state service and the cloud that this cluster uses.
   */
  private applyClusterSettings(file: Record<string, unknown>, label: string): void {
    applyAddresses(file, labels.indexOf(label), this.addresses);
    const deploymentSettings = file['settings'] as Record<string, unknown>;
    deploymentSettings['workers'] = this.times;
    const { nextLimits } = this.options;
    const announced = nextLimits ? { next: nextLimits } : {};
    deploymentSettings['state'] = { rps: 400, write_rps: 200, value_kb: 32, txn_ops: 20, ...announced };
    deploymentSettings['cloud'] = { rps: 50, list_lag_s: 0.1 };
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

  private async exchange(node: number, method: string, path: string, body?: unknown): Promise<HttpResponse> {
    return this.request(node, method, path, body).catch(() => ({ status: 0, body: undefined }));
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

  private startWorker(machine: RentedMachine): void {
    const { taskMs, fetchMs } = this.options;
    const { id, type, zone, spot } = machine;
    const heartbeatIntervalMs = this.times.report_s * 1000;
    const workerLeaseMs = this.times.lease_s * 1000;
    this.history.add({ kind: 'machine', machine: id, type, zone, spot });
    const worker = new WorkerStandIn(machine, {
      heartbeatIntervalMs,
      workerLeaseMs,
      answerTimeoutMs: workerLeaseMs / 2,
      fetchMs: fetchMs ?? 0,
      saveMs: 0,
      taskMs: typeof taskMs === 'number' ? () => taskMs : taskMs,
      shouldHoldTask: (piece) => this.shouldHoldTask(piece),
      nodes: labels.map((label, i) => ({ label, address: this.address(i, 0) })),
      reaches: (from, label) => {
        const to = zones[labels.indexOf(label)] ?? '';
        return from === to || !(this.partitionedZones.has(from) || this.partitionedZones.has(to));
      },
      history: this.history,
      random: this.random,
      onTaskCompleted: (piece) => this.onTaskCompleted(piece),
      onNewFencingToken: (machine) => this.onNewFencingToken(machine),
    });
    this.workers.set(id, worker);
    void worker.run();
  }

  private endWorker(id: string): void {
    this.workers.get(id)?.end();
    this.workers.delete(id);
  }
}

/** Run time of tasks that run until they are stopped. */
export const untilStopped = Infinity;

/** Returns a predicate that is true for the tasks of these jobs. */
export function tasksOf(...ids: string[]): (task: string) => boolean {
  return (task) => ids.some((id) => task.startsWith(`${id}/`));
}

export const everyTask = (): boolean => true;
export const noTask = (): boolean => false;

export function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

function statusIn(body: unknown): UserAnswer {
  return (body as { status: UserAnswer }).status;
}
