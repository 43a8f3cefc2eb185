import type { Clock } from '../base/clock.js';
import { RecentNames } from '../base/recent-names.js';
import { type JobSpec, type Heartbeat, taskKey } from '../model/types.js';
import type { Team } from '../settings/settings.js';
import type { Mirror } from '../store/mirror.js';
import type { BlockRecord, QuotaShares } from '../wire/block-records.js';
import { parseOutcome, parseJobRecord } from '../wire/job-records.js';
import { jobOfOutcomeKey } from '../wire/keys.js';
import type { LedgerEntry } from '../wire/ledger-records.js';
import type { Change } from '../wire/state.js';
import { MachineState } from './machine-state.js';
import { type Reconciliation, reconcile } from './reconciliation.js';
import { type JobLedgerOptions, JobState, type Task } from './job-state.js';
import { Ledger } from './ledger.js';
import { chunkTasksOf } from './superseded-entries.js';
import { type StoredPage, keepStoredChunkSize, newestEntries, storedPages } from './stored-pages.js';
import type { LedgerLayout } from './ledger-layout.js';
import { type DependencyFacts, QueueOrder, type QueuedJob, withoutDependencies } from './queue-order.js';
import { TeamUsage } from './placement-round.js';

export interface BlockStateOptions {
  block: number;
  /** How the ledger is laid out; where it has smaller entries already, these keep their size. */
  layout: LedgerLayout;
  heartbeatIntervalMs: number;
  clock: Clock;
  wallClock?: () => number;
  queueOrder?: QueueOrder;
  /** What follows for a job from those that it needs and those that need it. */
  dependencyFactsOf?: (spec: JobSpec) => DependencyFacts;
  /** The teams of the settings: the block may use a share of the limits that they have. */
  teams: ReadonlyMap<string, Team>;
}

/** Causes that speak against the machine or the job, rather than being our own doing. */
const failureCauses = new Set(['error']);
const maxRetryPauseMs = 60_000;
const faultyAfterFailedJobs = 2;
/** The order of work is looked at again after this part of a report interval: it changes with time alone. */
const resortAfterHeartbeats = 0.25;
/** Machines that are gone are remembered for so many report intervals: the leader takes them out of the record meanwhile. */
const rememberTerminatedHeartbeats = 60;

/** All that a block's owner knows of its jobs and machines, rebuilt from the store when the lease begins. */
export class BlockState {
  /** The jobs of which this block has tasks. */
  readonly jobs = new Map<string, JobState>();
  readonly machines = new Map<string, MachineState>();
  /** Proven gone, however long the block's record or a late report still speaks of them. */
  private readonly terminated: RecentNames;
  /** Machines with tasks that they should not have: their teams are charged for them all the same. */
  private readonly machinesWithOrphans = new Set<MachineState>();
  private readonly completedJobs = new Set<JobState>();
  private sortedWaitingJobs: JobState[] | undefined;
  private sortedAt = -Infinity;
  private readonly queueOrder: QueueOrder;
  private layout: LedgerLayout;
  readonly ledger: Ledger;
  private blockVersion = 0;
  private quotaShares: QuotaShares = {};

  constructor(private readonly options: BlockStateOptions) {
    this.queueOrder = options.queueOrder ?? new QueueOrder([]);
    this.layout = options.layout;
    this.terminated = new RecentNames(
      options.clock,
      options.heartbeatIntervalMs * rememberTerminatedHeartbeats,
    );
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
    this.layout = keepStoredChunkSize(this.options.layout, pages);
    for (const [key, entry] of mirror.entriesWithPrefix('job/'))
      this.applyJobRecord(key, entry.value, entry.version);
    this.loadLedger(pages);
    for (const job of this.jobs.values()) {
      const end = mirror.outcomeOf(job.id);
      if (end) this.endJob(job, end.outcome);
    }
  }

