/**
 * Compares a worker's heartbeat with the tasks that are intended to be on its machine, and derives findings
 * and commands for the worker from the differences.
 */
import {
  type Heartbeat,
  type ReportedTask,
  type Resources,
  taskKey,
  type WorkerCommand,
} from '../model/types.js';
import type { JobState, Task } from './job-state.js';
import type { MachineState } from './machine-state.js';

/**
 * A fact about a task that is proven by a heartbeat; no finding is derived from a time-out. `completed`: some
 * attempt of the task has completed. `left`: the current attempt of the task has ended without completing, or
 * is not on the machine. `seen`: the current attempt is on the machine.
 */
export type Finding =
  | { kind: 'completed'; job: JobState; index: number }
  | { kind: 'left'; task: Task; cause: string }
  | { kind: 'seen'; task: Task; running: boolean };

/**
 * Classification of a heartbeat. `stale`: a later heartbeat of the worker has already been processed.
 * `outranked`: the worker has received a fencing token that is higher than the machine's current token.
 * `unreconciled`: the worker has not received the current token yet. `reconciled`: the worker has received
 * the current token. The reported tasks are used only if the heartbeat is `reconciled`.
 */
export type ReconciliationStatus = 'stale' | 'outranked' | 'unreconciled' | 'reconciled';

/** The result of processing a heartbeat. */
export interface Reconciliation {
  status: ReconciliationStatus;
  findings: Finding[];
  commands: WorkerCommand[];
}

/** The state, besides that of the machine, from which the commands for the worker are derived. */
export interface ReconciliationInputs {
  /** Monotonic time in ms. */
  now: number;
  /** The jobs of the block, by job id. */
  jobs: ReadonlyMap<string, JobState>;
  /**
   * False if no task may be started, for example because the controller cannot reach the state service.
   */
  mayStart: boolean;
}

const noResources: Resources = { cpus: 0, accelerators: 0, memoryGb: 0 };

/**
 * Updates the state of the machine from the heartbeat, including the list of orphaned tasks (reported tasks
 * that are not intended to be on the machine). The states of tasks are not changed. Instead, the changes are
 * returned as findings, which the caller has to apply.
 */
export function reconcile(
  machine: MachineState,
  heartbeat: Heartbeat,
  inputs: ReconciliationInputs,
): Reconciliation {
  const result: Reconciliation = {
    status: acceptHeartbeat(machine, heartbeat, inputs.now),
    findings: [],
    commands: [],
  };
  if (result.status !== 'reconciled') return result;
  const reportedByTask = groupByTask(heartbeat.tasks);
  for (const [key, task] of machine.tasks) {
    if (task.phase !== 'placing') reconcileIntent(task, reportedByTask.get(key) ?? [], inputs, result);
  }
  machine.orphanedTasks = [];
  for (const task of heartbeat.tasks) reconcileReportedTask(machine, task, inputs, result);
  return result;
}

/**
 * Updates the attributes of the machine from the heartbeat and returns the reconciliation status. Changes
 * nothing if the heartbeat is stale, or if the worker has received a higher fencing token because another
 * controller owns the machine.
 */
function acceptHeartbeat(machine: MachineState, heartbeat: Heartbeat, now: number): ReconciliationStatus {
  if (heartbeat.fencingToken > machine.fencingToken) return 'outranked';
  // A later heartbeat has been processed before this one, for example because a network partition delayed
  // this heartbeat. So its list of tasks is out of date.
  if (!isNewer(heartbeat, machine)) return 'stale';
  machine.agentEpoch = heartbeat.agentEpoch;
  machine.sequence = heartbeat.sequence;
  machine.lastHeartbeatAt = now;
  if (!machine.hasSentHeartbeat) machine.firstHeartbeatAt = now;
  machine.hasSentHeartbeat = true;
  machine.address = heartbeat.address;
  machine.preemptionNoticeS = heartbeat.preemptionNoticeS;
  // Until the worker has received the machine's current token, it may still accept a command from an earlier
  // owner of the machine.
  machine.reconciled = heartbeat.fencingToken === machine.fencingToken;
  return machine.reconciled ? 'reconciled' : 'unreconciled';
}

