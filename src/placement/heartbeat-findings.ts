/** What the findings of a heartbeat change in the state of a block. */
import { type JobState, keyOfTask, type Task } from './job-state.js';
import type { MachineState } from './machine-state.js';
import type { Finding } from './reconciliation.js';

/** The state of the block that a finding is applied to. */
export interface FindingTarget {
  /** Has a task wait again of which it is proven that no machine has it. */
  unassign(task: Task): void;
  machineOf(task: Task): MachineState | undefined;
  /** The last task that the block has of the job is done. */
  noteCompleted(job: JobState): void;
  /** The first pause of a job whose task has failed, in ms. */
  readonly firstRetryPauseMs: number;
}

/** Causes of a task's end that speak against the machine or the job, rather than being our own doing. */
const failureCauses: ReadonlySet<string> = new Set(['error']);
/** The cause by which a worker refuses to start a task, since it knows no such job or task. */
const unknownTaskCause = 'no_such';

/** Applies one finding of the machine's heartbeat; `now` is steady time in ms. */
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
      noteCause(target, machine, finding.task.job, finding.cause, now);
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
  // One that the leader has recalled meanwhile stays with its machine until it is this block's again.
  if (!job.finishTask(index, now)) return;
  if (job.isComplete) target.noteCompleted(job);
  if (task) target.machineOf(task)?.tasks.delete(keyOfTask(task));
}

function noteCause(
  target: FindingTarget,
  machine: MachineState,
  job: JobState,
  cause: string,
  now: number,
): void {
  if (job.outcome) return;
  const isFailure = failureCauses.has(cause);
  if (isFailure) machine.noteFailedJob(job.id);
  if (isFailure || cause === unknownTaskCause) job.noteFailure(now, target.firstRetryPauseMs);
}
