/** Checks a recorded history of a test cluster against the rules of the protocol. */
import type { TimedEvent, JobRequest, UserAnswer } from './history.js';

export interface CheckOptions {
  /** Maximum number of CPUs that the tasks of each team may use. A team without an entry has no limit. */
  teamCpuLimits: ReadonlyMap<string, number>;
  cancelDeadlineMs: number;
  /**
   * Time after a confirmed cancellation during which a task start that was already in progress may take
   * effect.
   */
  startGraceMs: number;
  /**
   * A job counts as forgotten if no query for it is answered for longer than this, although queries for other
   * jobs are answered.
   */
  maxUnansweredMs: number;
  /** Maximum time that a job may wait to start after all faults have ended, if it fits on free machines. */
  maxWaitMs: number;
  /** Wall-clock time in ms since the epoch at which the final injected fault ended. */
  faultsEndedAt: number;
  historyEndsAt: number;
}

export interface Violation {
  rule: string;
  subject: string;
  at: number;
}

/** A task that is executing on a machine. */
interface Execution {
  machine: string;
  since: number;
}

/** The state of a job according to the events of the history so far. */
interface JobHistory {
  request: JobRequest | undefined;
  submitted: boolean;
  acceptedAt?: number;
  cancelRequested: boolean;
  cancelledAt?: number;
  doneAt?: number;
  /**
   * Time of the first unanswered query since the latest answered query. Unset if the latest query was
   * answered.
   */
  unansweredSince?: number;
  hasStarted: boolean;
  readonly completed: Set<number>;
}

/**
 * Returns all violations of the rules of the protocol. They are derived only from events that the stand-ins
 * observed and answers that users received.
 */
export function check(history: readonly TimedEvent[], options: CheckOptions): Violation[] {
  return new Checker(options).run(history);
}

class Checker {
  private readonly violations: Violation[] = [];
  private readonly jobs = new Map<string, JobHistory>();
  private readonly executions = new Map<string, Execution[]>();
  private readonly machines = new Map<string, { type: string; zone: string; spot: boolean }>();
  private now = 0;
  private lastQueryAnsweredAt = -Infinity;

  constructor(private readonly options: CheckOptions) {}

  run(history: readonly TimedEvent[]): Violation[] {
    for (const event of [...history].sort((a, b) => a.at - b.at)) {
      this.now = event.at;
      this.apply(event);
    }
    this.now = this.options.historyEndsAt;
    for (const [id, job] of this.jobs) this.checkLeftWaiting(id, job);
    for (const [task, executions] of this.executions)
      for (const { since } of executions) this.checkRanCancelled(task, since);
    return this.violations;
  }

  private apply(event: TimedEvent): void {
    switch (event.kind) {
      case 'machine':
        this.machines.set(event.machine, event);
        return;
      case 'submitted': {
        const job = this.job(event.id);
        job.request ??= event.job;
        job.submitted = true;
        return;
      }
      case 'asked to cancel':
        this.job(event.id).cancelRequested = true;
        return;
      case 'started':
        return this.applyStart(event.task, event.machine);
      case 'left':
        return this.applyExit(event.task, event.machine, event.completed);
      case 'told':
        return this.applyAnswer(event);
    }
  }

