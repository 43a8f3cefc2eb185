/** The tasks of one job in one block, with the phase of each task. */
import { expandRanges } from '../base/ranges.js';
import { type JobSpec, type Resources, taskKey } from '../model/types.js';
import type { Outcome, TaskRange } from '../wire/job-records.js';
import type { LedgerEntry } from '../wire/ledger-records.js';
import { DispatchedRanges } from './dispatched-ranges.js';
import type { TaskRecorder } from './task-recorder.js';

/**
 * `waiting`: the task is on no machine. `placing`: a machine is chosen in memory only; the machine must not
 * receive the task yet. `placed`: the intent is committed, so the machine may have received the command to
 * start the task. `seen`: the machine has reported the task.
 */
export type TaskPhase = 'waiting' | 'placing' | 'placed' | 'seen';

/** A task that has been started at least once or is about to be started. */
export interface Task {
  readonly job: JobState;
  /** Index of the task within its job, from 0. */
  readonly index: number;
  /** Number of times the task has been placed. Workers distinguish the attempts of a task by this number. */
  attempt: number;
  phase: TaskPhase;
  /** Id of the machine that runs the task or is to start it; undefined while the task waits. */
  machine: string | undefined;
  running: boolean;
  /** Monotonic time in ms at which the start command was first sent to the machine. */
  startSentAt: number | undefined;
  /** Monotonic time in ms at which a heartbeat first reported the task as running. */
  runningSince: number | undefined;
  /**
   * The task is a straggler: it runs far longer than other tasks of its job, and is stopped to start on
   * another machine.
   */
  stopping: boolean;
}

/** A task that is, may be or is about to be on a machine. */
export interface AssignedTask extends Task {
  phase: Exclude<TaskPhase, 'waiting'>;
  machine: string;
}

/** The block that a job's tasks belong to, with the factory for the recorder of its tasks. */
export interface OwningBlock {
  /** Number of the block. */
  readonly block: number;
  createRecorder: (job: JobState) => TaskRecorder;
}

/** The initial inputs of a job's state. */
export interface JobStateOptions {
  id: string;
  /** Undefined once the job's record has been deleted. */
  spec: JobSpec | undefined;
  team: string;
  /** Resources that one task uses of its machine and of its team's limit. */
  need: Resources;
  /** Version of the job's record; 0 once the record has been deleted. */
  version: number;
  owner: OwningBlock;
}

/**
 * Upper bound of a job's back-off after repeated task failures. The back-off starts at one heartbeat interval
 * and doubles with each failure.
 */
const maxRetryBackoffMs = 60_000;
const maxRetryBackoffDoublings = 10;

/** Whether the task is, may be or is about to be on a machine. */
export function isAssigned(task: Task): task is AssignedTask {
  return task.phase !== 'waiting';
}

/** The key of the task in the task map of its machine. */
export function keyOfTask({ job, index }: Task): string {
  return taskKey({ job: job.id, index });
}

/**
 * The state of a job in one block: for most jobs all tasks, otherwise the ranges that the leader has
 * dispatched to the block. A task that has never been started is represented by its index alone, so 100,000
 * such tasks cost little. Every change of a task is marked for the ledger in the same step.
 */
export class JobState {
  readonly id: string;
  readonly spec: JobSpec | undefined;
  readonly team: string;
  readonly need: Resources;
  readonly recorder: TaskRecorder;
  /** Version of the job's record that this state reflects. */
  version: number;
  /**
   * Version of the job's record that the store has rejected as a commit condition. No task is placed until a
   * newer version is read.
   */
  rejectedVersion: number | undefined;
  /** The job's tasks that belong to this block. */
  dispatchedRanges: DispatchedRanges;
  /**
   * Tasks by index: tasks that are or were on a machine and are not done, and tasks that are about to start.
   */
  readonly tasks = new Map<number, Task>();
  /** Set once the job has ended. */
  outcome: Outcome | undefined;
  /** True while a commit of the job's outcome is under way. */
  isCommittingOutcome = false;
  /** Monotonic time in ms before which no task of the job is started, because tasks have failed recently. */
  retryAt = 0;
  /** Number of completed tasks that heartbeats have reported as running. */
  completedRuns = 0;
  /** Longest run time among these tasks, in ms. */
  maxRunMs = 0;
  private readonly block: number;
  private readonly doneTasks = new Set<number>();
  private readonly committedDoneTasks = new Set<number>();
  private failureCount = 0;
  /** Every task of this block with a lower index has been started at least once. */
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

