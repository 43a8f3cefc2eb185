import type { Clock } from '../base/clock.js';
import type { Reply, Route } from '../base/web.js';
import type { Registry } from '../blocks/registry.js';
import type { Tenancy } from '../blocks/tenancy.js';
import { type Order, taskKey } from '../model/types.js';
import type { Task } from '../placement/job-state.js';
import { type AnsweringFacts, answerUntil, peerIsServed } from '../leadership/answering.js';
import { parseReport, redirectAnswer, reportAnswer } from '../wire/workers.js';
import type { MachineState } from './machine-state.js';

export interface DeskPorts {
  clock: Clock;
  label: string;
  tenancy: Tenancy;
  registry: Registry;
  leader: () => string | undefined;
  storeFailing: () => boolean;
  answering: () => AnsweringFacts;
  grantTtlMs: number;
  reportMs: number;
  /** How long an answer may wait for the commit of what it is to start. */
  settleMs: number;
}

/** How long an answer is held where there is room, in report intervals: well below the 4 s that workers wait. */
const holdShares = { empty: 0.5, busy: 0.25 };
/** Finished tasks are left in a worker's reports for so many report intervals if nothing else is to be said. */
const tidyReports = 2;

/** Answers workers' reports: whoever is not entitled to command a machine sends its worker on. */
export class WorkerDesk {
  constructor(private readonly ports: DeskPorts) {}

  readonly route: Route = {
    method: 'POST',
    path: /^\/hello$/,
    handle: (body) => this.receive(body),
  };

  async receive(body: unknown): Promise<Reply> {
    const { tenancy, storeFailing, answering, grantTtlMs, settleMs } = this.ports;
    const report = parseReport(body);
    if (!report) return { status: 400, body: { error: 'not a report' } };
    const found = tenancy.find(report.machine);
    if (!found) return this.sendOn(report.machine);
    const facts = answering();
    // Without the store we cannot know whom users were told is cancelled, so leases must run out in time.
    if (facts.now > answerUntil(facts) || peerIsServed(facts, grantTtlMs)) {
      return { status: 421, body: redirectAnswer(undefined) };
    }
    const { board, machine } = found;
    const result = board.report(machine, report, !storeFailing());
    // Somebody has leased the machine after us, and the watch has yet to tell us.
    if (result.verdict === 'outranked') return { status: 421, body: redirectAnswer(undefined) };
    const { now } = facts;
    if (result.verdict === 'unreconciled') machine.introducedAt ??= now;
    if (result.verdict !== 'reconciled')
      return { status: 200, body: reportAnswer(machine.token, result.orders) };
    machine.introducedAt = undefined;
    const { token, seq } = machine;
    const before = new Set([...machine.tasks.values()].filter((task) => task.phase !== 'placing'));
    tenancy.placeNow(board, machine);
    await tenancy.decided(board, () => machine.tasks.values(), settleMs);
    const quiet = result.orders.every((order) => order.kind === 'forget');
    const holdMs = this.holdMs(machine);
    if (quiet && holdMs > 0 && this.news(machine, before).length === 0) await this.hold(machine, holdMs);
    // Whatever came in between, a start goes out only under the token that its intent was committed with.
    const valid =
      machine.token === token && machine.seq === seq && machine.releasing === '' && !storeFailing();
    const orders = valid ? [...result.orders, ...this.news(machine, before)] : result.orders;
    for (const order of orders) {
      const task = order.kind === 'start' ? machine.tasks.get(taskKey(order)) : undefined;
      if (task) task.orderedAt ??= now;
    }
    return { status: 200, body: reportAnswer(token, this.gather(machine, orders, now)) };
  }

  /**
   * A report often says that there is room again. Its answer waits for the commit of what is placed into that room, and
   * with room left it is held a while longer: what comes meanwhile starts at once instead of with the next report. A
   * worker with tasks has news of its own soon, so its answer is held for less.
   */
  private holdMs(machine: MachineState): number {
    const { reportMs, tenancy, storeFailing } = this.ports;
    if (storeFailing() || !tenancy.hasRoom(machine)) return 0;
    return reportMs * (machine.tasks.size === 0 ? holdShares.empty : holdShares.busy);
  }

  private async hold(machine: MachineState, ms: number): Promise<void> {
    // A worker has one report under way at a time, so an answer that is still held is one that nobody waits for.
    machine.wake?.();
    await new Promise<void>((resolve) => {
      const handle = setTimeout(() => machine.wake?.(), ms);
      machine.wake = (): void => {
        clearTimeout(handle);
        machine.wake = undefined;
        resolve();
      };
    });
  }

  /** What has been committed for the machine since its report came, and what has ended since. */
  private news(machine: MachineState, before: ReadonlySet<Task>): Order[] {
    const orders: Order[] = [];
    for (const task of machine.tasks.values()) {
      const { index, attempt, phase, job } = task;
      const ref = { job: job.id, index, attempt };
      if (phase === 'placed' && !before.has(task) && !job.ended) orders.push({ kind: 'start', ...ref });
      else if (phase === 'seen' && job.ended) orders.push({ kind: 'stop', ...ref, graceS: 0 });
    }
    return orders;
  }

  /**
   * What a worker forgets is a change of its tasks, and every change makes it report again. So mere tidying waits for
   * other orders to go with, for two reports at the most.
   */
  private gather(machine: MachineState, orders: Order[], now: number): Order[] {
    const { reportMs } = this.ports;
    if (orders.length === 0) return orders;
    const tidying = orders.every((order) => order.kind === 'forget');
    if (tidying && now - machine.tidiedAt < reportMs * tidyReports) return [];
    machine.tidiedAt = now;
    // A worker carries orders out in turn, and an earlier attempt must be out of the way before the next one starts.
    return [...orders.filter((o) => o.kind === 'forget'), ...orders.filter((o) => o.kind !== 'forget')];
  }

  private sendOn(machine: string): Reply {
    const { registry, leader, label } = this.ports;
    // A machine in no block has the leader to hear of it; the list will, too.
    const to = registry.ownerOf(machine) ?? leader();
    return to === undefined || to === label
      ? { status: 503, body: redirectAnswer(undefined) }
      : { status: 421, body: redirectAnswer(to) };
  }
}
