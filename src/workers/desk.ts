import type { Clock } from '../base/clock.js';
import type { Reply, Route } from '../base/web.js';
import type { Registry } from '../blocks/registry.js';
import type { Tenancy } from '../blocks/tenancy.js';
import { type AnsweringFacts, answerUntil, peerIsServed } from '../leadership/answering.js';
import { parseReport, redirectAnswer, reportAnswer } from '../wire/workers.js';

export interface DeskPorts {
  clock: Clock;
  label: string;
  tenancy: Tenancy;
  registry: Registry;
  leader: () => string | undefined;
  storeFailing: () => boolean;
  answering: () => AnsweringFacts;
  grantTtlMs: number;
}

/** Answers workers' reports: whoever is not entitled to command a machine sends its worker on. */
export class WorkerDesk {
  constructor(private readonly ports: DeskPorts) {}

  readonly route: Route = {
    method: 'POST',
    path: /^\/hello$/,
    handle: (body) => this.receive(body),
  };

  receive(body: unknown): Reply {
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
    if (result.verdict === 'reconciled') tenancy.poke();
    return { status: 200, body: reportAnswer(machine.token, result.orders) };
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
