/** What a worker's heartbeat proves about its machine and tasks, and which commands follow from it. */
import {
  type Heartbeat,
  type ReportedTask,
  type Resources,
  taskKey,
  type WorkerCommand,
} from '../model/types.js';
import type { JobState, Task } from './job-state.js';
import type { MachineState } from './machine-state.js';

/** Something that a heartbeat proves: none of it rests on a timer. */
export type Finding =
  | { kind: 'completed'; job: JobState; index: number }
  | { kind: 'left'; task: Task; cause: string }
  | { kind: 'seen'; task: Task; running: boolean };

/**
 * `stale`: a later heartbeat is known. `outranked`: the worker has seen a higher fencing token than ours. `unreconciled`: it
 * has yet to see ours. Only what a `reconciled` heartbeat says of tasks counts.
 */
export type Verdict = 'stale' | 'outranked' | 'unreconciled' | 'reconciled';

/** What comes of a heartbeat. */
export interface Reconciliation {
  verdict: Verdict;
  findings: Finding[];
  commands: WorkerCommand[];
}

/** What else decides which commands follow. */
export interface ReconciliationInputs {
  /** Steady time in ms. */
  now: number;
  jobs: ReadonlyMap<string, JobState>;
  /** False while nothing may be started, for instance without the state service. */
  mayStart: boolean;
}

const noResources: Resources = { cpus: 0, accelerators: 0, memoryGb: 0 };

/**
 * Brings the machine, its orphaned tasks among it, in line with the heartbeat. What this means for tasks is returned as
 * findings, for the caller to apply.
 */
export function reconcile(
  machine: MachineState,
  heartbeat: Heartbeat,
  inputs: ReconciliationInputs,
): Reconciliation {
  const result: Reconciliation = {
    verdict: acceptHeartbeat(machine, heartbeat, inputs.now),
    findings: [],
    commands: [],
  };
  if (result.verdict !== 'reconciled') return result;
  const reportedByTask = groupByTask(heartbeat.tasks);
  for (const [key, task] of machine.tasks) {
    if (task.phase !== 'placing') reconcileIntent(task, reportedByTask.get(key) ?? [], inputs, result);
  }
  machine.orphanedTasks = [];
  for (const task of heartbeat.tasks) reconcileReportedTask(machine, task, inputs, result);
  return result;
}

/** Takes over what the heartbeat says of the machine itself, unless it is history or the machine is another owner's. */
function acceptHeartbeat(machine: MachineState, heartbeat: Heartbeat, now: number): Verdict {
  if (heartbeat.fencingToken > machine.fencingToken) return 'outranked';
  // Held back by a network partition and overtaken by a later one: its task list is history.
  if (!isNewer(heartbeat, machine)) return 'stale';
  machine.agentEpoch = heartbeat.agentEpoch;
  machine.sequence = heartbeat.sequence;
  machine.lastHeartbeatAt = now;
  if (!machine.hasSentHeartbeat) machine.firstHeartbeatAt = now;
  machine.hasSentHeartbeat = true;
  machine.address = heartbeat.address;
  machine.preemptionNoticeS = heartbeat.preemptionNoticeS;
  // Until it has seen our token, a command of an earlier owner may still reach it.
  machine.reconciled = heartbeat.fencingToken === machine.fencingToken;
  return machine.reconciled ? 'reconciled' : 'unreconciled';
}

function isNewer({ agentEpoch, sequence }: Heartbeat, machine: MachineState): boolean {
  return (
    agentEpoch > machine.agentEpoch || (agentEpoch === machine.agentEpoch && sequence > machine.sequence)
  );
}

/** A worker may report several attempts of a task. */
function groupByTask(reported: ReportedTask[]): Map<string, ReportedTask[]> {
  const byTask = new Map<string, ReportedTask[]>();
  for (const task of reported) {
    const key = taskKey(task);
    byTask.set(key, [...(byTask.get(key) ?? []), task]);
  }
  return byTask;
}

/** Compares a task that the machine has or should have with what is reported of it. */
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
    // A completion is found with the reported tasks, whichever attempt it is of.
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
 * A reconciled heartbeat without the task proves that it is not there: a start travels only in the response to a heartbeat,
 * and the worker has settled that response before it sends the next one.
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

/** Compares a task that the machine reports with what it should have. */
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
    // Whichever attempt completed it, the task is complete; the worker keeps it until that is committed.
    if (!job.isDone(index)) result.findings.push({ kind: 'completed', job, index });
    return;
  }
  if (!isIntended || cause !== 'done' || !isOpen)
    result.commands.push({ kind: 'forget', job: id, index, attempt });
}
