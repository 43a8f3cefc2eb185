/** All that the owner of a block knows of its jobs, tasks and machines. */
import type { Clock } from '../base/clock.js';
import type { Heartbeat, JobSpec } from '../model/types.js';
import type { Team } from '../settings/settings.js';
import type { Mirror } from '../store/mirror.js';
import type { BlockRecord } from '../wire/block-records.js';
import { type Outcome, parseJobRecord, parseOutcome } from '../wire/job-records.js';
import { jobOfOutcomeKey } from '../wire/keys.js';
import type { LedgerEntry } from '../wire/ledger-records.js';
import type { Change } from '../wire/state.js';
import { BlockMachines } from './block-machines.js';
import { applyFinding, type FindingTarget } from './heartbeat-findings.js';
import { JobRecorder } from './job-recorder.js';
import { JobState, keyOfTask, type OwningBlock, type Task } from './job-state.js';
import { Ledger } from './ledger.js';
import type { LedgerLayout } from './ledger-layout.js';
import type { MachineState } from './machine-state.js';
import { type DependencyFacts, QueueOrder } from './queue-order.js';
import { reconcile, type Reconciliation } from './reconciliation.js';
import {
  addStoredPages,
  keepStoredChunkSize,
  newestEntries,
  type StoredPage,
  storedPages,
} from './stored-pages.js';
import { TeamQuotas } from './team-quotas.js';
import { TeamUsage } from './team-usage.js';
import { WaitingQueue } from './waiting-queue.js';

/** What the state of a block begins with. */
export interface BlockStateOptions {
  /** Number of the block. */
  block: number;
  /** How the ledger is laid out; where it has smaller entries already, these keep their size. */
  layout: LedgerLayout;
  heartbeatIntervalMs: number;
  clock: Clock;
  /** Time of day in ms, by which jobs are dated; by default that of the machine. */
  wallClock?: () => number;
  /** By default jobs have no objectives. */
  queueOrder?: QueueOrder;
  /** What follows for a job from those that it needs and those that need it; by default nothing does. */
  dependencyFactsOf?: (spec: JobSpec) => DependencyFacts;
  /** The teams of the settings: the block may use a share of the limits that they have. */
  teams: ReadonlyMap<string, Team>;
}

/** The queue of waiting jobs is sorted again after this part of a heartbeat interval. */
const resortAfterHeartbeats = 0.25;
/** How long terminated machines are remembered: the leader takes them out of the block's record meanwhile. */
const rememberTerminatedHeartbeats = 60;

/**
 * Rebuilt from the store when the lease of the block begins; from then on it follows the block's record, the records and
 * outcomes of jobs, and the heartbeats of machines. No task leaves a machine here without evidence, and what changes is
 * marked for the ledger at once.
 */
export class BlockState implements FindingTarget {
  /** The jobs of which this block has tasks. */
  readonly jobs = new Map<string, JobState>();
  readonly ledger: Ledger;
  /** The first pause of a job whose task has failed, in ms. */
  readonly firstRetryPauseMs: number;
  private readonly blockMachines: BlockMachines;
  private readonly quotas: TeamQuotas;
  private readonly queue: WaitingQueue;
  private readonly completedJobs = new Set<JobState>();
  private readonly owningBlock: OwningBlock;
  private layout: LedgerLayout;
  private blockVersion = 0;

  constructor(private readonly options: BlockStateOptions) {
    const { block, clock, heartbeatIntervalMs, layout, teams } = options;
    this.layout = layout;
    this.firstRetryPauseMs = heartbeatIntervalMs;
    this.ledger = new Ledger(layout.pageBytes);
    this.owningBlock = { block, createRecorder: (job) => new JobRecorder(job, this.ledger, this.layout) };
    this.blockMachines = new BlockMachines(clock, heartbeatIntervalMs * rememberTerminatedHeartbeats);
    this.quotas = new TeamQuotas(teams);
    this.queue = new WaitingQueue({
      jobs: this.jobs,
      order: options.queueOrder ?? new QueueOrder([]),
      dependencyFactsOf: options.dependencyFactsOf,
      clock,
      wallClock: options.wallClock ?? Date.now,
      maxAgeMs: heartbeatIntervalMs * resortAfterHeartbeats,
    });
  }

