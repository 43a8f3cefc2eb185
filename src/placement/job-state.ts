/** The tasks that one block has of a job, and what each of them is at. */
import { fromRanges } from '../base/ranges.js';
import { type JobSpec, type Resources, taskKey } from '../model/types.js';
import type { Outcome, TaskRange } from '../wire/job-records.js';
import type { LedgerEntry } from '../wire/ledger-records.js';
import { HeldRanges } from './held-ranges.js';
import type { TaskRecorder } from './task-recorder.js';

/**
 * `waiting`: on no machine. `placing`: a machine is chosen in memory only, and must not hear of it. `placed`: the intent is
 * committed, so the machine may have been told to start the task. `seen`: the machine has reported it.
 */
export type TaskPhase = 'waiting' | 'placing' | 'placed' | 'seen';

/** A task that has been started at least once, or is about to be. */
export interface Task {
  readonly job: JobState;
  /** Its number within the job, from 0. */
  readonly index: number;
  /** How often it has been placed; workers tell its attempts apart by this number. */
  attempt: number;
  phase: TaskPhase;
  /** The machine that it is on or is to start on; undefined while it waits. */
  machine: string | undefined;
  running: boolean;
  /** Steady time in ms at which its machine was first told to start it. */
  startSentAt: number | undefined;
  /** Steady time in ms at which it was first seen running. */
  runningSince: number | undefined;
  /** To be stopped, since it runs far longer than other tasks of its job: it starts again elsewhere. */
  stopping: boolean;
}

/** A task that is, may be or is about to be on a machine. */
export interface AssignedTask extends Task {
  phase: Exclude<TaskPhase, 'waiting'>;
  machine: string;
}

/** The block that has the tasks of a job, and how it records them. */
export interface OwningBlock {
  /** Number of the block. */
  readonly block: number;
  createRecorder: (job: JobState) => TaskRecorder;
}

/** What the state of a job begins with. */
export interface JobStateOptions {
  id: string;
  /** Unknown once the job's record has gone. */
  spec: JobSpec | undefined;
  team: string;
  /** What one task takes of its machine and of its team's limit. */
  need: Resources;
  /** Version of the job's record; 0 once the record has gone. */
  version: number;
  owner: OwningBlock;
}

/** The pause after repeated failures of a job's tasks doubles from one heartbeat interval up to this. */
const maxRetryPauseMs = 60_000;
const maxRetryPauseDoublings = 10;

/** Whether the task is, may be or is about to be on a machine. */
export function isAssigned(task: Task): task is AssignedTask {
  return task.phase !== 'waiting';
}

/** The name of the task among those of its machine. */
export function keyOfTask({ job, index }: Task): string {
  return taskKey({ job: job.id, index });
}

/**
 * What one block has of a job: for most jobs all its tasks, else the ranges that the leader has dispatched to it. Tasks
 * that never started exist only as numbers, so 100,000 of them cost little. Whatever changes of a task is marked for the
 * ledger in the same step.
 */
export class JobState {
  readonly id: string;
  readonly spec: JobSpec | undefined;
  readonly team: string;
  readonly need: Resources;
  readonly recorder: TaskRecorder;
  /** Version of the job's record that this state follows. */
  version: number;
  /** The version of its record that the store has turned down: no task is placed until a newer one is read. */
  rejectedVersion: number | undefined;
  /** The tasks that are this block's. */
  held: HeldRanges;
  /** Tasks that are or were on a machine and are not done, and those about to start, by index. */
  readonly tasks = new Map<number, Task>();
  /** Set once the job has ended. */
  outcome: Outcome | undefined;
  /** A commit of the job's outcome is under way. */
  isCommittingOutcome = false;
  /** Steady time in ms before which no task of the job is started, since tasks have failed lately. */
  retryAt = 0;
  /** Completed tasks that were seen running. */
  completedRuns = 0;
  /** The longest that one of them ran, in ms. */
  maxRunMs = 0;
  private readonly block: number;
  private readonly doneTasks = new Set<number>();
  private readonly committedDoneTasks = new Set<number>();
  private failureCount = 0;
  /** No task with a lower number has yet to start for the first time. */
  private nextUnstarted = 0;
  private assignedCount = 0;

  constructor({ id, spec, team, need, version, owner }: JobStateOptions) {
    this.id = id;
    this.spec = spec;
    this.team = team;
    this.need = need;
    this.version = version;
    this.block = owner.block;
    this.held = new HeldRanges([], owner.block);
    this.recorder = owner.createRecorder(this);
  }

  /** An open job as its record has it, so far without any tasks of this block. */
  static fromSpec(spec: JobSpec, version: number, owner: OwningBlock): JobState {
    const { id, team, cpus, accelerators, memoryGb } = spec;
    return new JobState({ id, spec, team, need: { cpus, accelerators, memoryGb }, version, owner });
  }

  /** A job whose record has gone: it has ended, yet tasks of it may still be on machines. */
  static fromLedgerEntry(entry: LedgerEntry, owner: OwningBlock): JobState {
    const { id, team, cpus, accelerators, memoryGb } = entry;
    const need = { cpus, accelerators, memoryGb };
    const job = new JobState({ id, spec: undefined, team, need, version: 0, owner });
    job.outcome = 'cancelled';
    return job;
  }

