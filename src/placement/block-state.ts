/**
 * Keeps the state of one block in the memory of the controller that owns the block. A block is a set of
 * machines, with the jobs and tasks placed on them, that is leased to one controller.
 */
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
import { type DependencyConstraints, QueueOrder } from './queue-order.js';
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

/** The settings and dependencies of a block's state. */
export interface BlockStateOptions {
  /** Number of the block. */
  block: number;
  /**
   * Layout of the block's ledger. If an entry of the stored ledger has a smaller chunk size than this layout,
   * the smallest stored chunk size is used instead.
   */
  layout: LedgerLayout;
  heartbeatIntervalMs: number;
  clock: Clock;
  /**
   * Returns the wall-clock time in ms since the epoch, the time base of job timestamps. Default: the system
   * clock.
   */
  wallClock?: () => number;
  /** Order in which waiting jobs start. Default: an order without objectives for any job. */
  queueOrder?: QueueOrder;
  /**
   * Returns how a job's dependencies and dependents affect the position of the job in the queue. Default:
   * jobs are sorted as if they had no dependencies or dependents.
   */
  dependencyConstraintsOf?: (spec: JobSpec) => DependencyConstraints;
  /** The teams from the settings, by name. The block may use only its share of each team's limits. */
  teams: ReadonlyMap<string, Team>;
}

/** Maximum age of the sorted queue of waiting jobs, in heartbeat intervals. Older queues are sorted again. */
const resortIntervalHeartbeats = 0.25;
/**
 * Retention time of the ids of terminated machines, in heartbeat intervals. The leader removes a terminated
 * machine from the block's record within this time.
 */
const terminatedRetentionHeartbeats = 60;

/**
 * The state of one block. It is rebuilt from the store when the lease of the block begins. Afterwards it is
 * updated from the block's record, the records and outcomes of jobs, and the heartbeats of machines. After
 * the start command of a task may have been sent, the task is unassigned from its machine only on evidence
 * that the task is not on the machine. Every change of a task immediately marks a page of the ledger as
 * dirty.
 */
