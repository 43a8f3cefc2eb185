import {
  type WorkerCommand,
  type Heartbeat,
  type ReportedTask,
  type Resources,
  taskKey,
} from '../model/types.js';
import type { JobState, Task } from './job-state.js';
import type { MachineState } from './machine-state.js';

/** What a report tells the other slices. All of it is evidence: nothing here rests on a timer. */
export type Finding =
  | { kind: 'completed'; job: JobState; index: number }
  | { kind: 'left'; task: Task; cause: string }
  | { kind: 'seen'; task: Task; running: boolean };

export interface Reconciliation {
  /** `stale`: a newer report is known. `outranked`: somebody has a higher token than ours. */
  verdict: 'stale' | 'outranked' | 'unreconciled' | 'reconciled';
  findings: Finding[];
  commands: WorkerCommand[];
}

export interface ReconciliationInputs {
  now: number;
  jobs: ReadonlyMap<string, JobState>;
  /** False while nothing may be started, for instance without the state service. */
  mayStart: boolean;
}

const noResources: Resources = { cpus: 0, accelerators: 0, memoryGb: 0 };

/** Brings a machine's record in line with its report and says what to answer. */
export function reconcile(
  machine: MachineState,
  heartbeat: Heartbeat,
  inputs: ReconciliationInputs,
): Reconciliation {
  const findings: Finding[] = [];
  const commands: WorkerCommand[] = [];
  if (heartbeat.fencingToken > machine.fencingToken) return { verdict: 'outranked', findings, commands };
  const isNewer =
    heartbeat.agentEpoch > machine.agentEpoch ||
    (heartbeat.agentEpoch === machine.agentEpoch && heartbeat.sequence > machine.sequence);
  // Held back by a cut and overtaken by a later report: its task list is history.
  if (!isNewer) return { verdict: 'stale', findings, commands };
  machine.agentEpoch = heartbeat.agentEpoch;
  machine.sequence = heartbeat.sequence;
  machine.lastHeartbeatAt = inputs.now;
  if (!machine.hasSentHeartbeat) machine.firstHeartbeatAt = inputs.now;
  machine.hasSentHeartbeat = true;
  machine.address = heartbeat.address;
  machine.preemptionNoticeS = heartbeat.preemptionNoticeS;
  // Until it has seen our token, a command of an earlier owner may still reach it.
  machine.reconciled = heartbeat.fencingToken === machine.fencingToken;
  if (!machine.reconciled) return { verdict: 'unreconciled', findings, commands };

  const reportedByTask = new Map<string, ReportedTask[]>();
  for (const task of heartbeat.tasks) {
    const key = taskKey(task);
    reportedByTask.set(key, [...(reportedByTask.get(key) ?? []), task]);
  }
  for (const [key, task] of machine.tasks) {
    if (task.phase !== 'placing')
      reconcileIntent(task, reportedByTask.get(key) ?? [], inputs, findings, commands);
  }
  machine.orphanedTasks = [];
  for (const task of heartbeat.tasks) reconcileReportedTask(machine, task, inputs, findings, commands);
  return { verdict: 'reconciled', findings, commands };
}

function reconcileIntent(
  task: Task,
  reported: ReportedTask[],
  inputs: ReconciliationInputs,
  findings: Finding[],
  commands: WorkerCommand[],
): void {
  const ref = { job: task.job.id, index: task.index };
  const reportedAttempt = reported.find((r) => r.attempt === task.attempt);
  if (reportedAttempt) {
    if (reportedAttempt.state !== 'ended') {
      findings.push({ kind: 'seen', task, running: reportedAttempt.state === 'running' });
      const graceS = task.job.outcome ? 0 : (task.job.spec?.checkpointSaveS ?? 0);
      if (task.job.outcome || task.stopping)
        commands.push({ kind: 'stop', ...ref, attempt: task.attempt, graceS });
    } else if (reportedAttempt.cause !== 'done')
      findings.push({ kind: 'left', task, cause: reportedAttempt.cause });
    return;
  }
  // A reconciled report without the task proves that it is not there: a start travels only in the answer to a
  // report, and the worker has settled that answer before it sends the next one.
  if (task.phase === 'seen' || task.job.outcome) findings.push({ kind: 'left', task, cause: 'absent' });
  else if (reported.some((r) => r.state !== 'ended'))
    return; // an older attempt has to go first
  else if (inputs.mayStart) commands.push({ kind: 'start', ...ref, attempt: task.attempt });
}

function reconcileReportedTask(
  machine: MachineState,
  reported: ReportedTask,
  inputs: ReconciliationInputs,
  findings: Finding[],
  commands: WorkerCommand[],
): void {
  const job = inputs.jobs.get(reported.job);
  const { job: id, index, attempt } = reported;
  const intent = machine.tasks.get(taskKey(reported));
  const isIntended = intent !== undefined && intent.phase !== 'placing' && intent.attempt === attempt;
  if (reported.state === 'ended') {
    const isOpen = job !== undefined && job.outcome === undefined;
    if (isOpen && reported.cause === 'done' && !job.isDoneCommitted(index)) {
      // Whichever attempt completed it, the task is complete; it is forgotten once that is committed.
      if (!job.isDone(index)) findings.push({ kind: 'completed', job, index });
      return;
    }
    if (!isIntended || reported.cause !== 'done' || !isOpen)
      commands.push({ kind: 'forget', job: id, index, attempt });
    return;
  }
  if (isIntended) return;
  machine.orphanedTasks.push({ task: reported, need: job?.need ?? noResources, team: job?.team ?? '' });
  commands.push({ kind: 'stop', job: id, index, attempt, graceS: 0 });
}
