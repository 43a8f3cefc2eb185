import type { Clock } from '../base/clock.js';
import type { Reply, Route } from '../base/web.js';
import type { Registry } from '../blocks/registry.js';
import type { Tenancy } from '../blocks/tenancy.js';
import { type Order, taskKey } from '../model/types.js';
import type { Board } from '../placement/board.js';
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
    const { tenancy, storeFailing, answering, grantTtlMs } = this.ports;
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
    const starts = await this.startsFor(board, machine);
    // Whatever came in between, a start goes out only under the token that its intent was committed with.
    const valid =
      machine.token === token && machine.seq === seq && machine.releasing === '' && !storeFailing();
    const orders = valid ? [...result.orders, ...starts()] : result.orders;
    for (const order of orders) {
      const task = order.kind === 'start' ? machine.tasks.get(taskKey(order)) : undefined;
      if (task) task.orderedAt ??= now;
    }
    return { status: 200, body: reportAnswer(token, this.gather(machine, orders, now)) };
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

  /**
   * A report often says that there is room again. Its answer waits for the commit of what is placed into that room, a
   * few milliseconds as a rule: otherwise the room would stay empty until the next report.
   */
  private async startsFor(board: Board, machine: MachineState): Promise<() => Order[]> {
    const { tenancy, settleMs } = this.ports;
    const before = new Set([...machine.tasks.values()].filter((task) => task.phase !== 'placing'));
    tenancy.placeNow(board);
    await tenancy.decided(board, () => machine.tasks.values(), settleMs);
    return () =>
      [...machine.tasks.values()]
        .filter((task) => task.phase === 'placed' && !before.has(task) && !task.job.ended)
        .map((task) => ({ kind: 'start', job: task.job.id, index: task.index, attempt: task.attempt }));
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
