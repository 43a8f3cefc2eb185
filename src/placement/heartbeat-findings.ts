/**
 * Applies findings, which are facts about tasks that a machine's heartbeat proves, to the state of a block.
 */
import { type JobState, keyOfTask, type Task } from './job-state.js';
import type { MachineState } from './machine-state.js';
import type { Finding } from './reconciliation.js';

/** The state of the block to which findings are applied. */
export interface FindingTarget {
  /** Returns a task to phase `waiting`. May be called only if it is proven that the task is on no machine. */
  unassign(task: Task): void;
  /**
   * Returns the machine to which the task is assigned; undefined if the task waits or the machine does not
   * belong to the block.
   */
  machineOf(task: Task): MachineState | undefined;
  /** Called when all of the job's tasks that belong to this block are done. */
  markJobCompleted(job: JobState): void;
  /** Initial retry back-off of a job in ms, after the first failure of one of its tasks. */
  readonly initialRetryBackoffMs: number;
}

/**
 * Reported causes that count as failures. They are failures of the machine or the job, and not results of a
 * controller's command.
 */
const failureCauses: ReadonlySet<string> = new Set(['error']);
/** Cause that a worker reports if it rejects a start command because it cannot find the job or the task. */
const unknownTaskCause = 'no_such';

/**
 * Applies one finding from a heartbeat to the block and to the machine.
 *
 * @param target the state of the block
 * @param machine the machine that sent the heartbeat
 * @param finding the finding to apply
 * @param now monotonic time in ms
 */
export function applyFinding(
  target: FindingTarget,
  machine: MachineState,
  finding: Finding,
  now: number,
): void {
  switch (finding.kind) {
    case 'seen':
      applyTaskSeen(machine, finding.task, finding.running, now);
      break;
    case 'completed':
      applyTaskCompleted(target, finding.job, finding.index, now);
      break;
    case 'left':
      target.unassign(finding.task);
      recordCause(target, machine, finding.task.job, finding.cause, now);
      break;
  }
}

function applyTaskSeen(machine: MachineState, task: Task, running: boolean, now: number): void {
  task.phase = 'seen';
  task.running = running;
  if (!running) return;
  task.runningSince ??= now;
  if (task.job.spec) machine.cachedImages.add(task.job.spec.image);
}

function applyTaskCompleted(target: FindingTarget, job: JobState, index: number, now: number): void {
  const task = job.tasks.get(index);
  // If the leader has recalled the task from this block in the meantime, `finishTask` returns false and the
  // task stays assigned to its machine. The worker reports the completion in every heartbeat until it
  // receives a `forget` command. So the completion is recorded after the leader has returned the task to this
  // block.
  if (!job.finishTask(index, now)) return;
  if (job.isComplete) target.markJobCompleted(job);
  if (task) target.machineOf(task)?.tasks.delete(keyOfTask(task));
}

function recordCause(
  target: FindingTarget,
  machine: MachineState,
  job: JobState,
  cause: string,
  now: number,
): void {
  if (job.outcome) return;
  const isFailure = failureCauses.has(cause);
  if (isFailure) machine.recordFailedJob(job.id);
  if (isFailure || cause === unknownTaskCause) job.recordTaskFailure(now, target.initialRetryBackoffMs);
}
