/** Simulates a worker for tests: sends heartbeats to the controllers and executes their commands. */
import { testClient } from './test-client.js';
import { type HttpClient } from '../base/http.js';
import { sleep } from '../base/clock.js';
import { type Fields, isFieldMap, asList, asNumber, asText } from '../wire/codec.js';
import type { RentedMachine } from './cloud-standin.js';
import type { History } from './history.js';

type Status = 'fetching' | 'running' | 'saving' | 'ended';

/** A task on the worker. `cause` is the reason why the task ended, or empty. */
interface HostedTask {
  piece: string;
  attempt: number;
  status: Status;
  cause: string;
  /**
   * Wall-clock time in ms since the epoch at which the current status ends by itself. A pause of the worker
   * postpones this time.
   */
  statusEndsAt: number;
}

export interface WorkerOptions {
  heartbeatIntervalMs: number;
  workerLeaseMs: number;
  /** Time in ms for which the worker waits for the answer to a heartbeat. */
  answerTimeoutMs: number;
  fetchMs: number;
  taskMs: (piece: string) => number;
  /**
   * Returns true while the task keeps running regardless of its run time. After the release of the task, its
   * run time counts from the release.
   */
  shouldHoldTask: (piece: string) => boolean;
  saveMs: number;
  nodes: { label: string; address: string }[];
  /** Returns true if a worker in this zone and this controller can reach each other. */
  reaches: (zone: string, node: string) => boolean;
  history: History;
  random: () => number;
  /** Called when a task completes, before the worker reports the completion. */
  onTaskCompleted: (piece: string) => void;
  /** Called after the worker has executed the commands of the first answer with a higher fencing token. */
  onNewFencingToken: (machine: string) => void;
}

/** Number of checks for task and lease time-outs in each heartbeat interval. */
const ticksPerHeartbeat = 20;
const maxKeptHeartbeats = 40;

/** A stand-in for a worker. It follows the protocol for fencing tokens, agent epochs, leases and commands. */
export class WorkerStandIn {
  readonly tasks = new Map<string, HostedTask>();
  /** Largest fencing token received so far. */
  fencingToken = 0;
  /** Agent epoch: incremented after the worker has killed its tasks because its lease expired. */
  agentEpoch = 1;
  /** One-way partition: heartbeats of the worker reach the controllers, but no answer reaches the worker. */
  receivesNoResponses = false;
  /** If true, the worker reaches no controller. */
  isPartitioned = false;
  /** This share of the heartbeats is sent a second time, up to `toMs` milliseconds later. */
  duplicateHeartbeats: { share: number; toMs: number } | undefined;
  private pausedSince: number | undefined;
  private sequence = 0;
  private contactedNode = 0;
  private leaseStartedAt = Date.now();
  private readonly sentHeartbeats: Fields[] = [];
  private readonly stop = new AbortController();
  private readonly controllerClients: HttpClient[];
  private readonly tickTimer: NodeJS.Timeout;

  constructor(
    readonly machine: RentedMachine,
    private readonly options: WorkerOptions,
  ) {
    this.controllerClients = options.nodes.map((node) => testClient(node.address, 2));
    this.tickTimer = setInterval(() => this.advance(), this.tickMs);
  }

  private get tickMs(): number {
    return this.options.heartbeatIntervalMs / ticksPerHeartbeat;
  }

  get running(): string[] {
    return [...this.tasks.values()].filter(isExecuting).map((t) => t.piece);
  }

  async run(): Promise<void> {
    const { signal } = this.stop;
    while (!signal.aborted) {
      if (this.pausedSince === undefined) await this.sendHeartbeat(signal);
      await sleep(this.options.heartbeatIntervalMs * (0.75 + this.options.random() / 2), signal);
    }
  }

  /** Ends the worker as if its machine were terminated: all tasks end. */
  end(): void {
    if (this.stop.signal.aborted) return;
    this.stop.abort();
    clearInterval(this.tickTimer);
    this.killAllTasks();
    for (const client of this.controllerClients) client.close();
  }

  /**
   * Pauses the worker: it makes no progress and sends no heartbeats. After `resume`, each task continues with
   * the run time that it had left. The lease of the worker continues to run during the pause.
   */
  pause(): void {
    this.pausedSince ??= Date.now();
  }

  resume(): void {
    if (this.pausedSince === undefined) return;
    const pausedMs = Date.now() - this.pausedSince;
    this.pausedSince = undefined;
    for (const task of this.tasks.values()) task.statusEndsAt += pausedMs;
    this.advance();
  }

  /**
   * Sends a duplicate of an earlier heartbeat.
   *
   * @param heartbeatsAgo 0 for the latest heartbeat, 1 for the previous one; if too few are kept, the oldest
   * one is sent
   * @param node index of the controller that receives the duplicate
   */
  sendDuplicate(heartbeatsAgo: number, node: number): void {
    const body = this.sentHeartbeats.at(-1 - heartbeatsAgo) ?? this.sentHeartbeats[0];
    if (!body) return;
    const call = this.controllerClients[node]?.exchange('POST', '/hello', body, {
      timeoutMs: this.options.answerTimeoutMs,
    });
    call?.catch(() => undefined);
  }