export class BlockState implements FindingTarget {
  /** Jobs whose tasks are dispatched to this block or recorded in its ledger, by job id. */
  readonly jobs = new Map<string, JobState>();
  readonly ledger: Ledger;
  /** Initial retry back-off of a job in ms, after the first failure of one of its tasks. */
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
      dependencyConstraintsOf: options.dependencyConstraintsOf,
      clock,
      wallClock: options.wallClock ?? Date.now,
      maxAgeMs: heartbeatIntervalMs * resortIntervalHeartbeats,
    });
  }

  /** Number of the block. */
  get block(): number {
    return this.options.block;
  }

  /**
   * Version of the block's record that was applied last, i.e. the store revision of the record's latest
   * change; 0 before a record is applied.
   */
  get version(): number {
    return this.blockVersion;
  }

  /**
   * The block's machines by id. This includes machines that appear only in the ledger and not in the block's
   * record.
   */
  get machines(): ReadonlyMap<string, MachineState> {
    return this.blockMachines.byId;
  }

  /**
   * Loads the block's jobs and ledger from the controller's replica of the store. Called once, before all
   * other methods.
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
   * Applies the block's record, in which the leader lists the block's machines and the block's share of each
   * team's limits.
   */
  applyBlockRecord(record: BlockRecord, version: number): void {
    this.blockVersion = version;
    this.quotas.shares = record.quotaShares;
    this.blockMachines.applyRecord(record);
    this.withdrawDisallowedIntents();
  }

  /**
   * Applies changes to job records, which contain the dispatched task ranges, and to job outcomes. Other
   * controllers may have committed these changes. Changes of the block's ledger are not included, because
   * only the block's owner writes the ledger. Returns true if at least one change affects a job of this
   * block.
   */
  applyChanges(changes: Change[]): boolean {
    let affectsBlock = false;
    for (const change of changes) {
      const job = this.applyChange(change);
      affectsBlock ||= job !== undefined;
    }
    return affectsBlock;
  }

  /** Returns the open jobs with waiting tasks, in the order in which the jobs are to start. */
  waitingJobs(): JobState[] {
    return this.queue.jobs();
  }

  /**
   * Records that all tasks of the job in this block are done. The next `takeCompletedJobs` returns the job.
   */
  markJobCompleted(job: JobState): void {
    this.completedJobs.add(job);
  }

  /** Returns and clears the jobs that were marked as completed since the previous call. */
  takeCompletedJobs(): JobState[] {
    const completed = [...this.completedJobs];
    this.completedJobs.clear();
    return completed;
  }

  /**
   * Records the job's outcome. No task of the job is started afterwards. If a machine with tasks of the job
   * waits for a heartbeat response that is held open, the response is sent immediately.
   */
  endJob(job: JobState, outcome: Outcome): void {
    this.queue.invalidate();
    job.outcome ??= outcome;
    this.withdrawIntents(job);
    for (const task of job.tasks.values()) this.machineOf(task)?.sendHeldResponse?.();
  }

  /** Whether the cloud has confirmed, within the retention time, that the machine is terminated. */
  isTerminated(machine: string): boolean {
    return this.blockMachines.isTerminated(machine);
  }

  /**
   * Returns the ids of machines that were confirmed as terminated at or after `time` (monotonic, in ms). The
   * controller reports these ids to its peers. The leader removes the machines from the blocks.
   */
  machinesTerminatedSince(time: number): string[] {
    return this.blockMachines.terminatedSince(time);
  }

  /**
   * Returns the ids of machines whose first heartbeat was received at or after `time` (monotonic, in ms). The
   * controller reports these ids to its peers, because tasks on booted machines can start immediately. This
   * is taken into account when tasks are dispatched to blocks.
   */
  machinesBootedSince(time: number): string[] {
    return this.blockMachines.bootedSince(time);
  }

  /**
   * Updates the machine and its tasks from a heartbeat.
   *
   * @param machine the machine whose worker sent the heartbeat
   * @param heartbeat the received heartbeat
   * @param mayStart whether start commands are allowed
   * @returns the classification of the heartbeat, the findings about tasks, which are applied already, and
   *   the commands to send to the worker
   */
  applyHeartbeat(machine: MachineState, heartbeat: Heartbeat, mayStart: boolean): Reconciliation {
    const now = this.options.clock();
    const result = reconcile(machine, heartbeat, { now, mayStart, jobs: this.jobs });
    this.blockMachines.trackOrphans(machine);
    for (const finding of result.findings) applyFinding(this, machine, finding, now);
    return result;
  }

  /** Removes a machine that the cloud has confirmed as terminated. Requeues and returns its tasks. */
  removeTerminated(id: string): Task[] {
    const tasks = [...(this.machines.get(id)?.tasks.values() ?? [])];
    for (const task of tasks) this.unassign(task);
    this.blockMachines.removeTerminated(id);
    return tasks;
  }

  /**
   * Returns the machine that the task is assigned to. Undefined if the task is waiting, or if its machine is
   * not in this block.
   */
  machineOf({ machine }: Task): MachineState | undefined {
    return machine === undefined ? undefined : this.machines.get(machine);
  }

  /** Adds a task to the machine that the task has been assigned to. */
  addTask(task: Task, machine: MachineState): void {
    machine.tasks.set(keyOfTask(task), task);
  }

  /**
   * Requeues a task. May be called only if no start command has been sent for its current attempt, or if
   * there is proof that the task is on no machine.
   */
  unassign(task: Task): void {
    this.queue.invalidate();
    this.machineOf(task)?.tasks.delete(keyOfTask(task));
    task.job.unassignTask(task, this.options.clock());
  }

  /**
   * Returns the resources, by team, of all tasks that are, may be or are about to be on machines. This
   * includes tasks that no heartbeat has reported yet, tasks that are saving a checkpoint, and tasks on
   * unreachable machines.
   */
  teamUsage(): TeamUsage {
    const usage = new TeamUsage();
    for (const job of this.jobs.values())
      if (job.activeCount > 0) usage.add(job.team, job.need, job.activeCount);
    this.blockMachines.addOrphanUsage(usage);
    return usage;
  }

  /**
   * Returns the team with its limits reduced to this block's share. Undefined if the team is not in the
   * settings.
   */
  teamWithBlockShare(name: string): Team | undefined {
    return this.quotas.teamWithBlockShare(name);
  }

  /**
   * Withdraws uncommitted intents that the block's current record does not allow. An intent is a task attempt
   * that must be committed to the ledger before its start command is sent. The machine may have been chosen
   * under an earlier version of the block's record, but the next commit of the intent is conditioned on the
   * current version. If the intent were part of that commit, the commit could succeed although the leader has
   * already assigned the machine or the quota to another block.
   */
  private withdrawDisallowedIntents(): void {
    const placingTasks = [...this.jobs.values()].flatMap((job) =>
      job.activeCount > 0 ? job.placingTasks() : [],
    );
    if (placingTasks.length === 0) return;
    const usage = this.teamUsage();
    for (const task of placingTasks) {
      const { team, need } = task.job;
      const machine = this.machineOf(task);
      const mayBeUsed = machine !== undefined && !machine.draining;
      if (mayBeUsed && !usage.exceedsLimit(this.teamWithBlockShare(team))) continue;
      usage.add(team, need, -1);
      this.unassign(task);
    }
  }

  /**
   * Withdraws the job's uncommitted intents. If a commit of the intent's ledger page is in progress, the
   * intent is kept until the outcome of this commit is known.
   */
  private withdrawIntents(job: JobState): void {
    for (const task of [...job.tasks.values()]) {
      if (task.phase === 'placing' && job.recorder.pageOf(task.index)?.isCommitting !== true)
        this.unassign(task);
    }
  }

  /** Applies one change. Returns the job of this block that the change affects, if there is one. */
  private applyChange({ key, value, version, deleted }: Change): JobState | undefined {
    if (deleted) return this.applyDeletion(key);
    if (key.startsWith('job/')) return this.applyJobRecord(key, value, version);
    const record = parseOutcome(value);
    const job = this.jobs.get(jobOfOutcomeKey(key) ?? '');
    if (job && record) this.endJob(job, record.outcome);
    return job;
  }

  /**
   * Handles the deletion of a job's record. The commit that writes a job's outcome also deletes the job's
   * record. After a gap in the stream of changes, the controller may receive only the deletion and not the
   * outcome, so the deletion also ends the job.
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
    // The new ranges may exclude a task whose intent is not committed yet, because the leader recalls tasks
    // that its replica of the store shows as waiting. Such an intent is withdrawn; no start command has been
    // sent for it. A commit of the intent that the store receives after the change of the job's record fails,
    // because the commit is conditioned on the previous version of the record. Tasks whose intents are
    // committed stay on their machines.
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