  /** Number of the block. */
  get block(): number {
    return this.options.block;
  }

  /** Version of the block's record that this state follows; 0 before the first. */
  get version(): number {
    return this.blockVersion;
  }

  /** The block's machines by name, whether the block's record or only its ledger names them. */
  get machines(): ReadonlyMap<string, MachineState> {
    return this.blockMachines.byId;
  }

  /** Takes over the jobs and the ledger of the block as the replica of the store has them. Called once, first of all. */
  load(mirror: Mirror): void {
    const pages = storedPages(mirror, this.block);
    this.layout = keepStoredChunkSize(this.options.layout, pages);
    for (const [key, { value, version }] of mirror.entriesWithPrefix('job/'))
      this.applyJobRecord(key, value, version);
    addStoredPages(this.ledger, pages, this.layout);
    for (const { entry, page } of newestEntries(pages)) this.loadEntry(entry, page);
    for (const job of this.jobs.values()) {
      const record = mirror.outcomeOf(job.id);
      if (record) this.endJob(job, record.outcome);
    }
  }

  /** Takes over the block's record, in which the leader says what machines and shares of limits the block has. */
  applyBlockRecord(record: BlockRecord, version: number): void {
    this.blockVersion = version;
    this.quotas.shares = record.quotaShares;
    this.blockMachines.applyRecord(record);
    this.withdrawDisallowedIntents();
  }

  /**
   * Follows what other controllers commit of jobs: their records, the ranges of their tasks, their outcomes. The ledger of the
   * block is not among it: only its owner writes it. True if any of it concerns this block.
   */
  applyChanges(changes: Change[]): boolean {
    let concerned = false;
    for (const change of changes) {
      const job = this.applyChange(change);
      concerned ||= job !== undefined;
    }
    return concerned;
  }

  /** Open jobs with waiting tasks, those first that are to start first. */
  waitingJobs(): JobState[] {
    return this.queue.jobs();
  }

  /** The last task that this block has of the job is done. */
  noteCompleted(job: JobState): void {
    this.completedJobs.add(job);
  }

  /** Jobs of which the last task here has completed since this was last asked. */
  takeCompletedJobs(): JobState[] {
    const completed = [...this.completedJobs];
    this.completedJobs.clear();
    return completed;
  }

  /** Nothing more of the job is started. Machines with tasks of it whose response is held hear of it at once. */
  endJob(job: JobState, outcome: Outcome): void {
    this.queue.invalidate();
    job.outcome ??= outcome;
    this.withdrawIntents(job);
    for (const task of job.tasks.values()) this.machineOf(task)?.sendHeldResponse?.();
  }

  /** Whether the cloud has lately proven the machine gone. */
  isTerminated(machine: string): boolean {
    return this.blockMachines.isTerminated(machine);
  }

  /** Machines proven gone since this steady time, for the leader. */
  machinesTerminatedSince(time: number): string[] {
    return this.blockMachines.terminatedSince(time);
  }

  /** Machines whose first heartbeat came since this steady time, for all who dispatch tasks to blocks. */
  machinesUpSince(time: number): string[] {
    return this.blockMachines.upSince(time);
  }

  /** Brings machine and tasks in line with the heartbeat, and returns what it proves and what to command. */
  applyHeartbeat(machine: MachineState, heartbeat: Heartbeat, mayStart: boolean): Reconciliation {
    const now = this.options.clock();
    const result = reconcile(machine, heartbeat, { now, mayStart, jobs: this.jobs });
    this.blockMachines.noteOrphans(machine);
    for (const finding of result.findings) applyFinding(this, machine, finding, now);
    return result;
  }

  /** Has the tasks of a machine wait again that the cloud has proven gone; returns them. */
  removeTerminated(id: string): Task[] {
    const tasks = [...(this.machines.get(id)?.tasks.values() ?? [])];
    for (const task of tasks) this.unassign(task);
    this.blockMachines.removeTerminated(id);
    return tasks;
  }

