/** The in-memory state of a block at its owner: the block's jobs, tasks and machines. */
import type { Clock } from '../base/clock.js';
import type { Heartbeat, JobSpec } from '../model/types.js';
import type { Team } from '../settings/settings.js';
import type { StoreReplica } from '../store/store-replica.js';
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

/** The initial inputs of a block's state. */
export interface BlockStateOptions {
  /** Number of the block. */
  block: number;
  /**
   * Layout of the ledger. If stored entries cover fewer tasks than this layout has per entry, their size is
   * kept.
   */
  layout: LedgerLayout;
  heartbeatIntervalMs: number;
  clock: Clock;
  /** Returns the time of day in ms, the time base of job timestamps; by default the system clock. */
  wallClock?: () => number;
  /** Order in which waiting jobs start; by default no job has objectives. */
  queueOrder?: QueueOrder;
  /**
   * Returns what a job's dependencies and dependents imply for it; by default the job is treated as having
   * none.
   */
  dependencyFactsOf?: (spec: JobSpec) => DependencyFacts;
  /** The teams from the settings. The block may use its share of their limits. */
  teams: ReadonlyMap<string, Team>;
}

/** The queue of waiting jobs is sorted again after this fraction of a heartbeat interval. */
const resortIntervalHeartbeats = 0.25;
/**
 * How long terminated machines are remembered, in heartbeat intervals. The leader removes them from the
 * block's record within this time.
 */
const terminatedRetentionHeartbeats = 60;

/**
 * The state of one block. It is rebuilt from the store when the lease of the block begins. From then on it
 * follows the block's record, the records and outcomes of jobs, and the heartbeats of machines. A task is
 * removed from its machine only on evidence that the machine does not have it, and every change is marked for
 * the ledger at once.
 */
