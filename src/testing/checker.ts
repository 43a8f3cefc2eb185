import type { Dated, JobFacts, Told } from './history.js';

export interface CheckFacts {
  /** CPUs that each team may use at most; none is no limit. */
  limits: ReadonlyMap<string, number>;
  cancelDeadlineMs: number;
  /** How long after a cancel was confirmed a start that was under way may still take effect. */
  startGraceMs: number;
  /** A job about which no question is answered for so long, while others are, is forgotten. */
  forgottenMs: number;
  /** How long a job that fits may wait beside room, once all troubles are over. */
  waitsMs: number;
  /** When the last trouble was over, and when the history ends. */
  calmAt: number;
  endsAt: number;
}

export interface Violation {
  rule: string;
  subject: string;
  at: number;
}

interface Running {
  machine: string;
  since: number;
}

interface Job {
  facts: JobFacts | undefined;
  submitted: boolean;
  acceptedAt?: number;
  askedToCancel: boolean;
  cancelledAt?: number;
  doneAt?: number;
  /** When a question about it was last answered, or first went unanswered since. */
  unansweredSince?: number;
  startedEver: boolean;
  readonly completed: Set<number>;
}

/** Every rule of the protocol, judged by what the stand-ins saw and what users were told. */
export function check(history: readonly Dated[], facts: CheckFacts): Violation[] {
  return new Checker(facts).judge(history);
}

class Checker {
  private readonly violations: Violation[] = [];
  private readonly jobs = new Map<string, Job>();
  private readonly running = new Map<string, Running[]>();
  private readonly machines = new Map<string, { type: string; zone: string; spot: boolean }>();
  private at = 0;
  private answeredAt = -Infinity;

  constructor(private readonly facts: CheckFacts) {}

  judge(history: readonly Dated[]): Violation[] {
    for (const happening of [...history].sort((a, b) => a.at - b.at)) {
      this.at = happening.at;
      this.take(happening);
    }
    this.at = this.facts.endsAt;
    for (const [id, job] of this.jobs) this.judgeEnd(id, job);
    for (const [task, places] of this.running) for (const { since } of places) this.judgeStay(task, since);
    return this.violations;
  }

  private take(happening: Dated): void {
    switch (happening.kind) {
      case 'machine':
        this.machines.set(happening.machine, happening);
        return;
      case 'submitted': {
        const job = this.job(happening.id);
        job.facts ??= happening.job;
        job.submitted = true;
        return;
      }
      case 'asked to cancel':
        this.job(happening.id).askedToCancel = true;
        return;
      case 'started':
        return this.start(happening.task, happening.machine);
      case 'left':
        return this.leave(happening.task, happening.machine, happening.completed);
      case 'told':
        return this.tell(happening);
    }
  }

  /**
   * "Once any node has told a user that a job is accepted, done or cancelled, no node may give that user an older answer":
   * an answer is older where its request was sent after the other answer had come. Of two requests that were under way at
   * the same time nobody can say whose answer is the older one, since the network may overtake either, so they are not
   * held against each other.
   */
  private tell({ id, by, what, sentAt }: Extract<Dated, { kind: 'told' }>): void {
    const job = this.job(id);
    const sentAfter = (told: number | undefined): boolean => told !== undefined && told < sentAt;
    if (by === 'question') this.noteQuestion(id, job, what);
    if (what === 'turned away') return;
    if (what === 'unknown') {
      if (sentAfter(job.acceptedAt) && by !== 'submission') this.report('forgotten', id);
      return;
    }
    if (what === 'refused') {
      if (sentAfter(job.acceptedAt)) this.report('forgotten', id);
      return;
    }
    if (!job.submitted) this.report('invented', id);
    if (by === 'submission' && !job.facts) this.report('accepted_bad', id);
    if (by === 'submission') job.acceptedAt ??= this.at;
    const backFromDone = sentAfter(job.doneAt) && what !== 'done';
    const backFromCancelled = sentAfter(job.cancelledAt) && what !== 'cancelled';
    if (backFromDone || backFromCancelled || hasTwoEnds(job, what)) this.report('went_back', id);
    if (what === 'pending' || what === 'running') this.judgeOrphan(id, sentAt);
    if (what === 'cancelled') {
      const isAsked = job.askedToCancel || this.ancestors(id).some((one) => one.askedToCancel);
      if (!isAsked) this.report('went_back', id);
      job.cancelledAt ??= this.at;
    }
    if (what === 'done') {
      if (job.completed.size < (job.facts?.tasks ?? Infinity)) this.report('not_done', id);
      job.doneAt ??= this.at;
    }
  }

  /** It counts as forgotten only while questions about others are answered: nothing is asked of a dead service. */
  private noteQuestion(id: string, job: Job, what: string): void {
    if (what !== 'turned away') {
      this.answeredAt = this.at;
      delete job.unansweredSince;
      return;
    }
    job.unansweredSince ??= this.at;
    const { forgottenMs, calmAt } = this.facts;
    const since = Math.max(job.unansweredSince, calmAt);
    if (job.acceptedAt === undefined || this.at - since <= forgottenMs || this.answeredAt < since) return;
    this.report('forgotten', id);
    job.unansweredSince = this.at;
  }