  /** The machine that the task is on or is to start on, as far as the block knows it. */
  machineOf({ machine }: Task): MachineState | undefined {
    return machine === undefined ? undefined : this.machines.get(machine);
  }

  /** Counts a task among those of the machine that was chosen for it. */
  addTask(task: Task, machine: MachineState): void {
    machine.tasks.set(keyOfTask(task), task);
  }

  /** Has a task wait again of which it is proven that no machine has it. */
  unassign(task: Task): void {
    this.queue.invalidate();
    this.machineOf(task)?.tasks.delete(keyOfTask(task));
    task.job.unassignTask(task, this.options.clock());
  }

  /** What every task takes that is or may be on a machine: seen or not, saving its state, or out of reach. */
  teamUsage(): TeamUsage {
    const usage = new TeamUsage();
    for (const job of this.jobs.values())
      if (job.activeCount > 0) usage.add(job.team, job.need, job.activeCount);
    this.blockMachines.addOrphanUsage(usage);
    return usage;
  }

  /** The team with what this block may use of its limits; undefined where the settings do not know it. */
  teamWithinShares(name: string): Team | undefined {
    return this.quotas.teamWithinShare(name);
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
      const machine = this.machineOf(task);
      const mayBeUsed = machine !== undefined && !machine.draining;
      if (mayBeUsed && !usage.exceedsLimit(this.teamWithinShares(team))) continue;
      usage.add(team, need, -1);
      this.unassign(task);
    }
  }

  /** Drops intents that are not committed and now never will be; where that commit is under way, it decides. */
  private withdrawIntents(job: JobState): void {
    for (const task of [...job.tasks.values()]) {
      if (task.phase === 'placing' && job.recorder.pageOf(task.index)?.isCommitting !== true)
        this.unassign(task);
    }
  }

  /** Returns the job of this block that the change concerns. */
  private applyChange({ key, value, version, deleted }: Change): JobState | undefined {
    if (deleted) return this.applyDeletion(key);
    if (key.startsWith('job/')) return this.applyJobRecord(key, value, version);
    const record = parseOutcome(value);
    const job = this.jobs.get(jobOfOutcomeKey(key) ?? '');
    if (job && record) this.endJob(job, record.outcome);
    return job;
  }

  /** The record goes in the same commit as the outcome comes, and after a gap in the changes its loss may be all there is. */
  private applyDeletion(key: string): JobState | undefined {
    if (!key.startsWith('job/')) return undefined;
    const job = this.jobs.get(key.slice('job/'.length));
    if (job) this.endJob(job, 'cancelled');
    return job;
  }

  private applyJobRecord(key: string, value: unknown, version: number): JobState | undefined {
    const record = parseJobRecord(value);
    if (!record || key !== `job/${record.spec.id}`) return undefined;
    const { spec, taskRanges } = record;
    let job = this.jobs.get(spec.id);
    if (!job) {
      if (!taskRanges.some(({ block }) => block === this.block)) return undefined;
      job = JobState.fromSpec(spec, version, this.owningBlock);
      this.jobs.set(spec.id, job);
    }
    this.queue.invalidate();
    job.assignRanges(taskRanges, version);
    // Ranges that the leader took back had not started; intents for them that are under way will fail.
    for (const task of [...job.tasks.values()]) {
      if (task.phase === 'placing' && !job.held.has(task.index)) this.unassign(task);
    }
    return job;
  }

  private loadEntry(entry: LedgerEntry, page: StoredPage): void {
    let job = this.jobs.get(entry.id);
    if (!job) {
      job = JobState.fromLedgerEntry(entry, this.owningBlock);
      this.jobs.set(entry.id, job);
    }
    const active = job.applyEntry(entry);
    job.recorder.restore(entry, page.index, this.options.clock());
    for (const task of active) this.addTask(task, this.blockMachines.ensure(task.machine));
  }
}
