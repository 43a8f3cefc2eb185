/**
 * Keeps the state of one job in one block: its tasks and the phase of each task. A block is a set of machines
 * that is leased to one controller.
 */
import { expandRanges } from '../base/ranges.js';
import { type JobSpec, type Resources, taskKey } from '../model/types.js';
import type { Outcome, TaskRange } from '../wire/job-records.js';
import type { LedgerEntry } from '../wire/ledger-records.js';
import { DispatchedRanges } from './dispatched-ranges.js';
import type { TaskRecorder } from './task-recorder.js';

/**
 * The phase of a task.
 *
 * - `waiting`: the task is on no machine.
 * - `placing`: a machine is chosen for a new attempt, but the ledger entry that records this attempt (the
 *   intent) is not committed yet. The start command must not be sent.
 * - `placed`: the intent is committed, so the machine may have received the start command.
 * - `seen`: a heartbeat of the machine has reported the task.
 */
export type TaskPhase = 'waiting' | 'placing' | 'placed' | 'seen';

/** A task that has been placed at least once or is about to be placed. */
export interface Task {
  readonly job: JobState;
  /** Index of the task within its job, from 0. */
  readonly index: number;
  /**
   * Number of times that the task has been placed on a machine. Workers distinguish the attempts of a task by
   * this number.
   */
  attempt: number;
  phase: TaskPhase;
  /** Id of the machine that the task is assigned to; undefined while the task is waiting. */
  machine: string | undefined;
  /** Whether the latest heartbeat that reported this attempt reported it as running. */
  running: boolean;
  /**
   * Monotonic time in ms at which the start command of this attempt was first sent; undefined before that.
   */
  startSentAt: number | undefined;
  /**
   * Monotonic time in ms at which a heartbeat first reported this attempt as running; undefined before that.
   */
  runningSince: number | undefined;
  /**
   * Whether the task is being stopped as a straggler: it runs far longer than other tasks of its job and has
   * to be restarted on another machine.
   */
  stopping: boolean;
}

/** A task that is assigned to a machine: it is, may be or is about to be on this machine. */
export interface AssignedTask extends Task {
  phase: Exclude<TaskPhase, 'waiting'>;
  machine: string;
}

/** The block to which a job's state belongs, with a factory for the recorder of the job's tasks. */
export interface OwningBlock {
  /** Number of the block. */
  readonly block: number;
  /** Creates the recorder that writes the job's tasks to the ledger of the block. */
  createRecorder: (job: JobState) => TaskRecorder;
}

/** The properties of a job when its state is created. */
export interface JobStateOptions {
  id: string;
  /** Undefined if the job's record has been deleted. */
  spec: JobSpec | undefined;
  team: string;
  /** Resources that one task uses on its machine. They also count towards the team's limit. */
  need: Resources;
  /**
   * Version of the job's record, i.e. the store revision of its latest change; 0 if the record has been
   * deleted.
   */
  version: number;
  owner: OwningBlock;
}

/**
 * Maximum retry back-off of a job after repeated task failures, in ms. The back-off starts at one heartbeat
 * interval and doubles with each failure.
 */
const maxRetryBackoffMs = 60_000;
/** Maximum number of times that the back-off is doubled. */
const maxRetryBackoffDoublings = 10;

/** Whether the task is assigned to a machine, i.e. not waiting. */
export function isAssigned(task: Task): task is AssignedTask {
  return task.phase !== 'waiting';
}

/** Returns the key of the task in `MachineState.tasks`. */
export function keyOfTask({ job, index }: Task): string {
  return taskKey({ job: job.id, index });
}

/**
 * The state of a job in one block. It covers the task ranges that the leader has dispatched to the block. For
 * most jobs, these ranges contain all tasks. Tasks that have never been placed have no `Task` object, so a
 * job with 100,000 of them uses little memory. Every change of a task also marks its ledger entry to be
 * written.
 */
export class JobState {
  readonly id: string;
  readonly spec: JobSpec | undefined;
  readonly team: string;
  readonly need: Resources;
  readonly recorder: TaskRecorder;
  /** Version of the job's record that was applied last; 0 if the state was created without a record. */
  version: number;
  /**
   * Version of the job's record for which the store has reported a commit conflict. No task of the job is
   * placed until a newer version of the record has been read.
   */
  rejectedVersion: number | undefined;
  /** The ranges of the job's tasks that are dispatched to this block. */
  dispatchedRanges: DispatchedRanges;
  /**
   * Tasks that are not done and have been placed or are about to be placed, by index within the job.
   */
  readonly tasks = new Map<number, Task>();
  /** Outcome of the job; undefined while the job is open. */
  outcome: Outcome | undefined;
  /** True during a commit of the job's outcome, and during the retry delay after a failed commit. */
  isCommittingOutcome = false;
  /** Monotonic time in ms before which no task of the job is placed, because tasks have failed recently. */
  retryAt = 0;
  /** Number of tasks that have completed after a heartbeat had reported them as running. */
  completedRuns = 0;
  /** Longest run time of the tasks counted in `completedRuns`, in ms. */
  maxRunMs = 0;
  private readonly block: number;
  /** Indices of the block's tasks that are done, committed or not. */
  private readonly doneTasks = new Set<number>();
  /** Indices of the block's tasks that the stored ledger records as done. */
  private readonly committedDoneTasks = new Set<number>();
  private failureCount = 0;
  /** Index at which the search for the next never-placed task begins; lower indices need no check. */
  private nextUnstarted = 0;
  private assignedCount = 0;