  /** The leader's word on what belongs to the block. */
  applyBlockRecord(record: BlockRecord, version: number): void {
    this.blockVersion = version;
    this.quotaShares = record.quotaShares;
    const listed = new Set(record.machines.map((m) => m.id));
    for (const leased of record.machines) {
      if (this.terminated.has(leased.id)) continue;
      const machine = this.ensureMachine(leased.id);
      machine.info = { id: leased.id, type: leased.type, zone: leased.zone, spot: leased.spot };
      machine.rentedAt = leased.rentedAt;
      machine.draining = leased.draining;
      machine.setFencingToken(leased.fencingToken);
    }
    for (const machine of this.machines.values()) {
      // A machine is taken out of a block only when it is empty. Should it not be, its tasks keep their place until
      // the cloud proves them gone.
      if (listed.has(machine.id)) continue;
      if (machine.tasks.size === 0) this.forgetMachine(machine.id);
      else machine.draining = true;
    }
    this.withdrawDisallowedIntents();
  }

  /**
   * Follows what the other controllers commit: new jobs, their parts, cancels. Pages are written by us only. True: it
   * concerns this block.
   */
  applyChanges(changes: Change[]): boolean {
    let concerned = false;
    for (const change of changes) {
      let job: JobState | undefined;
      if (change.deleted) {
        // The record goes with the end of the job, and after a gap in the watch it may be all that we get to see.
        if (!change.key.startsWith('job/')) continue;
        job = this.jobs.get(change.key.slice('job/'.length));
        if (job) this.endJob(job, 'cancelled');
      } else if (change.key.startsWith('job/')) {
        job = this.applyJobRecord(change.key, change.value, change.version);
      } else {
        const end = parseOutcome(change.value);
        job = this.jobs.get(jobOfOutcomeKey(change.key) ?? '');
        if (job && end) this.endJob(job, end.outcome);
      }
      concerned ||= job !== undefined;
    }
    return concerned;
  }

  /** Open jobs with waiting tasks, in the order of work. Nearly every report asks, so it is kept for a while. */
  waitingJobs(): JobState[] {
    const { clock, wallClock, heartbeatIntervalMs } = this.options;
    if (this.sortedWaitingJobs && clock() - this.sortedAt < heartbeatIntervalMs * resortAfterHeartbeats)
      return this.sortedWaitingJobs;
    const open = [...this.jobs.values()].flatMap((job) =>
      job.waitingCount > 0 && job.spec ? [{ job, spec: job.spec }] : [],
    );
    const chainOf = this.options.dependencyFactsOf ?? withoutDependencies;
    const queued = ({ job, spec }: { job: JobState; spec: JobSpec }): QueuedJob => ({
      spec,
      dependencyFacts: chainOf(spec),
      waiting: job.waitingCount,
      started: job.activeCount + job.doneCount > 0,
    });
    this.sortedWaitingJobs = this.queueOrder
      .sorted(open, queued, (wallClock ?? Date.now)())
      .map(({ job }) => job);
    this.sortedAt = clock();
    return this.sortedWaitingJobs;
  }

  /** Jobs of which the last task here has completed since this was last asked. */
  takeCompletedJobs(): JobState[] {
    const completed = [...this.completedJobs];
    this.completedJobs.clear();
    return completed;
  }

  endJob(job: JobState, end: 'done' | 'cancelled'): void {
    this.sortedWaitingJobs = undefined;
    job.outcome ??= end;
    this.withdrawIntents(job);
    for (const task of job.tasks.values()) this.machines.get(task.machine)?.sendHeldResponse?.();
  }

  isTerminated(machine: string): boolean {
    return this.terminated.has(machine);
  }

  /** What was proven gone since then, for the leader. */
  machinesTerminatedSince(time: number): string[] {
    return this.terminated.since(time);
  }

  /** What was first heard of since then, for all who dispatch tasks to blocks. */
  machinesUpSince(time: number): string[] {
    return [...this.machines.values()]
      .filter((m) => m.hasSentHeartbeat && m.firstHeartbeatAt >= time)
      .map((m) => m.id);
  }

