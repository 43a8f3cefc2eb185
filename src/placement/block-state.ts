import type { Clock } from '../base/clock.js';
import { RecentNames } from '../base/recent-names.js';
import { type JobSpec, type Report, taskKey } from '../model/types.js';
import type { Team } from '../settings/settings.js';
import type { Mirror } from '../store/mirror.js';
import type { BlockRecord, Shares } from '../wire/block-records.js';
import { parseEnd, parseJobRecord } from '../wire/job-records.js';
import { endedJob } from '../wire/keys.js';
import type { LedgerEntry } from '../wire/ledger-records.js';
import type { Change } from '../wire/state.js';
import { MachineState } from '../workers/machine-state.js';
import { type Reconciliation, reconcile } from '../workers/reconcile.js';
import { type JobPlace, JobState, type Task } from './job-state.js';
import { Ledger } from './ledger.js';
import { chunkTasksOf } from './ledger-entries.js';
import { type StoredPage, layoutFor, newestEntries, storedPages } from './stored-pages.js';
import type { LedgerLayout } from './ledger-layout.js';
import { type ChainFacts, OrderOfWork, type Queued, unchained } from './order.js';
import { Usage } from './placement-round.js';

export interface BlockStateOptions {
  block: number;
  /** How the ledger is laid out; where it has smaller entries already, these keep their size. */
  layout: LedgerLayout;
  reportMs: number;
  clock: Clock;
  wallClock?: () => number;
  order?: OrderOfWork;
  /** What follows for a job from those that it needs and those that need it. */
  chainOf?: (spec: JobSpec) => ChainFacts;
  /** The teams of the settings: the block may use a share of the limits that they have. */
  teams: ReadonlyMap<string, Team>;
}

/** Causes that speak against the machine or the job, rather than being our own doing. */
const failures = new Set(['error']);
const longestPauseMs = 60_000;
const faultyAfterJobs = 2;
/** The order of work is looked at again after this part of a report interval: it changes with time alone. */
const sortedReports = 0.25;
/** Machines that are gone are remembered for so many report intervals: the leader takes them out of the record meanwhile. */
const goneReports = 60;

/** All that a block's owner knows of its jobs and machines, rebuilt from the store when the lease begins. */
export class BlockState {
  /** The jobs of which this block has tasks. */
  readonly jobs = new Map<string, JobState>();
  readonly machines = new Map<string, MachineState>();
  /** Proven gone, however long the block's record or a late report still speaks of them. */
  private readonly gone: RecentNames;
  /** Machines with tasks that they should not have: their teams are charged for them all the same. */
  private readonly withStrays = new Set<MachineState>();
  private readonly completed = new Set<JobState>();
  private waiting: JobState[] | undefined;
  private sortedAt = -Infinity;
  private readonly order: OrderOfWork;
  private layout: LedgerLayout;
  readonly ledger: Ledger;
  private blockVersion = 0;
  private shares: Shares = {};

  constructor(private readonly options: BlockStateOptions) {
    this.order = options.order ?? new OrderOfWork([]);
    this.layout = options.layout;
    this.gone = new RecentNames(options.clock, options.reportMs * goneReports);
    this.ledger = new Ledger(options.layout.pageBytes);
  }

  get block(): number {
    return this.options.block;
  }

  get version(): number {
    return this.blockVersion;
  }

  load(mirror: Mirror): void {
    const pages = storedPages(mirror, this.block);
    this.layout = layoutFor(this.options.layout, pages);
    for (const [key, entry] of mirror.entriesWithPrefix('job/')) this.setJob(key, entry.value, entry.version);
    this.loadLedger(pages);
    for (const job of this.jobs.values()) {
      const end = mirror.outcomeOf(job.id);
      if (end) this.endJob(job, end.end);
    }
  }

  /** The leader's word on what belongs to the block. */
  applyBlock(record: BlockRecord, version: number): void {
    this.blockVersion = version;
    this.shares = record.shares;
    const listed = new Set(record.machines.map((m) => m.id));
    for (const leased of record.machines) {
      if (this.gone.has(leased.id)) continue;
      const machine = this.machine(leased.id);
      machine.place = { id: leased.id, type: leased.type, zone: leased.zone, spot: leased.spot };
      machine.since = leased.since;
      machine.leaving = leased.leaving;
      machine.setToken(leased.token);
    }
    for (const machine of this.machines.values()) {
      // A machine is taken out of a block only when it is empty. Should it not be, its tasks keep their place until
      // the cloud proves them gone.
      if (listed.has(machine.id)) continue;
      if (machine.tasks.size === 0) this.forget(machine.id);
      else machine.leaving = true;
    }
    this.withdrawDisallowed();
  }