  constructor({ id, spec, team, need, version, owner }: JobStateOptions) {
    this.id = id;
    this.spec = spec;
    this.team = team;
    this.need = need;
    this.version = version;
    this.block = owner.block;
    this.dispatchedRanges = new DispatchedRanges([], owner.block);
    this.recorder = owner.createRecorder(this);
  }

  /** Creates an open job. `assignRanges` has to be called afterwards to assign tasks to this block. */
  static fromSpec(spec: JobSpec, version: number, owner: OwningBlock): JobState {
    const { id, team, cpus, accelerators, memoryGb } = spec;
    return new JobState({ id, spec, team, need: { cpus, accelerators, memoryGb }, version, owner });
  }

  /**
   * Creates the state of a job whose record has been deleted, from one of the job's ledger entries. The job
   * has ended, but some of its tasks may still be on machines.
   */
  static fromLedgerEntry(entry: LedgerEntry, owner: OwningBlock): JobState {
    const { id, team, cpus, accelerators, memoryGb } = entry;
    const need = { cpus, accelerators, memoryGb };
    const job = new JobState({ id, spec: undefined, team, need, version: 0, owner });
    job.outcome = 'cancelled';
    return job;
  }

  /**
   * Applies a new version of the job's record, in which the leader dispatches ranges of the job's tasks to
   * blocks.
   */
  assignRanges(allRanges: readonly TaskRange[], version: number): void {
    this.version = version;
    this.dispatchedRanges = new DispatchedRanges(allRanges, this.block);
    this.nextUnstarted = this.dispatchedRanges.ranges[0]?.first ?? 0;
    // A waiting task outside the new ranges may now be dispatched to another block. It is removed here, so
    // that two blocks cannot start the same task.
    for (const task of this.tasks.values()) {
      if (!isAssigned(task) && !this.dispatchedRanges.has(task.index)) this.tasks.delete(task.index);
    }
  }

  /** Number of tasks that are assigned to machines, i.e. are, may be or are about to be on machines. */
  get activeCount(): number {
    return this.assignedCount;
  }

  /** Number of the block's tasks that are done, committed or not. */
  get doneCount(): number {
    return this.doneTasks.size;
  }

  /** Whether all tasks of the job are dispatched to this block. */
  get hasAllTasks(): boolean {
    return this.dispatchedRanges.count === this.spec?.tasks;
  }

  /**
   * Whether all tasks of the job in this block are done, committed or not. False if this state was created
   * without the job's record.
   */
  get isComplete(): boolean {
    return (
      this.spec !== undefined &&
      this.dispatchedRanges.count > 0 &&
      this.doneTasks.size === this.dispatchedRanges.count
    );
  }

  /** Whether the stored ledger records all tasks of the job in this block as done. */
  get isCompleteCommitted(): boolean {
    return this.isComplete && this.committedDoneTasks.size === this.dispatchedRanges.count;
  }

  /** Number of the block's tasks that are neither assigned to machines nor done; 0 if the job has ended. */
  get waitingCount(): number {
    if (this.outcome || !this.spec) return 0;
    return this.dispatchedRanges.count - this.doneTasks.size - this.assignedCount;
  }

  /** Whether the task is done, committed or not. */
  isDone(index: number): boolean {
    return this.doneTasks.has(index);
  }

  /**
   * Whether the stored ledger records the task as done. Only then may a `forget` command for the task be
   * sent, because the worker no longer reports the completion after this command.
   */
  isDoneCommitted(index: number): boolean {
    return this.committedDoneTasks.has(index);
  }

  /** Records that the stored ledger lists these tasks as done. Called after the commit of a ledger page. */
  markDoneCommitted(indices: number[]): void {
    for (const index of indices) this.committedDoneTasks.add(index);
  }