  applyHeartbeat(machine: MachineState, report: Heartbeat, mayStart: boolean): Reconciliation {
    const now = this.options.clock();
    const result = reconcile(machine, report, {
      now,
      mayStart,
      jobs: this.jobs,
    });
    if (machine.orphanedTasks.length > 0) this.machinesWithOrphans.add(machine);
    else this.machinesWithOrphans.delete(machine);
    for (const finding of result.findings) {
      if (finding.kind === 'seen') {
        finding.task.phase = 'seen';
        finding.task.running = finding.running;
        if (finding.running) finding.task.runningSince ??= now;
        if (finding.running && finding.task.job.spec) machine.cachedImages.add(finding.task.job.spec.image);
      } else if (finding.kind === 'completed') {
        const task = finding.job.tasks.get(finding.index);
        // One that the leader has taken back meanwhile stays on its machine's books until it is ours again.
        if (!finding.job.finishTask(finding.index, now)) continue;
        if (finding.job.isComplete) this.completedJobs.add(finding.job);
        if (task && task.machine !== '') this.machines.get(task.machine)?.tasks.delete(taskKey(refOf(task)));
      } else this.applyTaskLeft(machine, finding.task, finding.cause, now);
    }
    return result;
  }

  /** Proven by the cloud: the machine and everything on it are gone. */
  removeTerminated(id: string): Task[] {
    this.terminated.add(id);
    const lost = [...(this.machines.get(id)?.tasks.values() ?? [])];
    for (const task of lost) this.unassign(task);
    this.forgetMachine(id);
    return lost;
  }

  addTask(task: Task, machine: MachineState): void {
    machine.tasks.set(taskKey(refOf(task)), task);
  }

  unassign(task: Task): void {
    this.sortedWaitingJobs = undefined;
    this.machines.get(task.machine)?.tasks.delete(taskKey(refOf(task)));
    task.job.unassignTask(task, this.options.clock());
  }

  /** Counts every task that is or may be on a machine, whether seen, unseen, saving or unreachable. */
  teamUsage(): TeamUsage {
    const usage = new TeamUsage();
    for (const job of this.jobs.values())
      if (job.activeCount > 0) usage.add(job.team, job.need, job.activeCount);
    for (const machine of this.machinesWithOrphans) {
      for (const stray of machine.orphanedTasks) if (stray.team !== '') usage.add(stray.team, stray.need);
    }
    return usage;
  }

  /** Without a share of a limit, the block may use none of it. */
  private withinShares(team: Team): Team {
    const [cpus, accelerators] = this.quotaShares[team.name] ?? [0, 0];
    // A limit of 0 means none; a share of 0 of a limit must not be mistaken for that.
    const part = (limit: number, share: number): number =>
      limit === 0 ? 0 : Math.max(share, Number.MIN_VALUE);
    return {
      ...team,
      cpusMax: part(team.cpusMax, cpus),
      acceleratorsMax: part(team.acceleratorsMax, accelerators),
    };
  }

  private forgetMachine(id: string): void {
    const machine = this.machines.get(id);
    if (machine) this.machinesWithOrphans.delete(machine);
    this.machines.delete(id);
  }

  private applyTaskLeft(machine: MachineState, task: Task, cause: string, now: number): void {
    const { job } = task;
    this.unassign(task);
    if (job.outcome) return;
    if (failureCauses.has(cause)) {
      machine.failedJobs.add(job.id);
      // One job's failure says little of a machine; several jobs failing on it do.
      if (machine.failedJobs.size >= faultyAfterFailedJobs) machine.faulty = true;
    }
    if (failureCauses.has(cause) || cause === 'no_such') {
      job.failureCount++;
      // A job that fails everywhere is retried with growing pauses and holds up nobody.
      job.retryAt =
        now +
        Math.min(maxRetryPauseMs, this.options.heartbeatIntervalMs * 2 ** Math.min(job.failureCount - 1, 10));
    }
  }