  /**
   * Applies the rule: "Once any node has told a user that a job is accepted, done or cancelled, no node may
   * give that user an older answer". If a request is sent after an answer has arrived, the answer to this
   * request must not be older than the answer that has arrived. If two requests are in flight at the same
   * time, the network may reorder them. The order of their answers is then undefined, so they are not
   * compared.
   */
  private applyAnswer({ id, requestKind, answer, sentAt }: Extract<TimedEvent, { kind: 'told' }>): void {
    const job = this.job(id);
    const sentAfter = (at: number | undefined): boolean => at !== undefined && at < sentAt;
    if (requestKind === 'question') this.trackQuery(id, job, answer);
    if (answer === 'turned away') return;
    if (answer === 'unknown') {
      if (sentAfter(job.acceptedAt) && requestKind !== 'submission') this.report('forgotten', id);
      return;
    }
    if (answer === 'refused') {
      if (sentAfter(job.acceptedAt)) this.report('forgotten', id);
      return;
    }
    if (!job.submitted) this.report('invented', id);
    if (requestKind === 'submission' && !job.request) this.report('accepted_bad', id);
    if (requestKind === 'submission') job.acceptedAt ??= this.now;
    const reopensDone = sentAfter(job.doneAt) && answer !== 'done';
    const reopensCancelled = sentAfter(job.cancelledAt) && answer !== 'cancelled';
    if (reopensDone || reopensCancelled || contradictsOutcome(job, answer)) this.report('went_back', id);
    if (answer === 'pending' || answer === 'running') this.checkOrphaned(id, sentAt);
    if (answer === 'cancelled') {
      const isCancelRequested =
        job.cancelRequested || this.ancestors(id).some((ancestor) => ancestor.cancelRequested);
      if (!isCancelRequested) this.report('went_back', id);
      job.cancelledAt ??= this.now;
    }
    if (answer === 'done') {
      if (job.completed.size < (job.request?.tasks ?? Infinity)) this.report('not_done', id);
      job.doneAt ??= this.now;
    }
  }

  /**
   * Reports a job as forgotten if its queries stay unanswered while queries for other jobs are answered.
   * During an outage of the whole service, no answer is expected.
   */
  private trackQuery(id: string, job: JobHistory, answer: string): void {
    if (answer !== 'turned away') {
      this.lastQueryAnsweredAt = this.now;
      delete job.unansweredSince;
      return;
    }
    job.unansweredSince ??= this.now;
    const { maxUnansweredMs, faultsEndedAt } = this.options;
    const unansweredFrom = Math.max(job.unansweredSince, faultsEndedAt);
    if (
      job.acceptedAt === undefined ||
      this.now - unansweredFrom <= maxUnansweredMs ||
      this.lastQueryAnsweredAt < unansweredFrom
    )
      return;
    this.report('forgotten', id);
    job.unansweredSince = this.now;
  }

  private applyStart(task: string, machine: string): void {
    const [id = ''] = task.split('/');
    const job = this.job(id);
    const executions = this.executions.get(task) ?? [];
    if (executions.length > 0) this.report('ran_twice', task);
    if (job.cancelledAt !== undefined) {
      const sinceCancelMs = this.now - job.cancelledAt;
      if (sinceCancelMs > this.options.cancelDeadlineMs) this.report('ran_cancelled', task);
      else if (sinceCancelMs > this.options.startGraceMs) this.report('started_cancelled', task);
    }
    const hasUnmetDependency = (job.request?.dependencies ?? []).some(
      (dependency) => !this.isComplete(dependency),
    );
    if (hasUnmetDependency) this.report('too_early', task);
    if (!this.isPlacementAllowed(id, job, machine)) this.report('wrong_place', task);
    job.hasStarted = true;
    executions.push({ machine, since: this.now });
    this.executions.set(task, executions);
    const limit = job.request && this.options.teamCpuLimits.get(job.request.team);
    if (limit !== undefined && this.usedCpus(job.request?.team) > limit + 1e-6) this.report('quota', task);
  }

  private isComplete(id: string): boolean {
    const job = this.jobs.get(id);
    return job?.request !== undefined && job.completed.size >= job.request.tasks;
  }

  /** Returns all jobs on which the job depends, directly or through other jobs. */
  private ancestors(id: string): JobHistory[] {
    const found = new Set<string>();
    const queue = [id];
    for (let current = queue.pop(); current !== undefined; current = queue.pop()) {
      for (const dependency of this.jobs.get(current)?.request?.dependencies ?? []) {
        if (found.has(dependency)) continue;
        found.add(dependency);
        queue.push(dependency);
      }
    }
    return [...found].map((ancestor) => this.job(ancestor));
  }

