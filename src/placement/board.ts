import type { Clock } from '../base/clock.js';
import { type Report, taskKey } from '../model/types.js';
import type { Mirror } from '../store/mirror.js';
import { endKey, parseEnd, parseJobRecord, parseRunPage } from '../wire/records.js';
import type { Change } from '../wire/state.js';
import { MachineState, type Placement } from '../workers/machine-state.js';
import { type Reconciliation, reconcile } from '../workers/reconcile.js';
import { JobState, type Task } from './job-state.js';
import { Usage } from './plan.js';

export interface BoardOptions {
  token: number;
  perPage: number;
  reportMs: number;
  clock: Clock;
}

/** Causes that speak against the machine or the job, rather than being our own doing. */
const failures = new Set(['error']);
const longestPauseMs = 60_000;
const gonesKept = 2000;
const faultyAfterJobs = 2;

/** All that a block's owner knows of its jobs and machines, rebuilt from the store when a term begins. */
export class Board {
  readonly jobs = new Map<string, JobState>();
  readonly machines = new Map<string, MachineState>();
  /** Machines proven gone, whose late reports and late listings mean nothing. */
  private readonly gone = new Set<string>();

  constructor(private readonly options: BoardOptions) {}

  load(mirror: Mirror): void {
    for (const [key, entry] of mirror.below('job/')) this.addJob(key, entry.value, entry.version);
    for (const [key, entry] of mirror.below('run/')) this.addPage(key, entry.value, entry.version);
    for (const job of this.jobs.values()) {
      const end = parseEnd(mirror.get(endKey(job.id))?.value);
      if (end) this.endJob(job, end.end);
    }
  }

  /** Follows what the other controllers commit: new jobs and cancels. Run pages are written by this owner only. */
  apply(changes: Change[]): void {
    for (const change of changes) {
      if (change.key.startsWith('job/') && !change.deleted)
        this.addJob(change.key, change.value, change.version);
      if (change.key.startsWith('end/') && !change.deleted) {
        const job = this.jobs.get(change.key.slice('end/'.length));
        const end = parseEnd(change.value);
        if (job && end) this.endJob(job, end.end);
      }
    }
  }

  endJob(job: JobState, end: 'done' | 'cancelled'): void {
    job.ended ??= end;
    for (const task of [...job.tasks.values()]) {
      // Its intent is not committed, and now never will be: unless that commit is under way, it can be dropped.
      if (task.phase === 'placing' && !job.pages.get(job.pageOf(task.index))?.busy) this.takeOff(task);
    }
  }

  isGone(machine: string): boolean {
    return this.gone.has(machine);
  }

  /** A machine that we rented, were told of, or that has reported to us. */
  machine(place: Placement, rentedAt: number): MachineState {
    let machine = this.machines.get(place.id);
    if (!machine) {
      machine = new MachineState(place, rentedAt, this.options.clock());
      this.machines.set(place.id, machine);
    } else if (machine.place.type === '') machine.place = place;
    return machine;
  }

  report(report: Report, mayStart: boolean): Reconciliation {
    const now = this.options.clock();
    const { machine: id, type, zone, spot } = report;
    const machine = this.machine({ id, type, zone, spot }, now);
    const { token } = this.options;
    const result = reconcile(machine, report, { token, now, jobs: this.jobs, mayStart });
    for (const finding of result.findings) {
      if (finding.kind === 'seen') {
        finding.task.phase = 'seen';
        finding.task.running = finding.running;
        if (finding.running && finding.task.job.spec) machine.images.add(finding.task.job.spec.image);
      } else if (finding.kind === 'completed') {
        const task = finding.job.tasks.get(finding.index);
        if (task && task.machine !== '') this.machines.get(task.machine)?.tasks.delete(taskKey(refOf(task)));
        finding.job.finish(finding.index, now);
      } else this.left(machine, finding.task, finding.cause, now);
    }
    return result;
  }

  /** Proven by the cloud: the machine and everything on it are gone. */
  remove(id: string): Task[] {
    const machine = this.machines.get(id);
    this.gone.add(id);
    if (this.gone.size > gonesKept) {
      const oldest = this.gone.values().next();
      if (!oldest.done) this.gone.delete(oldest.value);
    }
    if (!machine) return [];
    const lost = [...machine.tasks.values()];
    for (const task of lost) this.takeOff(task);
    this.machines.delete(id);
    return lost;
  }

  put(task: Task, machine: MachineState): void {
    machine.tasks.set(taskKey(refOf(task)), task);
  }

  takeOff(task: Task): void {
    this.machines.get(task.machine)?.tasks.delete(taskKey(refOf(task)));
    task.job.giveBack(task, this.options.clock());
  }

  /** Counts every task that is or may be on a machine, whether seen, unseen, saving or unreachable. */
  usage(): Usage {
    const usage = new Usage();
    for (const job of this.jobs.values()) if (job.active > 0) usage.add(job.team, job.need, job.active);
    for (const machine of this.machines.values()) {
      for (const stray of machine.strays) if (stray.team !== '') usage.add(stray.team, stray.need);
    }
    return usage;
  }

  private left(machine: MachineState, task: Task, cause: string, now: number): void {
    const { job } = task;
    this.takeOff(task);
    if (job.ended) return;
    if (failures.has(cause)) {
      machine.failedJobs.add(job.id);
      // One job's failure says little of a machine; several jobs failing on it do.
      if (machine.failedJobs.size >= faultyAfterJobs) machine.faulty = true;
    }
    if (failures.has(cause) || cause === 'no_such') {
      job.failures++;
      // A job that fails everywhere is retried with growing pauses and holds up nobody.
      job.retryAt =
        now + Math.min(longestPauseMs, this.options.reportMs * 2 ** Math.min(job.failures - 1, 10));
    }
  }

  private addJob(key: string, value: unknown, version: number): void {
    const spec = parseJobRecord(value);
    if (!spec || key !== `job/${spec.id}` || this.jobs.has(spec.id)) return;
    this.jobs.set(spec.id, JobState.fromSpec(spec, version, this.options.perPage));
  }

  private addPage(key: string, value: unknown, version: number): void {
    const [, id = '', number = ''] = key.split('/');
    const page = parseRunPage(value);
    if (!page) return;
    let job = this.jobs.get(id);
    if (!job) {
      job = JobState.leftover(id, page, this.options.perPage);
      this.jobs.set(id, job);
    }
    for (const task of job.loadPage(Number(number), page, version)) {
      // The machine itself is yet to be heard of; until then it holds the task's room and nothing else.
      const place = { id: task.machine, type: '', zone: '', spot: false };
      this.put(task, this.machine(place, this.options.clock()));
    }
  }
}

function refOf(task: Task): { job: string; index: number } {
  return { job: task.job.id, index: task.index };
}
