import { HttpPeer } from '../base/http.js';
import { sleep } from '../base/clock.js';
import { type Fields, isFields, list, number, text } from '../wire/codec.js';
import type { RentedMachine } from './cloud-standin.js';
import type { History } from './history.js';

type Status = 'fetching' | 'running' | 'saving' | 'ended';

interface HeldTask {
  piece: string;
  attempt: number;
  status: Status;
  cause: string;
  /** When its present status ends by itself; what hangs is put off. */
  until: number;
}

export interface WorkerOptions {
  heartbeatIntervalMs: number;
  workerLeaseMs: number;
  /** How long the worker waits for an answer. */
  answerMs: number;
  fetchMs: number;
  taskMs: (piece: string) => number;
  /** Whether the task runs on whatever its time; once it is let go, `taskMs` counts from then. */
  holdsTask: (piece: string) => boolean;
  saveMs: number;
  nodes: { label: string; address: string }[];
  /** Whether the worker and a controller can reach each other. */
  reaches: (zone: string, node: string) => boolean;
  history: History;
  random: () => number;
  /** The task is about to report that it is over. */
  onDone: (piece: string) => void;
}

/** What a worker does by itself it looks at so often in a report interval. */
const ticksPerReport = 20;
const reportsKept = 40;

/** A stand-in for a worker: tokens, sessions, leases and commands as the protocol says. */
export class WorkerStandIn {
  readonly tasks = new Map<string, HeldTask>();
  token = 0;
  session = 1;
  /** Its reports arrive; no answer reaches it. */
  deaf = false;
  /** It reaches no controller. */
  mute = false;
  /** This share of its reports arrives once more, after a time of up to so long. */
  late: { share: number; toMs: number } | undefined;
  private hungSince: number | undefined;
  private seq = 0;
  private node = 0;
  private leaseFrom = Date.now();
  private readonly sent: Fields[] = [];
  private readonly stop = new AbortController();
  private readonly peers: HttpPeer[];
  private readonly ticks: NodeJS.Timeout;

  constructor(
    readonly machine: RentedMachine,
    private readonly options: WorkerOptions,
  ) {
    this.peers = options.nodes.map((node) => new HttpPeer(node.address, 2));
    this.ticks = setInterval(() => this.advance(), this.tickMs);
  }

  private get tickMs(): number {
    return this.options.heartbeatIntervalMs / ticksPerReport;
  }

  get running(): string[] {
    return [...this.tasks.values()].filter(isOn).map((t) => t.piece);
  }

  async run(): Promise<void> {
    const { signal } = this.stop;
    while (!signal.aborted) {
      if (this.hungSince === undefined) await this.reportOnce(signal);
      await sleep(this.options.heartbeatIntervalMs * (0.75 + this.options.random() / 2), signal);
    }
  }

  /** The machine is gone, and everything on it. */
  end(): void {
    if (this.stop.signal.aborted) return;
    this.stop.abort();
    clearInterval(this.ticks);
    this.dropAll();
    for (const peer of this.peers) peer.close();
  }

  /** It executes nothing and says nothing, and goes on as if nothing had been. */
  hang(): void {
    this.hungSince ??= Date.now();
  }

  resume(): void {
    if (this.hungSince === undefined) return;
    const hungMs = Date.now() - this.hungSince;
    this.hungSince = undefined;
    for (const task of this.tasks.values()) task.until += hungMs;
    this.advance();
  }

  /** A copy of a report that it has sent arrives again; `back`: how many reports ago it was sent, or its first. */
  repeat(back: number, node: number): void {
    const body = this.sent.at(-1 - back) ?? this.sent[0];
    if (!body) return;
    const call = this.peers[node]?.exchange('POST', '/hello', body, { timeoutMs: this.options.answerMs });
    call?.catch(() => undefined);
  }

  private advance(): void {
    if (this.hungSince !== undefined || this.stop.signal.aborted) return;
    const now = Date.now();
    if (now - this.leaseFrom > this.options.workerLeaseMs) {
      this.dropAll();
      this.session++;
      this.seq = 0;
      this.leaseFrom = now;
    }
    for (const task of this.tasks.values()) {
      if (task.status === 'running' && this.options.holdsTask(task.piece))
        task.until = now + this.options.taskMs(task.piece);
      if (task.status === 'ended' || task.until > now) continue;
      if (task.status === 'fetching') {
        task.status = 'running';
        task.until = now + this.options.taskMs(task.piece);
        this.options.history.add({ kind: 'started', task: task.piece, machine: this.machine.id });
      } else {
        const done = task.status === 'running';
        this.leave(task, done ? 'done' : 'stopped');
        if (done) this.options.onDone(task.piece);
      }
    }
  }