  /**
   * Follows what the other controllers commit: new jobs, their parts, cancels. Pages are written by us only. True: it
   * concerns this block.
   */
  apply(changes: Change[]): boolean {
    let concerned = false;
    for (const change of changes) {
      let job: JobState | undefined;
      if (change.deleted) {
        // The record goes with the end of the job, and after a gap in the watch it may be all that we get to see.
        if (!change.key.startsWith('job/')) continue;
        job = this.jobs.get(change.key.slice('job/'.length));
        if (job) this.endJob(job, 'cancelled');
      } else if (change.key.startsWith('job/')) {
        job = this.setJob(change.key, change.value, change.version);
      } else {
        const end = parseEnd(change.value);
        job = this.jobs.get(endedJob(change.key) ?? '');
        if (job && end) this.endJob(job, end.end);
      }
      concerned ||= job !== undefined;
    }
    return concerned;
  }

  /** Open jobs with waiting tasks, in the order of work. Nearly every report asks, so it is kept for a while. */
  waitingJobs(): JobState[] {
    const { clock, wallClock, reportMs } = this.options;
    if (this.waiting && clock() - this.sortedAt < reportMs * sortedReports) return this.waiting;
    const open = [...this.jobs.values()].flatMap((job) =>
      job.waiting > 0 && job.spec ? [{ job, spec: job.spec }] : [],
    );
    const chainOf = this.options.chainOf ?? unchained;
    const queued = ({ job, spec }: { job: JobState; spec: JobSpec }): Queued => ({
      spec,
      chain: chainOf(spec),
      waiting: job.waiting,
      started: job.active + job.doneCount > 0,
    });
    this.waiting = this.order.sorted(open, queued, (wallClock ?? Date.now)()).map(({ job }) => job);
    this.sortedAt = clock();
    return this.waiting;
  }

  /** Jobs of which the last task here has completed since this was last asked. */
  takeCompleted(): JobState[] {
    const completed = [...this.completed];
    this.completed.clear();
    return completed;
  }

  endJob(job: JobState, end: 'done' | 'cancelled'): void {
    this.waiting = undefined;
    job.ended ??= end;
    this.withdraw(job);
    for (const task of job.tasks.values()) this.machines.get(task.machine)?.wake?.();
  }

  isGone(machine: string): boolean {
    return this.gone.has(machine);
  }

  /** What was proven gone since then, for the leader. */
  goneSince(time: number): string[] {
    return this.gone.since(time);
  }

  /** What was first heard of since then, for all who dispatch tasks to blocks. */
  upSince(time: number): string[] {
    return [...this.machines.values()].filter((m) => m.seen && m.seenAt >= time).map((m) => m.id);
  }

  report(machine: MachineState, report: Report, mayStart: boolean): Reconciliation {
    const now = this.options.clock();
    const result = reconcile(machine, report, {
      now,
      mayStart,
      jobs: this.jobs,
    });
    if (machine.strays.length > 0) this.withStrays.add(machine);
    else this.withStrays.delete(machine);
    for (const finding of result.findings) {
      if (finding.kind === 'seen') {
        finding.task.phase = 'seen';
        finding.task.running = finding.running;
        if (finding.running) finding.task.runningSince ??= now;
        if (finding.running && finding.task.job.spec) machine.images.add(finding.task.job.spec.image);
      } else if (finding.kind === 'completed') {
        const task = finding.job.tasks.get(finding.index);
        // One that the leader has taken back meanwhile stays on its machine's books until it is ours again.
        if (!finding.job.finish(finding.index, now)) continue;
        if (finding.job.complete) this.completed.add(finding.job);
        if (task && task.machine !== '') this.machines.get(task.machine)?.tasks.delete(taskKey(refOf(task)));
      } else this.left(machine, finding.task, finding.cause, now);
    }
    return result;
  }

  /** Proven by the cloud: the machine and everything on it are gone. */
  remove(id: string): Task[] {
    this.gone.add(id);
    const lost = [...(this.machines.get(id)?.tasks.values() ?? [])];
    for (const task of lost) this.takeOff(task);
    this.forget(id);
    return lost;
  }

  put(task: Task, machine: MachineState): void {
    machine.tasks.set(taskKey(refOf(task)), task);
  }

  takeOff(task: Task): void {
    this.waiting = undefined;
    this.machines.get(task.machine)?.tasks.delete(taskKey(refOf(task)));
    task.job.giveBack(task, this.options.clock());
  }

  /** Counts every task that is or may be on a machine, whether seen, unseen, saving or unreachable. */
  usage(): Usage {
    const usage = new Usage();
    for (const job of this.jobs.values()) if (job.active > 0) usage.add(job.team, job.need, job.active);
    for (const machine of this.withStrays) {
      for (const stray of machine.strays) if (stray.team !== '') usage.add(stray.team, stray.need);
    }
    return usage;
  }