  /**
   * An intent was chosen under an earlier record of the block, and its next commit is conditioned on this one. What this
   * record no longer allows must not ride along: the leader may have given the room to another block already.
   */
  private withdrawDisallowedIntents(): void {
    const placing = [...this.jobs.values()].flatMap((job) => (job.activeCount > 0 ? job.placingTasks() : []));
    if (placing.length === 0) return;
    const usage = this.teamUsage();
    for (const task of placing) {
      const { team, need } = task.job;
      const machine = this.machines.get(task.machine);
      const mayBeUsed = machine !== undefined && !machine.draining;
      if (mayBeUsed && !usage.exceedsLimit(this.teamWithinShares(team))) continue;
      usage.add(team, need, -1);
      this.unassign(task);
    }
  }

  /** The team with what this block may use of its limits; undefined where the settings do not know it. */
  teamWithinShares(name: string): Team | undefined {
    const team = this.options.teams.get(name);
    return team && this.withinShares(team);
  }

  /** Drops intents that are not committed and now never will be; where that commit is under way, it decides. */
  private withdrawIntents(job: JobState): void {
    for (const task of [...job.tasks.values()]) {
      if (task.phase === 'placing' && job.pageOf(task.index)?.isCommitting !== true) this.unassign(task);
    }
  }

  private ensureMachine(id: string): MachineState {
    let machine = this.machines.get(id);
    if (!machine) {
      machine = new MachineState(id, this.options.clock());
      this.machines.set(id, machine);
    }
    return machine;
  }

  private applyJobRecord(key: string, value: unknown, version: number): JobState | undefined {
    const record = parseJobRecord(value);
    if (!record || key !== `job/${record.spec.id}`) return undefined;
    const { spec, taskRanges } = record;
    const { block } = this;
    let job = this.jobs.get(spec.id);
    if (!job) {
      if (!taskRanges.some((part) => part.block === block)) return undefined;
      job = JobState.fromSpec(spec, version, this.ledgerOptions);
      this.jobs.set(spec.id, job);
    }
    this.sortedWaitingJobs = undefined;
    job.assignRanges(taskRanges, version);
    // Ranges that the leader took back had not started; intents for them that are under way will fail.
    for (const task of [...job.tasks.values()]) {
      if (task.phase === 'placing' && !job.holdsTask(task.index)) this.unassign(task);
    }
    return job;
  }

  /** Pages with entries of another size are retired: their tasks are recorded anew in entries of this layout. */
  private loadLedger(pages: StoredPage[]): void {
    for (const page of pages) this.addPage(page);
    for (const { entry, page } of newestEntries(pages)) this.loadEntry(entry, page);
  }

  private addPage({ index, version, entries }: StoredPage): void {
    if (entries.every((entry) => chunkTasksOf(entry) === this.storedChunkTasks))
      this.ledger.page(index).version = version;
    else
      this.ledger.retiredPages.set(index, { index, version, unwrittenChunks: new Set(), isDropping: false });
  }

  private loadEntry(entry: LedgerEntry, { index }: StoredPage): void {
    let job = this.jobs.get(entry.id);
    if (!job) {
      job = JobState.fromLedgerEntry(entry, this.ledgerOptions);
      this.jobs.set(entry.id, job);
    }
    const retired = this.ledger.retiredPages.get(index);
    const adopted = retired && job.adoptEntry(entry, this.options.clock());
    for (const chunk of adopted?.chunks ?? []) retired?.unwrittenChunks.add(chunk);
    const active = adopted?.active ?? job.loadEntry(entry, this.ledger.page(index));
    for (const task of active) this.addTask(task, this.ensureMachine(task.machine));
  }

  /** The size that entries of this layout have in the ledger. */
  private get storedChunkTasks(): number {
    return this.layout.isLegacy ? Infinity : this.layout.chunkTasks;
  }

  private get ledgerOptions(): JobLedgerOptions {
    const { block, ledger, layout } = this;
    return { block, ledger, chunkTasks: layout.chunkTasks, sizedEntries: !layout.isLegacy };
  }
}

function refOf(task: Task): { job: string; index: number } {
  return { job: task.job.id, index: task.index };
}