  /** Applies an entry of the stored ledger. Returns its tasks that are or may be on machines. */
  applyEntry(entry: LedgerEntry): AssignedTask[] {
    for (const index of expandRanges(entry.done)) {
      this.doneTasks.add(index);
      this.committedDoneTasks.add(index);
    }
    for (const [index, attempt] of entry.waiting) this.ensureTask(index, attempt);
    const active: AssignedTask[] = [];
    for (const [index, attempt, machine] of entry.active) {
      const task = this.ensureTask(index, attempt);
      this.assign(task, machine, 'placed');
      active.push(task);
    }
    return active;
  }

  /**
   * Returns the next task to place. The task stays in phase `waiting` until `placeTask` is called. Requeued
   * tasks come before tasks that were never placed.
   */
  nextWaitingTask(): Task | undefined {
    return this.nextRequeuedTask() ?? this.nextUnstartedTask();
  }

  /**
   * Assigns a waiting task to a machine and begins a new attempt. The start command must not be sent before
   * the ledger entry of the task has been committed.
   */
  placeTask(task: Task, machine: string, now: number): void {
    task.attempt++;
    this.assign(task, machine, 'placing');
    this.recorder.markDirty(task.index, 'immediate', now);
  }

  /**
   * Returns the task to phase `waiting`, or does nothing if the task is waiting already. May be called only
   * if no start command was sent for the attempt, or if there is proof that the task is on no machine.
   */
  unassignTask(task: Task, now: number): void {
    if (task.phase === 'waiting') return;
    task.phase = 'waiting';
    task.machine = undefined;
    task.running = false;
    this.assignedCount--;
    if (!this.dispatchedRanges.has(task.index)) this.tasks.delete(task.index);
    this.recorder.markDirty(task.index, 'deferred', now);
  }

  /**
   * Records that the task has completed. Returns false if the task was already done or is not dispatched to
   * this block.
   */
  finishTask(index: number, now: number): boolean {
    if (!this.dispatchedRanges.has(index) || this.isDone(index)) return false;
    const task = this.tasks.get(index);
    if (task && isAssigned(task)) this.assignedCount--;
    if (task?.runningSince !== undefined) {
      this.completedRuns++;
      this.maxRunMs = Math.max(this.maxRunMs, now - task.runningSince);
    }
    this.tasks.delete(index);
    this.doneTasks.add(index);
    this.failureCount = 0;
    // If the job has tasks in several blocks, the owner of one of them commits the outcome after the ledgers
    // of all these blocks record their tasks as done. So the last completion in this block is written
    // immediately.
    const urgency = this.isComplete && !this.hasAllTasks ? 'immediate' : 'deferred';
    this.recorder.markDirty(index, urgency, now);
    return true;
  }

  /**
   * Records the failure of a task. No task of the job is placed before an exponential back-off has ended, so
   * that a job whose tasks keep failing does not delay other jobs. The back-off after the first failure is
   * `initialBackoffMs`.
   */
  recordTaskFailure(now: number, initialBackoffMs: number): void {
    const doublings = Math.min(this.failureCount, maxRetryBackoffDoublings);
    this.failureCount++;
    this.retryAt = now + Math.min(maxRetryBackoffMs, initialBackoffMs * 2 ** doublings);
  }

  /** Returns the tasks in phase `placing`, i.e. whose intent is not committed yet. */
  placingTasks(): Task[] {
    return [...this.tasks.values()].filter((task) => task.phase === 'placing');
  }

  private nextRequeuedTask(): Task | undefined {
    for (const task of this.tasks.values())
      if (!isAssigned(task) && this.dispatchedRanges.has(task.index)) return task;
    return undefined;
  }

  private nextUnstartedTask(): Task | undefined {
    for (const { first, count } of this.dispatchedRanges.ranges) {
      const end = first + count;
      if (this.nextUnstarted >= end) continue;
      if (this.nextUnstarted < first) this.nextUnstarted = first;
      while (this.nextUnstarted < end && this.hasStarted(this.nextUnstarted)) this.nextUnstarted++;
      if (this.nextUnstarted < end) return this.ensureTask(this.nextUnstarted, 0);
    }
    return undefined;
  }

  private hasStarted(index: number): boolean {
    return this.doneTasks.has(index) || this.tasks.has(index);
  }

  private ensureTask(index: number, attempt: number): Task {
    let task = this.tasks.get(index);
    if (!task) {
      task = {
        job: this,
        index,
        attempt,
        phase: 'waiting',
        machine: undefined,
        running: false,
        startSentAt: undefined,
        runningSince: undefined,
        stopping: false,
      };
      this.tasks.set(index, task);
    }
    return task;
  }

  private assign(task: Task, machine: string, phase: 'placing' | 'placed'): asserts task is AssignedTask {
    if (task.phase === 'waiting') this.assignedCount++;
    task.phase = phase;
    task.machine = machine;
    task.startSentAt = undefined;
    task.runningSince = undefined;
    task.stopping = false;
  }
}