function isNewer({ agentEpoch, sequence }: Heartbeat, machine: MachineState): boolean {
  return (
    agentEpoch > machine.agentEpoch || (agentEpoch === machine.agentEpoch && sequence > machine.sequence)
  );
}

/** Groups the reported attempts by task, because a worker may report several attempts of the same task. */
function groupByTask(reported: ReportedTask[]): Map<string, ReportedTask[]> {
  const byTask = new Map<string, ReportedTask[]>();
  for (const task of reported) {
    const key = taskKey(task);
    byTask.set(key, [...(byTask.get(key) ?? []), task]);
  }
  return byTask;
}

/** Compares a task that is intended to be on the machine with the reported attempts of this task. */
function reconcileIntent(
  task: Task,
  reported: ReportedTask[],
  inputs: ReconciliationInputs,
  result: Reconciliation,
): void {
  const reportedAttempt = reported.find((r) => r.attempt === task.attempt);
  if (reportedAttempt) reconcileReportedAttempt(task, reportedAttempt, result);
  else reconcileMissingAttempt(task, reported, inputs, result);
}

function reconcileReportedAttempt(task: Task, reported: ReportedTask, result: Reconciliation): void {
  if (reported.state === 'ended') {
    // Completions are handled by `reconcileEndedTask`, for all attempts of the task.
    if (reported.cause !== 'done') result.findings.push({ kind: 'left', task, cause: reported.cause });
    return;
  }
  result.findings.push({ kind: 'seen', task, running: reported.state === 'running' });
  const { job, index, attempt } = task;
  if (!job.outcome && !task.stopping) return;
  const graceS = job.outcome ? 0 : (job.spec?.checkpointSaveS ?? 0);
  result.commands.push({ kind: 'stop', job: job.id, index, attempt, graceS });
}

/**
 * Handles a task whose current attempt is missing from the heartbeat. A start command is sent only in the
 * response to a heartbeat, and the worker finishes processing this response before it sends the next
 * heartbeat. So a reconciled heartbeat without the attempt proves that the attempt is not on the machine.
 */
function reconcileMissingAttempt(
  task: Task,
  reported: ReportedTask[],
  { mayStart }: ReconciliationInputs,
  result: Reconciliation,
): void {
  const { job, index, attempt } = task;
  if (task.phase === 'seen' || job.outcome) {
    result.findings.push({ kind: 'left', task, cause: 'absent' });
    return;
  }
  const hasEarlierAttempt = reported.some(({ state }) => state !== 'ended');
  if (mayStart && !hasEarlierAttempt) result.commands.push({ kind: 'start', job: job.id, index, attempt });
}

/** Compares a reported task attempt with the tasks that are intended to be on the machine. */
function reconcileReportedTask(
  machine: MachineState,
  reported: ReportedTask,
  inputs: ReconciliationInputs,
  result: Reconciliation,
): void {
  const job = inputs.jobs.get(reported.job);
  const isIntended = isIntendedOn(machine, reported);
  if (reported.state === 'ended') {
    reconcileEndedTask(job, reported, isIntended, result);
    return;
  }
  if (isIntended) return;
  const { job: id, index, attempt } = reported;
  machine.orphanedTasks.push({ task: reported, need: job?.need ?? noResources, team: job?.team });
  result.commands.push({ kind: 'stop', job: id, index, attempt, graceS: 0 });
}

function isIntendedOn(machine: MachineState, reported: ReportedTask): boolean {
  const task = machine.tasks.get(taskKey(reported));
  return task !== undefined && task.phase !== 'placing' && task.attempt === reported.attempt;
}

function reconcileEndedTask(
  job: JobState | undefined,
  { job: id, index, attempt, cause }: ReportedTask,
  isIntended: boolean,
  result: Reconciliation,
): void {
  const isOpen = job !== undefined && job.outcome === undefined;
  if (isOpen && cause === 'done' && !job.isDoneCommitted(index)) {
    // A task is complete if any of its attempts has completed. The worker keeps the attempt until it receives
    // a `forget` command, which is sent only after the completion is committed.
    if (!job.isDone(index)) result.findings.push({ kind: 'completed', job, index });
    return;
  }
  if (!isIntended || cause !== 'done' || !isOpen)
    result.commands.push({ kind: 'forget', job: id, index, attempt });
}