  /**
   * Called when an answer has reported a job as pending or running. Reports the job as orphaned if the
   * request was sent more than the cancel deadline after the cancellation of a direct or indirect dependency
   * was confirmed.
   */
  private checkOrphaned(id: string, sentAt: number): void {
    const isLate = ({ cancelledAt }: JobHistory): boolean =>
      cancelledAt !== undefined && sentAt - cancelledAt > this.options.cancelDeadlineMs;
    if (this.ancestors(id).some(isLate)) this.report('orphaned', id);
  }

  private applyExit(task: string, machine: string, completed: boolean): void {
    const [id = '', index] = task.split('/');
    const executions = this.executions.get(task) ?? [];
    const execution = executions.find((e) => e.machine === machine);
    if (!execution) return;
    this.executions.set(
      task,
      executions.filter((e) => e !== execution),
    );
    this.checkRanCancelled(task, execution.since);
    if (completed) this.job(id).completed.add(Number(index));
  }

  private checkRanCancelled(task: string, since: number): void {
    const cancelledAt = this.jobs.get(task.split('/')[0] ?? '')?.cancelledAt;
    if (cancelledAt === undefined || since - cancelledAt > this.options.cancelDeadlineMs) return;
    if (this.now - cancelledAt > this.options.cancelDeadlineMs) this.report('ran_cancelled', task);
  }

  private isPlacementAllowed(id: string, { request }: JobHistory, machineId: string): boolean {
    const machine = this.machines.get(machineId);
    if (!request || !machine) return false;
    if (request.machineTypes && !request.machineTypes.includes(machine.type)) return false;
    if (request.zone !== null && request.zone !== machine.zone) return false;
    if (machine.spot && !request.spot) return false;
    const zones = this.zonesOf(id);
    if (request.colocated && zones.some((zone) => zone !== machine.zone)) return false;
    const tasksInZone = zones.filter((zone) => zone === machine.zone).length;
    return !request.spread || tasksInZone < Math.ceil(request.tasks / 2);
  }

  private zonesOf(id: string): (string | undefined)[] {
    const zones: (string | undefined)[] = [];
    for (const [task, executions] of this.executions) {
      if (task.startsWith(`${id}/`)) zones.push(...executions.map((e) => this.machines.get(e.machine)?.zone));
    }
    return zones;
  }

  private usedCpus(team: string | undefined): number {
    let used = 0;
    for (const [task, executions] of this.executions) {
      const request = this.jobs.get(task.split('/')[0] ?? '')?.request;
      if (request?.team === team) used += (request?.cpus ?? 0) * executions.length;
    }
    return used;
  }

  /**
   * Reports an accepted job that has neither started nor ended although its dependencies are complete and the
   * maximum wait after the end of the faults has passed.
   */
  private checkLeftWaiting(id: string, job: JobHistory): void {
    const { historyEndsAt, faultsEndedAt, maxWaitMs } = this.options;
    const waitedFrom = Math.max(job.acceptedAt ?? Infinity, faultsEndedAt);
    const isReady = (job.request?.dependencies ?? []).every((dependency) => this.isComplete(dependency));
    const isOpen = job.cancelledAt === undefined && job.doneAt === undefined;
    const isWaiting = isOpen && !job.hasStarted && isReady;
    if (isWaiting && historyEndsAt - waitedFrom > maxWaitMs) this.report('left_waiting', id);
  }

  private job(id: string): JobHistory {
    let job = this.jobs.get(id);
    if (!job) {
      job = {
        request: undefined,
        submitted: false,
        cancelRequested: false,
        hasStarted: false,
        completed: new Set(),
      };
      this.jobs.set(id, job);
    }
    return job;
  }

  private report(rule: string, subject: string): void {
    this.violations.push({ rule, subject, at: this.now });
  }
}

/**
 * Returns true if the answer contradicts the outcome that was already confirmed. The outcome of a job never
 * changes, so `done` and `cancelled` contradict each other in whatever order the answers arrive.
 */
function contradictsOutcome(job: JobHistory, answer: UserAnswer): boolean {
  if (answer === 'done') return job.cancelledAt !== undefined;
  return answer === 'cancelled' && job.doneAt !== undefined;
}