export class BlockState implements FindingTarget {
  /** The jobs that have tasks in this block. */
  readonly jobs = new Map<string, JobState>();
  readonly ledger: Ledger;
  /** Initial back-off in ms after a task of a job has failed. */
  readonly initialRetryBackoffMs: number;
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
    this.initialRetryBackoffMs = heartbeatIntervalMs;
    this.ledger = new Ledger(layout.pageBytes);
    this.owningBlock = { block, createRecorder: (job) => new JobRecorder(job, this.ledger, this.layout) };
    this.blockMachines = new BlockMachines(clock, heartbeatIntervalMs * terminatedRetentionHeartbeats);
    this.quotas = new TeamQuotas(teams);
    this.queue = new WaitingQueue({
      jobs: this.jobs,
      order: options.queueOrder ?? new QueueOrder([]),
      dependencyFactsOf: options.dependencyFactsOf,
      clock,
      wallClock: options.wallClock ?? Date.now,
      maxAgeMs: heartbeatIntervalMs * resortIntervalHeartbeats,
    });
  }

  /** Number of the block. */
  get block(): number {
    return this.options.block;
  }

  /** Version of the block's record that this state reflects; 0 before the first record. */
  get version(): number {
    return this.blockVersion;
  }

  /** The block's machines by id, including machines that only the ledger names. */
  get machines(): ReadonlyMap<string, MachineState> {
    return this.blockMachines.byId;
  }

  /**
   * Loads the block's jobs and ledger from the replica of the store. Called once, before all other methods.
   */
  load(replica: StoreReplica): void {
    const pages = storedPages(replica, this.block);
    this.layout = keepStoredChunkSize(this.options.layout, pages);
    for (const [key, { value, version }] of replica.entriesWithPrefix('job/'))
      this.applyJobRecord(key, value, version);
    addStoredPages(this.ledger, pages, this.layout);
    for (const { entry, page } of newestEntries(pages)) this.loadEntry(entry, page);
    for (const job of this.jobs.values()) {
      const record = replica.outcomeOf(job.id);
      if (record) this.endJob(job, record.outcome);
    }
  }

  /**
   * Applies the block's record, in which the leader sets the block's machines and its shares of team limits.
   */
  applyBlockRecord(record: BlockRecord, version: number): void {
    this.blockVersion = version;
    this.quotas.shares = record.quotaShares;
    this.blockMachines.applyRecord(record);
    this.withdrawDisallowedIntents();
  }

  /**
   * Applies changes that other controllers have committed to jobs: their records with the task ranges, and
   * their outcomes. Changes of the block's ledger are not included, since only the block's owner writes the
   * ledger. Returns true if any change affects this block.
   */
  applyChanges(changes: Change[]): boolean {
    let affectsBlock = false;
    for (const change of changes) {
      const job = this.applyChange(change);
      affectsBlock ||= job !== undefined;
    }
    return affectsBlock;
  }

  /** Open jobs with waiting tasks, sorted by the order in which they are to start. */
  waitingJobs(): JobState[] {
    return this.queue.jobs();
  }

  /** Records that all tasks of the job in this block are done. */
  markJobCompleted(job: JobState): void {
    this.completedJobs.add(job);
  }

  /** Returns the jobs whose last task in this block has completed since the previous call. */
  takeCompletedJobs(): JobState[] {
    const completed = [...this.completedJobs];
    this.completedJobs.clear();
    return completed;
  }

  /**
   * Records the job's outcome, after which none of its tasks is started. Machines that run tasks of the job
   * and whose heartbeat response is held open receive the response at once.
   */
  endJob(job: JobState, outcome: Outcome): void {
    this.queue.invalidate();
    job.outcome ??= outcome;
    this.withdrawIntents(job);
    for (const task of job.tasks.values()) this.machineOf(task)?.sendHeldResponse?.();
  }

  /** Whether the cloud has lately proven that the machine is gone. */
  isTerminated(machine: string): boolean {
    return this.blockMachines.isTerminated(machine);
  }

  /** Machines proven terminated at or after `time`, in ms of monotonic time; the leader uses them. */
  machinesTerminatedSince(time: number): string[] {
    return this.blockMachines.terminatedSince(time);
  }

  /**
   * Machines whose first heartbeat was received at or after `time`, in ms of monotonic time; used wherever
   * tasks are dispatched to blocks.
   */
  machinesUpSince(time: number): string[] {
    return this.blockMachines.upSince(time);
  }

  /**
   * Updates the machine and its tasks from the heartbeat. Returns what the heartbeat proves and which
   * commands to send.
   */
  applyHeartbeat(machine: MachineState, heartbeat: Heartbeat, mayStart: boolean): Reconciliation {
    const now = this.options.clock();
    const result = reconcile(machine, heartbeat, { now, mayStart, jobs: this.jobs });
    this.blockMachines.trackOrphans(machine);
    for (const finding of result.findings) applyFinding(this, machine, finding, now);
    return result;
  }

  /** Removes a machine that is proven terminated, requeues its tasks and returns them. */
  removeTerminated(id: string): Task[] {
    const tasks = [...(this.machines.get(id)?.tasks.values() ?? [])];
    for (const task of tasks) this.unassign(task);
    this.blockMachines.removeTerminated(id);
    return tasks;
  }

  /**
   * The machine that the task is assigned to; undefined if the task waits or the block does not have the
   * machine.
   */
  machineOf({ machine }: Task): MachineState | undefined {
    return machine === undefined ? undefined : this.machines.get(machine);
  }

  /** Adds a task to the tasks of the machine that was chosen for it. */
  addTask(task: Task, machine: MachineState): void {
    machine.tasks.set(keyOfTask(task), task);
  }

  /** Requeues a task once it is proven that no machine has the task. */
  unassign(task: Task): void {
    this.queue.invalidate();
    this.machineOf(task)?.tasks.delete(keyOfTask(task));
    task.job.unassignTask(task, this.options.clock());
  }

  /**
   * The resources of all tasks that are or may be on machines, by team. This includes tasks that no heartbeat
   * has reported yet, tasks that are saving a checkpoint, and tasks on unreachable machines.
   */
  teamUsage(): TeamUsage {
    const usage = new TeamUsage();
    for (const job of this.jobs.values())
      if (job.activeCount > 0) usage.add(job.team, job.need, job.activeCount);
    this.blockMachines.addOrphanUsage(usage);
    return usage;
  }

  /**
   * The team with its limits reduced to this block's share; undefined if the settings do not have the team.
   */
  teamWithBlockShare(name: string): Team | undefined {
    return this.quotas.teamWithBlockShare(name);
  }

  /**
   * Withdraws uncommitted intents that the block's present record does not allow. An intent may have been
   * chosen under an earlier record, but its next commit is conditioned on the present one, so a disallowed
   * intent must not be part of that commit: the leader may already have given the machine or the quota to
   * another block.
   */
  private withdrawDisallowedIntents(): void {
    const placing = [...this.jobs.values()].flatMap((job) => (job.activeCount > 0 ? job.placingTasks() : []));
    if (placing.length === 0) return;
    const usage = this.teamUsage();
    for (const task of placing) {
      const { team, need } = task.job;
      const machine = this.machineOf(task);
      const mayBeUsed = machine !== undefined && !machine.draining;
      if (mayBeUsed && !usage.exceedsLimit(this.teamWithBlockShare(team))) continue;
      usage.add(team, need, -1);
      this.unassign(task);
    }
  }

  /**
   * Withdraws the job's intents that are not committed and will not be. If a commit of the page is under way,
   * its outcome decides.
   */
  private withdrawIntents(job: JobState): void {
    for (const task of [...job.tasks.values()]) {
      if (task.phase === 'placing' && job.recorder.pageOf(task.index)?.isCommitting !== true)
        this.unassign(task);
    }
  }

  /** Returns the job of this block that the change affects, if any. */
  private applyChange({ key, value, version, deleted }: Change): JobState | undefined {
    if (deleted) return this.applyDeletion(key);
    if (key.startsWith('job/')) return this.applyJobRecord(key, value, version);
    const record = parseOutcome(value);
    const job = this.jobs.get(jobOfOutcomeKey(key) ?? '');
    if (job && record) this.endJob(job, record.outcome);
    return job;
  }

  /**
   * The commit that writes a job's outcome also deletes the job's record. After a gap in the stream of
   * changes, this deletion may be the only change that is received, so it ends the job as well.
   */
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
    // The leader takes back only tasks that have not started. A task outside the new ranges has at most an
    // uncommitted intent, and a commit of that intent that is under way will fail.
    for (const task of [...job.tasks.values()]) {
      if (task.phase === 'placing' && !job.dispatchedRanges.has(task.index)) this.unassign(task);
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