  private start(task: string, machine: string): void {
    const [id = ''] = task.split('/');
    const job = this.job(id);
    const places = this.running.get(task) ?? [];
    if (places.length > 0) this.report('ran_twice', task);
    if (job.cancelledAt !== undefined) {
      const late = this.at - job.cancelledAt;
      if (late > this.facts.cancelDeadlineMs) this.report('ran_cancelled', task);
      else if (late > this.facts.startGraceMs) this.report('started_cancelled', task);
    }
    const unmet = (job.facts?.dependencies ?? []).some((dependency) => !this.isComplete(dependency));
    if (unmet) this.report('too_early', task);
    if (!this.maySit(id, job, machine)) this.report('wrong_place', task);
    job.startedEver = true;
    places.push({ machine, since: this.at });
    this.running.set(task, places);
    const limit = job.facts && this.facts.limits.get(job.facts.team);
    if (limit !== undefined && this.used(job.facts?.team) > limit + 1e-6) this.report('quota', task);
  }

  private isComplete(id: string): boolean {
    const job = this.jobs.get(id);
    return job?.facts !== undefined && job.completed.size >= job.facts.tasks;
  }

  /** All jobs that have to be done before the job, directly or through others. */
  private ancestors(id: string): Job[] {
    const found = new Set<string>();
    const next = [id];
    for (let at = next.pop(); at !== undefined; at = next.pop()) {
      for (const dependency of this.jobs.get(at)?.facts?.dependencies ?? []) {
        if (found.has(dependency)) continue;
        found.add(dependency);
        next.push(dependency);
      }
    }
    return [...found].map((ancestor) => this.job(ancestor));
  }

  /** The job is still called open, by an answer whose request was sent long after a job before it was told as cancelled. */
  private judgeOrphan(id: string, sentAt: number): void {
    const isLate = ({ cancelledAt }: Job): boolean =>
      cancelledAt !== undefined && sentAt - cancelledAt > this.facts.cancelDeadlineMs;
    if (this.ancestors(id).some(isLate)) this.report('orphaned', id);
  }

  private leave(task: string, machine: string, completed: boolean): void {
    const [id = '', index] = task.split('/');
    const places = this.running.get(task) ?? [];
    const place = places.find((p) => p.machine === machine);
    if (!place) return;
    this.running.set(
      task,
      places.filter((p) => p !== place),
    );
    this.judgeStay(task, place.since);
    if (completed) this.job(id).completed.add(Number(index));
  }

  private judgeStay(task: string, since: number): void {
    const cancelledAt = this.jobs.get(task.split('/')[0] ?? '')?.cancelledAt;
    if (cancelledAt === undefined || since - cancelledAt > this.facts.cancelDeadlineMs) return;
    if (this.at - cancelledAt > this.facts.cancelDeadlineMs) this.report('ran_cancelled', task);
  }

  private maySit(id: string, { facts }: Job, machine: string): boolean {
    const place = this.machines.get(machine);
    if (!facts || !place) return false;
    if (facts.types && !facts.types.includes(place.type)) return false;
    if (facts.zone !== null && facts.zone !== place.zone) return false;
    if (place.spot && !facts.spot) return false;
    const zones = this.zonesOf(id);
    if (facts.oneZone && zones.some((zone) => zone !== place.zone)) return false;
    const here = zones.filter((zone) => zone === place.zone).length;
    return !facts.spread || here < Math.ceil(facts.tasks / 2);
  }

  private zonesOf(id: string): (string | undefined)[] {
    const zones: (string | undefined)[] = [];
    for (const [task, places] of this.running) {
      if (task.startsWith(`${id}/`)) zones.push(...places.map((p) => this.machines.get(p.machine)?.zone));
    }
    return zones;
  }

  private used(team: string | undefined): number {
    let used = 0;
    for (const [task, places] of this.running) {
      const facts = this.jobs.get(task.split('/')[0] ?? '')?.facts;
      if (facts?.team === team) used += (facts?.cpus ?? 0) * places.length;
    }
    return used;
  }

  /** Every accepted job that was not cancelled has run, or at least begun, once the troubles are long over. */
  private judgeEnd(id: string, job: Job): void {
    const { endsAt, calmAt, waitsMs } = this.facts;
    const waitedFrom = Math.max(job.acceptedAt ?? Infinity, calmAt);
    const isReady = (job.facts?.dependencies ?? []).every((dependency) => this.isComplete(dependency));
    const isUndecided = job.cancelledAt === undefined && job.doneAt === undefined;
    const open = isUndecided && !job.startedEver && isReady;
    if (open && endsAt - waitedFrom > waitsMs) this.report('left_waiting', id);
  }

  private job(id: string): Job {
    let job = this.jobs.get(id);
    if (!job) {
      job = {
        facts: undefined,
        submitted: false,
        askedToCancel: false,
        startedEver: false,
        completed: new Set(),
      };
      this.jobs.set(id, job);
    }
    return job;
  }

  private report(rule: string, subject: string): void {
    this.violations.push({ rule, subject, at: this.at });
  }
}

/** An end is decided once: no order of answers makes both of them true. */
function hasTwoEnds(job: Job, what: Told): boolean {
  if (what === 'done') return job.cancelledAt !== undefined;
  return what === 'cancelled' && job.doneAt !== undefined;
}