  /** Creates an open job from its record. The job has no tasks in this block yet. */
  static fromSpec(spec: JobSpec, version: number, owner: OwningBlock): JobState {
    const { id, team, cpus, accelerators, memoryGb } = spec;
    return new JobState({ id, spec, team, need: { cpus, accelerators, memoryGb }, version, owner });
  }

  /**
   * Creates a job whose record has been deleted. The job has ended, but some of its tasks may still be on
   * machines.
   */
  static fromLedgerEntry(entry: LedgerEntry, owner: OwningBlock): JobState {
    const { id, team, cpus, accelerators, memoryGb } = entry;
    const need = { cpus, accelerators, memoryGb };
    const job = new JobState({ id, spec: undefined, team, need, version: 0, owner });
    job.outcome = 'cancelled';
    return job;
  }

  /** Applies the job's record, in which the leader assigns the job's tasks to blocks. */
  assignRanges(allRanges: readonly TaskRange[], version: number): void {
    this.version = version;
    this.dispatchedRanges = new DispatchedRanges(allRanges, this.block);
    this.nextUnstarted = this.dispatchedRanges.ranges[0]?.first ?? 0;
    // A task whose intent was never committed may now belong to another block. It is removed here, so that
    // two blocks cannot start it; it remains as an index only.
    for (const task of this.tasks.values()) {
      if (!isAssigned(task) && !this.dispatchedRanges.has(task.index)) this.tasks.delete(task.index);
    }
  }

  /** Number of tasks that are, may be or are about to be on machines. */
  get activeCount(): number {
    return this.assignedCount;
  }

  /** Number of the block's tasks that are done, committed or not. */
  get doneCount(): number {
    return this.doneTasks.size;
  }

  /** Whether all tasks of the job belong to this block. */
  get hasAllTasks(): boolean {
    return this.dispatchedRanges.count === this.spec?.tasks;
  }

  /** Whether all tasks of the job in this block are done. */
  get isComplete(): boolean {
    return (
      this.spec !== undefined &&
      this.dispatchedRanges.count > 0 &&
      this.doneTasks.size === this.dispatchedRanges.count
    );
  }

  /** Whether all tasks of the job in this block are done and the stored ledger records them as done. */
  get isCompleteCommitted(): boolean {
    return this.isComplete && this.committedDoneTasks.size === this.dispatchedRanges.count;
  }

  /** Number of tasks that are neither on machines nor done; 0 once the job has ended. */
  get waitingCount(): number {
    if (this.outcome || !this.spec) return 0;
    return this.dispatchedRanges.count - this.doneTasks.size - this.assignedCount;
  }

  /** Whether the task is done, committed or not. */
  isDone(index: number): boolean {
    return this.doneTasks.has(index);
  }

  /**
   * Whether the stored ledger records the task as done. Only then may the machine receive a `forget` command
   * for it.
   */
  isDoneCommitted(index: number): boolean {
    return this.committedDoneTasks.has(index);
  }

  /** Records that the stored ledger has these tasks as done. */
  markDoneCommitted(indices: number[]): void {
    for (const index of indices) this.committedDoneTasks.add(index);
  }

  /** Applies an entry of the stored ledger and returns its tasks that are on machines. */
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
   * Returns the next task to start, which remains in phase `waiting`. Tasks that were requeued from a machine
   * come first.
   */
  nextWaitingTask(): Task | undefined {
    return this.nextRequeuedTask() ?? this.nextUnstartedTask();
  }

  /**
   * Assigns a waiting task to a machine. The machine must not receive the task before the ledger is
   * committed.
   */
  placeTask(task: Task, machine: string, now: number): void {
    task.attempt++;
    this.assign(task, machine, 'placing');
    this.recorder.markDirty(task.index, 'immediate', now);
  }

  /**
   * Returns the task to the waiting state. Called only on evidence that the task is on no machine; does
   * nothing if the task is waiting already.
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
   * Records that the task has completed. Returns false if the task was already done or does not belong to
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
    // The block that commits the job's outcome waits until all other blocks have recorded their tasks as
    // done.
    const urgency = this.isComplete && !this.hasAllTasks ? 'immediate' : 'deferred';
    this.recorder.markDirty(index, urgency, now);
    return true;
  }

  /**
   * Records the failure of a task. Further starts of the job are delayed, with an exponential back-off from
   * `initialBackoffMs`, so that the job does not delay other jobs.
   */
  recordTaskFailure(now: number, initialBackoffMs: number): void {
    const doublings = Math.min(this.failureCount, maxRetryBackoffDoublings);
    this.failureCount++;
    this.retryAt = now + Math.min(maxRetryBackoffMs, initialBackoffMs * 2 ** doublings);
  }

  /** Tasks whose intent is not committed yet. */
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