  private advance(): void {
    if (this.pausedSince !== undefined || this.stop.signal.aborted) return;
    const now = Date.now();
    if (now - this.leaseStartedAt > this.options.workerLeaseMs) {
      this.killAllTasks();
      this.agentEpoch++;
      this.sequence = 0;
      this.leaseStartedAt = now;
    }
    for (const task of this.tasks.values()) {
      if (task.status === 'running' && this.options.shouldHoldTask(task.piece))
        task.statusEndsAt = now + this.options.taskMs(task.piece);
      if (task.status === 'ended' || task.statusEndsAt > now) continue;
      if (task.status === 'fetching') {
        task.status = 'running';
        task.statusEndsAt = now + this.options.taskMs(task.piece);
        this.options.history.add({ kind: 'started', task: task.piece, machine: this.machine.id });
      } else {
        const done = task.status === 'running';
        this.endTask(task, done ? 'done' : 'stopped');
        if (done) this.options.onTaskCompleted(task.piece);
      }
    }
  }

  private killAllTasks(): void {
    for (const task of this.tasks.values()) this.endTask(task, 'killed');
    this.tasks.clear();
  }

  private endTask(task: HostedTask, cause: string): void {
    if (isExecuting(task)) {
      const [completed, machine] = [cause === 'done', this.machine.id];
      this.options.history.add({ kind: 'left', task: task.piece, machine, completed });
    }
    if (task.status !== 'ended') task.cause = cause;
    task.status = 'ended';
  }

  private async sendHeartbeat(signal: AbortSignal): Promise<void> {
    const { nodes, reaches, answerTimeoutMs, random } = this.options;
    const sentAt = Date.now();
    const { agentEpoch } = this;
    const { id, type, zone, spot } = this.machine;
    const node = this.contactedNode;
    const nextNode = (node + 1) % this.controllerClients.length;
    if (this.isPartitioned || !reaches(zone, nodes[node]?.label ?? '')) {
      this.contactedNode = nextNode;
      return;
    }
    const body = {
      host: id,
      endpoint: '127.0.0.1:1',
      hull: type,
      berth: zone,
      loaners: spot,
      recallS: null,
      watch: agentEpoch,
      tick: ++this.sequence,
      helm: this.fencingToken,
      pieces: [...this.tasks.values()].map(({ piece, attempt, status, cause }) => ({
        piece,
        try: attempt,
        status,
        ...(status === 'ended' ? { cause } : {}),
      })),
    };
    this.sentHeartbeats.push(body);
    if (this.sentHeartbeats.length > maxKeptHeartbeats) this.sentHeartbeats.shift();
    if (this.duplicateHeartbeats && random() < this.duplicateHeartbeats.share) {
      const sentCount = this.sentHeartbeats.length;
      setTimeout(
        () => this.sendDuplicate(Math.max(0, this.sentHeartbeats.length - sentCount), node),
        random() * this.duplicateHeartbeats.toMs,
      ).unref();
    }
    try {
      const answer = await this.controllerClients[node]?.exchange('POST', '/hello', body, {
        timeoutMs: answerTimeoutMs,
        signal,
      });
      while (this.pausedSince !== undefined && !signal.aborted) await sleep(this.tickMs, signal);
      const isAnswerLost =
        this.receivesNoResponses ||
        !reaches(zone, nodes[node]?.label ?? '') ||
        Date.now() - sentAt > answerTimeoutMs;
      if (signal.aborted) return;
      if (isAnswerLost) throw new Error('heartbeat not answered in time');
      const fields = isFieldMap(answer?.body) ? answer.body : {};
      if (answer?.status === 200) return this.applyAnswer(fields, sentAt, agentEpoch);
      const ownerNode = nodes.findIndex((n) => n.label === asText(fields['skipper']));
      this.contactedNode =
        answer?.status === 421 && ownerNode >= 0 && ownerNode !== node ? ownerNode : nextNode;
    } catch {
      this.contactedNode = nextNode;
    }
  }

  private applyAnswer(answer: Fields, sentAt: number, agentEpoch: number): void {
    const fencingToken = asNumber(answer['helm']);
    // A worker that was paused for longer than its lease kills its tasks before it processes the answer.
    this.advance();
    if (fencingToken < this.fencingToken || agentEpoch !== this.agentEpoch) return;
    const isNewToken = fencingToken > this.fencingToken;
    this.fencingToken = fencingToken;
    this.leaseStartedAt = sentAt;
    for (const command of asList(answer['orders']).filter(isFieldMap)) this.execute(command);
    if (isNewToken) this.options.onNewFencingToken(this.machine.id);
  }

  private execute(command: Fields): void {
    const { fetchMs, saveMs } = this.options;
    const piece = asText(command['piece']);
    const attempt = asNumber(command['try']);
    const task = this.tasks.get(piece);
    if (command['verb'] === 'run') {
      // An earlier attempt that has ended stays in the task list until a `reap` command or a new attempt.
      if (task && (task.status !== 'ended' || task.attempt === attempt)) return;
      const statusEndsAt = Date.now() + fetchMs;
      this.tasks.set(piece, { piece, attempt, status: 'fetching', cause: '', statusEndsAt });
    } else if (task?.attempt !== attempt) return;
    else if (command['verb'] === 'reap') {
      if (task.status === 'ended') this.tasks.delete(piece);
    } else if (command['verb'] === 'halt' && task.status !== 'ended') {
      const startsSaving =
        task.status === 'running' && saveMs > 0 && asNumber(command['leewayS']) * 1000 >= saveMs;
      if (!startsSaving && !(task.status === 'saving' && asNumber(command['leewayS']) > 0))
        return this.endTask(task, 'stopped');
      if (task.status === 'running')
        Object.assign(task, { status: 'saving', statusEndsAt: Date.now() + saveMs });
    }
  }
}

function isExecuting(task: HostedTask): boolean {
  return task.status === 'running' || task.status === 'saving';
}
