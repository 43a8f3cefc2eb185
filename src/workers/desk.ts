import type { Reply, Route } from '../base/web.js';
import type { Clock } from '../base/clock.js';
import type { Log } from '../base/log.js';
import { type AnsweringFacts, answerUntil, peerIsServed } from '../leadership/answering.js';
import type { Term } from '../leadership/term.js';
import type { Board } from '../placement/board.js';
import { parseReport, redirectAnswer, reportAnswer } from '../wire/workers.js';

/** The running term with its board; the board is missing until the mirror has caught up with the term. */
export interface Duty {
  term: Term;
  board: Board | undefined;
}

export interface DeskPorts {
  clock: Clock;
  log: Log;
  label: string;
  duty: () => Duty | undefined;
  leader: () => string | undefined;
  storeFailing: () => boolean;
  answering: () => AnsweringFacts;
  /** Something was learned that may let a task start. */
  onNews: () => void;
}

/** Answers workers' reports: whoever is not entitled to act for the controllers sends them on. */
export class WorkerDesk {
  constructor(private readonly ports: DeskPorts) {}

  readonly route: Route = {
    method: 'POST',
    path: /^\/hello$/,
    handle: (body) => this.receive(body),
  };

  receive(body: unknown): Reply {
    const { ports } = this;
    const report = parseReport(body);
    if (!report) return { status: 400, body: { error: 'not a report' } };
    const duty = ports.duty();
    if (!duty || duty.term.signal.aborted) return this.sendOn();
    const { term, board } = duty;
    const facts = ports.answering();
    // Without the store we cannot know whom users were told is cancelled, so leases must run out in time.
    if (facts.now > answerUntil(facts) || peerIsServed(facts, term.ttlMs)) {
      return { status: 421, body: redirectAnswer(undefined) };
    }
    if (report.token > term.token) {
      term.end('a worker knows a higher token');
      return { status: 421, body: redirectAnswer(undefined) };
    }
    if (!board) return { status: 200, body: reportAnswer(term.token, []) };
    if (board.isGone(report.machine)) return { status: 503, body: redirectAnswer(undefined) };
    const result = board.report(report, !ports.storeFailing());
    if (result.findings.length > 0 || result.verdict === 'reconciled') ports.onNews();
    return { status: 200, body: reportAnswer(term.token, result.orders) };
  }

  private sendOn(): Reply {
    const leader = this.ports.leader();
    if (leader === undefined || leader === this.ports.label) {
      return { status: 503, body: redirectAnswer(undefined) };
    }
    return { status: 421, body: redirectAnswer(leader) };
  }
}
