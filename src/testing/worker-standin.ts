import { HttpPeer } from '../base/http.js';
import { sleep } from '../base/clock.js';
import { type Fields, isFields, list, number, text } from '../wire/codec.js';
import type { RentedMachine } from './cloud-standin.js';

interface HeldTask {
  piece: string;
  attempt: number;
  endsAt: number;
  ended: string | undefined;
}

export interface WorkerOptions {
  reportMs: number;
  leaseMs: number;
  taskMs: number;
  nodes: { label: string; address: string }[];
  /** Told of every start, for the test's own book of what runs where. */
  onStart: (piece: string, machine: string) => void;
}

/** A stand-in for a worker: tokens, sessions, leases and commands as the protocol says. */
export class WorkerStandIn {
  readonly tasks = new Map<string, HeldTask>();
  token = 0;
  session = 1;
  private seq = 0;
  private node = 0;
  private leaseFrom = Date.now();
  private readonly stop = new AbortController();
  private readonly peers: HttpPeer[];

  constructor(
    readonly machine: RentedMachine,
    private readonly options: WorkerOptions,
  ) {
    this.peers = options.nodes.map((node) => new HttpPeer(node.address, 1));
  }

  get running(): string[] {
    return [...this.tasks.values()].filter((t) => !t.ended).map((t) => t.piece);
  }

  async run(): Promise<void> {
    const { signal } = this.stop;
    while (!signal.aborted) {
      this.advance();
      await this.reportOnce(signal);
      await sleep(this.options.reportMs, signal);
    }
  }

  end(): void {
    this.stop.abort();
    for (const peer of this.peers) peer.close();
  }

  private advance(): void {
    if (Date.now() - this.leaseFrom > this.options.leaseMs) {
      this.tasks.clear();
      this.session++;
      this.leaseFrom = Date.now();
    }
    for (const task of this.tasks.values()) if (!task.ended && task.endsAt <= Date.now()) task.ended = 'done';
  }

  private async reportOnce(signal: AbortSignal): Promise<void> {
    const sentAt = Date.now();
    const session = this.session;
    const { id, type, zone, spot } = this.machine;
    const body = {
      ...{ host: id, endpoint: '127.0.0.1:1', hull: type, berth: zone, loaners: spot, recallS: null },
      ...{ watch: session, tick: ++this.seq, helm: this.token },
      pieces: [...this.tasks.values()].map((t) => ({
        piece: t.piece,
        try: t.attempt,
        status: t.ended ? 'ended' : 'running',
        cause: t.ended ?? null,
      })),
    };
    try {
      const answer = await this.peers[this.node]?.exchange('POST', '/hello', body, {
        timeoutMs: 1000,
        signal,
      });
      const fields = isFields(answer?.body) ? answer.body : {};
      if (answer?.status === 200) return this.obey(fields, sentAt, session);
      const named = this.options.nodes.findIndex((node) => node.label === text(fields['skipper']));
      this.node = answer?.status === 421 && named >= 0 ? named : (this.node + 1) % this.peers.length;
    } catch {
      this.node = (this.node + 1) % this.peers.length;
    }
  }

  private obey(answer: Fields, sentAt: number, session: number): void {
    const token = number(answer['helm']);
    if (token < this.token || session !== this.session) return;
    this.token = token;
    this.leaseFrom = sentAt;
    for (const order of list(answer['orders']).filter(isFields)) {
      const piece = text(order['piece']);
      const attempt = number(order['try']);
      const held = this.tasks.get(piece);
      if (order['verb'] === 'run' && !held) {
        this.tasks.set(piece, { piece, attempt, endsAt: Date.now() + this.options.taskMs, ended: undefined });
        this.options.onStart(piece, this.machine.id);
      } else if (order['verb'] === 'halt' && held?.attempt === attempt) held.ended ??= 'stopped';
      else if (order['verb'] === 'reap' && held?.attempt === attempt && held.ended) this.tasks.delete(piece);
    }
  }
}