  private dropAll(): void {
    for (const task of this.tasks.values()) this.leave(task, 'killed');
    this.tasks.clear();
  }

  private leave(task: HeldTask, cause: string): void {
    if (isOn(task)) {
      const [completed, machine] = [cause === 'done', this.machine.id];
      this.options.history.add({ kind: 'left', task: task.piece, machine, completed });
    }
    if (task.status !== 'ended') task.cause = cause;
    task.status = 'ended';
  }

  private async reportOnce(signal: AbortSignal): Promise<void> {
    const { nodes, reaches, answerMs, random } = this.options;
    const sentAt = Date.now();
    const { session } = this;
    const { id, type, zone, spot } = this.machine;
    const node = this.node;
    const next = (node + 1) % this.peers.length;
    if (this.mute || !reaches(zone, nodes[node]?.label ?? '')) {
      this.node = next;
      return;
    }
    const body = {
      host: id,
      endpoint: '127.0.0.1:1',
      hull: type,
      berth: zone,
      loaners: spot,
      recallS: null,
      watch: session,
      tick: ++this.seq,
      helm: this.token,
      pieces: [...this.tasks.values()].map(({ piece, attempt, status, cause }) => ({
        piece,
        try: attempt,
        status,
        ...(status === 'ended' ? { cause } : {}),
      })),
    };
    this.sent.push(body);
    if (this.sent.length > reportsKept) this.sent.shift();
    if (this.late && random() < this.late.share) {
      const at = this.sent.length;
      setTimeout(
        () => this.repeat(Math.max(0, this.sent.length - at), node),
        random() * this.late.toMs,
      ).unref();
    }
    try {
      const answer = await this.peers[node]?.exchange('POST', '/hello', body, {
        timeoutMs: answerMs,
        signal,
      });
      while (this.hungSince !== undefined && !signal.aborted) await sleep(this.tickMs, signal);
      const dropped = this.deaf || !reaches(zone, nodes[node]?.label ?? '') || Date.now() - sentAt > answerMs;
      if (signal.aborted) return;
      if (dropped) throw new Error('no answer in time');
      const fields = isFields(answer?.body) ? answer.body : {};
      if (answer?.status === 200) return this.obey(fields, sentAt, session);
      const named = nodes.findIndex((n) => n.label === text(fields['skipper']));
      this.node = answer?.status === 421 && named >= 0 && named !== node ? named : next;
    } catch {
      this.node = next;
    }
  }

  private obey(answer: Fields, sentAt: number, session: number): void {
    const token = number(answer['helm']);
    // A worker that hung past its lease has killed its tasks before it reads anything.
    this.advance();
    if (token < this.token || session !== this.session) return;
    this.token = token;
    this.leaseFrom = sentAt;
    for (const order of list(answer['orders']).filter(isFields)) this.execute(order);
  }

  private execute(order: Fields): void {
    const { fetchMs, saveMs } = this.options;
    const piece = text(order['piece']);
    const attempt = number(order['try']);
    const held = this.tasks.get(piece);
    if (order['verb'] === 'run') {
      // Another attempt that has ended is still on the list until it is reaped.
      if (held && (held.status !== 'ended' || held.attempt === attempt)) return;
      const until = Date.now() + fetchMs;
      this.tasks.set(piece, { piece, attempt, status: 'fetching', cause: '', until });
    } else if (held?.attempt !== attempt) return;
    else if (order['verb'] === 'reap') {
      if (held.status === 'ended') this.tasks.delete(piece);
    } else if (order['verb'] === 'halt' && held.status !== 'ended') {
      const saves = held.status === 'running' && saveMs > 0 && number(order['leewayS']) * 1000 >= saveMs;
      if (!saves && !(held.status === 'saving' && number(order['leewayS']) > 0))
        return this.leave(held, 'stopped');
      if (held.status === 'running') Object.assign(held, { status: 'saving', until: Date.now() + saveMs });
    }
  }
}

function isOn(task: HeldTask): boolean {
  return task.status === 'running' || task.status === 'saving';
}