  /** Without a share of a limit, the block may use none of it. */
  private limitsOf(team: Team): Team {
    const [cpus, accelerators] = this.shares[team.name] ?? [0, 0];
    // A limit of 0 means none; a share of 0 of a limit must not be mistaken for that.
    const part = (limit: number, share: number): number =>
      limit === 0 ? 0 : Math.max(share, Number.MIN_VALUE);
    return {
      ...team,
      cpusMax: part(team.cpusMax, cpus),
      acceleratorsMax: part(team.acceleratorsMax, accelerators),
    };
  }

  private forget(id: string): void {
    const machine = this.machines.get(id);
    if (machine) this.withStrays.delete(machine);
    this.machines.delete(id);
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

  /**
   * An intent was chosen under an earlier record of the block, and its next commit is conditioned on this one. What this
   * record no longer allows must not ride along: the leader may have given the room to another block already.
   */
  private withdrawDisallowed(): void {
    const placing = [...this.jobs.values()].flatMap((job) => (job.active > 0 ? job.placingTasks() : []));
    if (placing.length === 0) return;
    const usage = this.usage();
    for (const task of placing) {
      const { team, need } = task.job;
      const machine = this.machines.get(task.machine);
      const mayBeUsed = machine !== undefined && !machine.leaving;
      if (mayBeUsed && !usage.exceeds(this.shareOf(team))) continue;
      usage.add(team, need, -1);
      this.takeOff(task);
    }
  }

  /** The team with what this block may use of its limits; undefined where the settings do not know it. */
  shareOf(name: string): Team | undefined {
    const team = this.options.teams.get(name);
    return team && this.limitsOf(team);
  }

  /** Drops intents that are not committed and now never will be; where that commit is under way, it decides. */
  private withdraw(job: JobState): void {
    for (const task of [...job.tasks.values()]) {
      if (task.phase === 'placing' && job.pageOf(task.index)?.busy !== true) this.takeOff(task);
    }
  }

  private machine(id: string): MachineState {
    let machine = this.machines.get(id);
    if (!machine) {
      machine = new MachineState(id, this.options.clock());
      this.machines.set(id, machine);
    }
    return machine;
  }

  private setJob(key: string, value: unknown, version: number): JobState | undefined {
    const record = parseJobRecord(value);
    if (!record || key !== `job/${record.spec.id}`) return undefined;
    const { spec, parts } = record;
    const { block } = this;
    let job = this.jobs.get(spec.id);
    if (!job) {
      if (!parts.some((part) => part.block === block)) return undefined;
      job = JobState.of(spec, version, this.place);
      this.jobs.set(spec.id, job);
    }
    this.waiting = undefined;
    job.assignRanges(parts, version);
    // Ranges that the leader took back had not started; intents for them that are under way will fail.
    for (const task of [...job.tasks.values()]) {
      if (task.phase === 'placing' && !job.holds(task.index)) this.takeOff(task);
    }
    return job;
  }

  /** Pages with entries of another size are retired: their tasks are recorded anew in entries of this layout. */
  private loadLedger(pages: StoredPage[]): void {
    for (const page of pages) this.addPage(page);
    for (const { entry, page } of newestEntries(pages)) this.loadEntry(entry, page);
  }

  private addPage({ index, version, entries }: StoredPage): void {
    if (entries.every((entry) => chunkTasksOf(entry) === this.entryTasks))
      this.ledger.page(index).version = version;
    else this.ledger.retired.set(index, { index, version, unwritten: new Set(), busy: false });
  }

  private loadEntry(entry: LedgerEntry, { index }: StoredPage): void {
    let job = this.jobs.get(entry.id);
    if (!job) {
      job = JobState.leftover(entry, this.place);
      this.jobs.set(entry.id, job);
    }
    const retired = this.ledger.retired.get(index);
    const adopted = retired && job.adopt(entry, this.options.clock());
    for (const chunk of adopted?.chunks ?? []) retired?.unwritten.add(chunk);
    const active = adopted?.active ?? job.load(entry, this.ledger.page(index));
    for (const task of active) this.put(task, this.machine(task.machine));
  }

  /** The size that entries of this layout have in the ledger. */
  private get entryTasks(): number {
    return this.layout.inherited ? Infinity : this.layout.chunkTasks;
  }

  private get place(): JobPlace {
    const { block, ledger, layout } = this;
    return { block, ledger, perChunk: layout.chunkTasks, sizedEntries: !layout.inherited };
  }
}

function refOf(task: Task): { job: string; index: number } {
  return { job: task.job.id, index: task.index };
}