  /** Follows the job's record, in which the leader assigns its tasks to blocks. */
  assignRanges(allRanges: readonly TaskRange[], version: number): void {
    this.version = version;
    this.held = new HeldRanges(allRanges, this.block);
    this.nextUnstarted = this.held.ranges[0]?.first ?? 0;
    // A task whose intent was never committed is nothing but a number, and may now be another block's: were it kept,
    // two blocks would start it.
    for (const task of this.tasks.values()) {
      if (!isAssigned(task) && !this.held.has(task.index)) this.tasks.delete(task.index);
    }
  }

  /** How many tasks are, may be or are about to be on machines. */
  get activeCount(): number {
    return this.assignedCount;
  }

  /** How many of the block's tasks are done, committed or not. */
  get doneCount(): number {
    return this.doneTasks.size;
  }

  /** All of the job's tasks are this block's. */
  get holdsAllTasks(): boolean {
    return this.held.count === this.spec?.tasks;
  }

  /** All tasks that this block has of the job are done. */
  get isComplete(): boolean {
    return this.spec !== undefined && this.held.count > 0 && this.doneTasks.size === this.held.count;
  }

  /** All tasks that this block has of the job are done, and the ledger in the store says so. */
  get isCompleteCommitted(): boolean {
    return this.isComplete && this.committedDoneTasks.size === this.held.count;
  }

  /** How many tasks are neither on machines nor done; none once the job has ended. */
  get waitingCount(): number {
    if (this.outcome || !this.spec) return 0;
    return this.held.count - this.doneTasks.size - this.assignedCount;
  }

  /** Whether the task is done, committed or not. */
  isDone(index: number): boolean {
    return this.doneTasks.has(index);
  }

  /** Whether the ledger in the store has the task as done: only then may its machine be told to forget it. */
  isDoneCommitted(index: number): boolean {
    return this.committedDoneTasks.has(index);
  }

  /** Notes that the ledger in the store has these tasks as done. */
  markDoneCommitted(indices: number[]): void {
    for (const index of indices) this.committedDoneTasks.add(index);
  }

  /** Takes over what an entry of the stored ledger says, and returns the tasks that are on machines. */
  applyEntry(entry: LedgerEntry): AssignedTask[] {
    for (const index of fromRanges(entry.done)) {
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

  /** The next task to start, which stays waiting: one that has come back from a machine first. */
  nextWaitingTask(): Task | undefined {
    return this.nextReturnedTask() ?? this.nextUnstartedTask();
  }

  /** Chooses a machine for a waiting task; no machine may hear of it before the ledger has been committed. */
  placeTask(task: Task, machine: string, now: number): void {
    task.attempt++;
    this.assign(task, machine, 'placing');
    this.recorder.markDirty(task.index, 'immediate', now);
  }

  /** Has the task wait again. Called only on evidence that it is on no machine; does nothing if it waits already. */
  unassignTask(task: Task, now: number): void {
    if (task.phase === 'waiting') return;
    task.phase = 'waiting';
    task.machine = undefined;
    task.running = false;
    this.assignedCount--;
    if (!this.held.has(task.index)) this.tasks.delete(task.index);
    this.recorder.markDirty(task.index, 'deferred', now);
  }

  /** Notes that the task has completed. False if that was known, or the task is not this block's (any more). */
  finishTask(index: number, now: number): boolean {
    if (!this.held.has(index) || this.isDone(index)) return false;
    const task = this.tasks.get(index);
    if (task && isAssigned(task)) this.assignedCount--;
    if (task?.runningSince !== undefined) {
      this.completedRuns++;
      this.maxRunMs = Math.max(this.maxRunMs, now - task.runningSince);
    }
    this.tasks.delete(index);
    this.doneTasks.add(index);
    this.failureCount = 0;
    // The block that commits the job's outcome waits until all others have recorded that their tasks are done.
    const urgency = this.isComplete && !this.holdsAllTasks ? 'immediate' : 'deferred';
    this.recorder.markDirty(index, urgency, now);
    return true;
  }

  /** A task has failed: the job's next start waits, longer with each failure, so that it does not hold up others. */
  noteFailure(now: number, firstPauseMs: number): void {
    const doublings = Math.min(this.failureCount, maxRetryPauseDoublings);
    this.failureCount++;
    this.retryAt = now + Math.min(maxRetryPauseMs, firstPauseMs * 2 ** doublings);
  }

  /** Tasks whose intent is not committed yet. */
  placingTasks(): Task[] {
    return [...this.tasks.values()].filter((task) => task.phase === 'placing');
  }

  private nextReturnedTask(): Task | undefined {
    for (const task of this.tasks.values()) if (!isAssigned(task) && this.held.has(task.index)) return task;
    return undefined;
  }

  private nextUnstartedTask(): Task | undefined {
    for (const { first, count } of this.held.ranges) {
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
