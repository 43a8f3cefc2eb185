import type { Clock } from '../base/clock.js';
import type { LeanRoute, Reply } from '../base/replies.js';
import type { Registry } from '../blocks/registry.js';
import type { BlockLeases } from '../blocks/block-leases.js';
import { type Order, taskKey } from '../model/types.js';
import type { Task } from '../placement/job-state.js';
import type { Scheduler } from '../placement/scheduler.js';
import { parseReport, redirectAnswer, reportAnswer } from '../wire/workers.js';
import { LongPolls } from './long-polls.js';
import type { MachineState } from './machine-state.js';

/** One report on its way to its answer. */
interface PendingReport {
  machine: MachineState;
  answer: Answer;
  now: number;
  token: number;
  seq: number;
  orders: Order[];
  /** Tasks that the machine had, or may have had, when the report was read. */
  before: Task[];
}

export interface ReportHandlerPorts {
  clock: Clock;
  label: string;
  leases: BlockLeases;
  registry: Registry;
  leader: () => string | undefined;
  /** The store serves us and what we know of it is recent. */
  mayStart: () => boolean;
  /** Workers may be answered: we know, or our peers do, whom users were told is cancelled. */
  mayAnswer: () => boolean;
  /** Connections are scarce: no answer is held, since it would keep its connection. */
  isCrowded: () => boolean;
  reportMs: number;
  /** How long an answer may wait for the commit of what it is to start. */
  settleMs: number;
}

/** How long an answer is held where there is room, in report intervals: well below the 4 s that workers wait. */
const holdShares = { empty: 0.5, busy: 0.25 };
/** Held answers are looked at so many times in the shortest time that one is held. */
const looksPerHold = 4;
/** Finished tasks are left in a worker's reports for so many report intervals if nothing else is to be said. */
const tidyReports = 2;

/** The protocol's time for an answer to a report. */
const workerWaitsMs = 4000;

type Answer = (reply: Reply) => void;

/** Answers workers' reports: whoever is not entitled to command a machine sends its worker on. */
export class ReportHandler {
  private readonly longPolls: LongPolls;

  constructor(private readonly ports: ReportHandlerPorts) {
    this.longPolls = new LongPolls(ports.clock, (ports.reportMs * holdShares.busy) / looksPerHold);
  }

  readonly route: LeanRoute = {
    method: 'POST',
    path: '/hello',
    queued: true,
    handle: (body, answer) => this.receive(body, answer),
  };

  /** The usual report has nothing new and nothing to start: it is answered at once, or held, and costs little else. */
  receive(body: unknown, answer: Answer): void {
    const { leases, mayStart, mayAnswer, clock, settleMs } = this.ports;
    const report = parseReport(body);
    if (!report) return answer({ status: 400, body: { error: 'not a report' } });
    const heldBlock = leases.find(report.machine);
    if (!heldBlock) return answer(this.sendOn(report.machine));
    if (!mayAnswer()) return answer({ status: 421, body: redirectAnswer(undefined) });
    const { blockState, scheduler, machine } = heldBlock;
    const result = blockState.report(machine, report, mayStart());
    // Somebody has leased the machine after us, and the watch has yet to tell us.
    if (result.verdict === 'outranked') return answer({ status: 421, body: redirectAnswer(undefined) });
    const now = clock();
    if (result.verdict === 'unreconciled') machine.introducedAt ??= now;
    if (result.verdict !== 'reconciled')
      return answer({ status: 200, body: reportAnswer(machine.token, result.orders) });
    machine.introducedAt = undefined;
    const { token, seq } = machine;
    // What is placed from here on is not among the orders yet.
    const before = [...machine.tasks.values()].filter((task) => task.phase !== 'placing');
    const pending: PendingReport = { machine, answer, now, token, seq, orders: result.orders, before };
    scheduler.placeNow(machine);
    if (machine.tasks.size === before.length) return this.holdOrAnswer(pending, scheduler);
    void scheduler
      .decided(() => machine.tasks.values(), settleMs)
      .then(() => this.holdOrAnswer(pending, scheduler));
  }

  /**
   * A report often says that there is room again. Its answer waits for the commit of what is placed into that room, and
   * with room left it is held a while longer: what comes meanwhile starts at once instead of with the next report. A
   * worker with tasks has news of its own soon, so its answer is held for less.
   */
  private holdOrAnswer(pending: PendingReport, scheduler: Scheduler): void {
    const { reportMs, mayStart, isCrowded } = this.ports;
    const { machine, orders } = pending;
    const quiet = orders.every((order) => order.kind === 'forget') && this.newOrders(pending).length === 0;
    if (!quiet || isCrowded() || !mayStart() || !scheduler.hasRoom(machine)) return this.finish(pending);
    const share = machine.tasks.size === 0 ? holdShares.empty : holdShares.busy;
    this.longPolls.add(machine, reportMs * share, () => this.finish(pending));
  }

  private finish(pending: PendingReport): void {
    const { machine, token, seq, answer } = pending;
    const now = this.ports.clock();
    // We were held up ourselves: the worker has long asked another, and drops what is said now.
    const late = now - pending.now > workerWaitsMs;
    // Whatever came in between, a start goes out only under the token that its intent was committed with.
    const valid =
      machine.token === token &&
      machine.seq === seq &&
      machine.releasing === '' &&
      !late &&
      this.ports.mayStart();
    const orders: Order[] = [];
    for (const order of valid ? [...pending.orders, ...this.newOrders(pending)] : pending.orders) {
      if (order.kind === 'start') {
        // While the answer was held its job may have ended, and what may be told to start now was said then.
        const task = machine.tasks.get(taskKey(order));
        if (!valid || task?.phase !== 'placed' || task.attempt !== order.attempt || task.job.ended) continue;
        task.orderedAt ??= now;
      }
      orders.push(order);
    }
    answer({ status: 200, body: reportAnswer(token, this.gather(machine, orders, now)) });
  }

  /** What has been committed for the machine since its report came, and what has ended since. */
  private newOrders({ machine, before }: PendingReport): Order[] {
    const orders: Order[] = [];
    for (const task of machine.tasks.values()) {
      const { index, attempt, phase, job } = task;
      const ref = { job: job.id, index, attempt };
      if (phase === 'placed' && !before.includes(task) && !job.ended) orders.push({ kind: 'start', ...ref });
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
