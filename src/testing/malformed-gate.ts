/**
 * Sends malformed requests among good ones to three controller processes, and checks that the service is not
 * disturbed. Run as a program, prints the result and exits with status 1 if the check fails:
 *
 *     node target/test/testing/malformed-gate.js [--seconds 60] [--seed 1]
 */
import { argv } from 'node:process';
import { pathToFileURL } from 'node:url';
import { parseArgs } from 'node:util';
import type { HttpClient } from '../base/http.js';
import { pause } from './cluster.js';
import { malformedBodies, randomMessage } from './malformed-messages.js';
import { post } from './raw-request.js';
import { seeded } from './seeded.js';
import { ServiceProcesses, smallDeployment, smallDeploymentMemoryMb } from './service-processes.js';
import { submission } from './submission.js';
import { testClient } from './test-client.js';
import { labels } from './three-controllers.js';

const malformedPerS = 40;
const goodJobIntervalMs = 500;
/** The time that users allow for a job whose task runs for a fraction of a second. */
const jobDeadlineMs = 15_000;
const startTimeoutMs = 20_000;
const requestTimeoutMs = 5000;
const pollMs = 500;
const firstGoodJob = 100_000;

export interface GateOptions {
  firstPort: number;
  seed: number;
  durationMs: number;
}

/** What the gate has counted, and what it found wrong. */
export interface GateResult {
  problems: string[];
  malformedRequests: number;
  goodJobs: number;
  slowestJobMs: number;
  peakMemoryMb: number;
}

/** One run of the gate. */
class Gate {
  private readonly service: ServiceProcesses;
  private readonly users: HttpClient[];
  private readonly random: () => number;
  private readonly result: GateResult = {
    problems: [],
    malformedRequests: 0,
    goodJobs: 0,
    slowestJobMs: 0,
    peakMemoryMb: 0,
  };
  private readonly jobsInProgress: Promise<void>[] = [];

  constructor(private readonly options: GateOptions) {
    this.random = seeded(options.seed);
    this.service = new ServiceProcesses(smallDeployment(options.firstPort));
    this.users = labels.map((_, node) => testClient(this.service.servingAddress(node), 20));
  }

  async run(): Promise<GateResult> {
    try {
      await this.service.start();
      await this.waitUntilServing();
      const end = Date.now() + this.options.durationMs;
      await Promise.all([this.sendMalformed(end), this.submitGoodJobs(end)]);
      await Promise.all(this.jobsInProgress);
      this.checkProcesses();
      return this.result;
    } finally {
      await this.service.stop();
    }
  }

  private async waitUntilServing(): Promise<void> {
    const deadline = Date.now() + startTimeoutMs;
    for (const user of this.users) {
      while ((await this.statusOf(user, 'GET', '/up')) !== 200) {
        if (Date.now() > deadline) throw new Error('a controller does not serve after its start');
        await pause(pollMs);
      }
    }
  }

  private async statusOf(user: HttpClient, method: string, path: string, body?: unknown): Promise<number> {
    const options = { timeoutMs: requestTimeoutMs };
    const response = await user.exchange(method, path, body, options).catch(() => undefined);
    return response?.status ?? 0;
  }

  private async sendMalformed(end: number): Promise<void> {
    const kept = Object.values(malformedBodies);
    for (let i = 0; Date.now() < end; i++) {
      const body = i % 2 === 0 ? kept[(i / 2) % kept.length] : randomMessage(this.random);
      void this.sendOneMalformed(body ?? Buffer.alloc(0));
      await pause(1000 / malformedPerS);
    }
  }

  private async sendOneMalformed(body: Buffer): Promise<void> {
    const node = Math.floor(this.random() * labels.length);
    const path = this.random() < 0.5 ? '/v2/runs' : '/hello';
    const cut = Math.floor(this.random() * body.length);
    const chunks = this.random() < 0.5 ? [body] : [body.subarray(0, cut), body.subarray(cut)];
    this.result.malformedRequests++;
    try {
      const { status } = await post(this.service.servingAddress(node), path, chunks);
      if (status !== 400) this.addProblem(`status ${status} from ${path} for ${body.toString('hex', 0, 20)}`);
    } catch (error) {
      this.addProblem(`${String(error)} from ${path} for ${body.toString('hex', 0, 20)}`);
    }
  }

  private async submitGoodJobs(end: number): Promise<void> {
    for (let i = 0; Date.now() < end; i++) {
      this.jobsInProgress.push(this.followGoodJob(`req-${firstGoodJob + i}`));
      await pause(goodJobIntervalMs);
    }
  }

  private async followGoodJob(id: string): Promise<void> {
    this.result.goodJobs++;
    const startedAt = Date.now();
    const user = this.users[Math.floor(this.random() * this.users.length)] as HttpClient;
    let isAccepted = false;
    while (Date.now() - startedAt < jobDeadlineMs) {
      if (!isAccepted) {
        const status = await this.statusOf(user, 'POST', '/v2/runs', submission(id, 2));
        isAccepted = status === 200 || status === 201;
      } else if (this.isDone(id)) {
        this.result.slowestJobMs = Math.max(this.result.slowestJobMs, Date.now() - startedAt);
        return;
      }
      await pause(pollMs);
    }
    this.addProblem(`${id} was not done in time`);
  }

  /** Whether both tasks of a job have completed, according to the workers. */
  private isDone(id: string): boolean {
    const completed = this.service.history.events.filter(
      (event) => event.kind === 'left' && event.completed && event.task.startsWith(`${id}/`),
    );
    return completed.length >= 2;
  }

  private checkProcesses(): void {
    for (const { label, reason } of this.service.unexpectedExits)
      this.addProblem(`${label} ended by itself: ${reason}`);
    for (const [node, label] of labels.entries()) {
      const peakMb = this.service.usage(node)?.peakMemoryMb ?? 0;
      this.result.peakMemoryMb = Math.max(this.result.peakMemoryMb, peakMb);
      if (peakMb > smallDeploymentMemoryMb) this.addProblem(`${label} used ${peakMb} MB`);
    }
  }

  private addProblem(problem: string): void {
    this.result.problems.push(problem);
  }
}

/** Runs the gate on three new controller processes. */
export function runMalformedGate(options: GateOptions): Promise<GateResult> {
  return new Gate(options).run();
}

async function main(): Promise<void> {
  const { values } = parseArgs({
    options: { seconds: { type: 'string', default: '60' }, seed: { type: 'string', default: '1' } },
  });
  const result = await runMalformedGate({
    firstPort: 27_940,
    seed: Number(values.seed),
    durationMs: Number(values.seconds) * 1000,
  });
  process.stdout.write(`${JSON.stringify(result, undefined, 2)}\n`);
  process.exit(result.problems.length === 0 ? 0 : 1);
}

if (argv[1] !== undefined && import.meta.url === pathToFileURL(argv[1]).href) await main();
