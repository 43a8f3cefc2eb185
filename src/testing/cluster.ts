import { HttpPeer, type Answer } from '../base/http.js';
import { silentLog } from '../base/log.js';
import { Controller } from '../controller.js';
import { defaultOperatorSettings } from '../settings/operator.js';
import { CloudStandIn, type RentedMachine } from './cloud-standin.js';
import { testSettings } from './settings.js';
import { StoreStandIn } from './store-standin.js';
import { WorkerStandIn } from './worker-standin.js';

const labels = ['keel-0', 'keel-1', 'keel-2'];
const times = { report_s: 0.2, lease_s: 2, cancel_s: 5 };

export interface ClusterOptions {
  /** The first of a range of ports of its own: test files run side by side. */
  port: number;
  taskMs: number;
}

/** Three controllers in this process, with stand-ins for all that is outside. */
export class Cluster {
  readonly store = new StoreStandIn({ rps: 400, writeRps: 200, txnOps: 20 });
  readonly cloud = new CloudStandIn();
  readonly workers = new Map<string, WorkerStandIn>();
  /** Every broken rule that the book of starts shows. */
  readonly violations: string[] = [];
  private readonly running = new Map<string, AbortController>();
  private readonly users: HttpPeer[];

  constructor(private readonly options: ClusterOptions) {
    this.users = labels.map((_, i) => new HttpPeer(this.address(i, 0), 4));
    this.cloud.onRent = (machine) => this.boot(machine);
    this.cloud.onRelease = (id) => this.takeAway(id);
  }

  async start(): Promise<void> {
    const { port } = this.options;
    await Promise.all([this.store.listen(port), this.cloud.listen(port + 1)]);
    for (const label of labels) this.startController(label);
  }

  startController(label: string): void {
    const { port } = this.options;
    const index = labels.indexOf(label);
    const others = labels
      .map((other, i) => ({ label: other, location: i === 0 ? 'a' : 'b', address: this.address(i, 1) }))
      .filter((other) => other.label !== label);
    const settings = testSettings((file) => {
      Object.assign(file, { label, location: index === 0 ? 'a' : 'b', others });
      Object.assign(file, { serve_on: this.address(index, 0), back: this.address(index, 1) });
      file['endpoints'] = { state: `127.0.0.1:${port}`, cloud: `127.0.0.1:${port + 1}` };
      const inner = file['settings'] as Record<string, unknown>;
      inner['workers'] = times;
      inner['state'] = { rps: 400, write_rps: 200, value_kb: 32, txn_ops: 20 };
      inner['cloud'] = { rps: 50, list_lag_s: 0.1 };
    });
    const stop = new AbortController();
    this.running.set(label, stop);
    void new Controller(settings, defaultOperatorSettings, silentLog, stop.signal).run();
  }

  stopController(label: string): void {
    this.running.get(label)?.abort();
    this.running.delete(label);
  }

  leader(): string {
    return String((this.store.value('lead') as { label?: string } | undefined)?.label);
  }

  user(node: number, method: string, path: string, body?: unknown): Promise<Answer> {
    const user = this.users[node];
    if (!user) throw new Error(`no controller ${node}`);
    return user.exchange(method, path, body, { timeoutMs: 5000 });
  }

  /** As users do: asks again until the answer is what they wait for. */
  async until(what: string, ask: () => Promise<boolean> | boolean, withinMs = 15_000): Promise<void> {
    const deadline = Date.now() + withinMs;
    for (;;) {
      if (await Promise.resolve(ask()).catch(() => false)) return;
      if (Date.now() > deadline) throw new Error(`not within ${withinMs} ms: ${what}`);
      await new Promise((resolve) => setTimeout(resolve, 50));
    }
  }

  async status(node: number, id: string): Promise<string> {
    const answer = await this.user(node, 'GET', `/v2/runs/${id}`);
    return answer.status === 200 ? String((answer.body as { status: string }).status) : String(answer.status);
  }

  stop(): void {
    for (const stop of this.running.values()) stop.abort();
    for (const worker of this.workers.values()) worker.end();
    for (const user of this.users) user.close();
    this.store.close();
    this.cloud.close();
  }

  private address(node: number, kind: 0 | 1): string {
    return `127.0.0.1:${this.options.port + 10 + node * 2 + kind}`;
  }

  private boot(machine: RentedMachine): void {
    const worker = new WorkerStandIn(machine, {
      reportMs: times.report_s * 1000,
      leaseMs: times.lease_s * 1000,
      taskMs: this.options.taskMs,
      nodes: labels.map((label, i) => ({ label, address: this.address(i, 0) })),
      onStart: (piece, on) => this.book(piece, on),
    });
    this.workers.set(machine.id, worker);
    void worker.run();
  }

  private takeAway(id: string): void {
    this.workers.get(id)?.end();
    this.workers.delete(id);
  }

  private book(piece: string, on: string): void {
    const elsewhere = [...this.workers.values()].find(
      (w) => w.machine.id !== on && w.running.includes(piece),
    );
    if (elsewhere) this.violations.push(`${piece} runs on ${elsewhere.machine.id} and was started on ${on}`);
  }
}

export function submission(
  id: string,
  tasks: number,
  change: Record<string, unknown> = {},
): Record<string, unknown> {
  return {
    ...{ id, jobclass: 'batch', owner: 'red', shape: 'sweep', urgency: 'standard', pieces: tasks },
    ...{ cpus: 2.5, accelerators: 0, memoryGb: 4.5, bundle: 'img-1', pullGb: 0.5, hulls: null, berth: null },
    ...{ together: false, apart: false, loaners: false, expectS: 1.5, savepointS: 0, stowS: 0, dueS: null },
    ...change,
  };
}
