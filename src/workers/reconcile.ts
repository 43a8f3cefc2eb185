import { type Order, type Report, type ReportedTask, type Resources, taskKey } from '../model/types.js';
import type { JobState, Task } from '../placement/job-state.js';
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
  orders: Order[];
}

export interface ReconcileFacts {
  now: number;
  jobs: ReadonlyMap<string, JobState>;
  /** False while nothing may be started, for instance without the state service. */
  mayStart: boolean;
}

const nothing: Resources = { cpus: 0, accelerators: 0, memoryGb: 0 };

/** Brings a machine's record in line with its report and says what to answer. */
export function reconcile(machine: MachineState, report: Report, facts: ReconcileFacts): Reconciliation {
  const findings: Finding[] = [];
  const orders: Order[] = [];
  if (report.token > machine.token) return { verdict: 'outranked', findings, orders };
  const newer =
    report.session > machine.session || (report.session === machine.session && report.seq > machine.seq);
  // Held back by a cut and overtaken by a later report: its task list is history.
  if (!newer) return { verdict: 'stale', findings, orders };
  machine.session = report.session;
  machine.seq = report.seq;
  machine.lastSeen = facts.now;
  if (!machine.seen) machine.seenAt = facts.now;
  machine.seen = true;
  machine.address = report.address;
  machine.notice = report.noticeS;
  // Until it has seen our token, a command of an earlier owner may still reach it.
  machine.reconciled = report.token === machine.token;
  if (!machine.reconciled) return { verdict: 'unreconciled', findings, orders };

  const reported = new Map<string, ReportedTask[]>();
  for (const task of report.tasks) {
    const key = taskKey(task);
    reported.set(key, [...(reported.get(key) ?? []), task]);
  }
  for (const [key, task] of machine.tasks) {
    if (task.phase !== 'placing') checkIntent(task, reported.get(key) ?? [], facts, findings, orders);
  }
  machine.strays = [];
  for (const task of report.tasks) checkReported(machine, task, facts, findings, orders);
  return { verdict: 'reconciled', findings, orders };
}

function checkIntent(
  task: Task,
  reported: ReportedTask[],
  facts: ReconcileFacts,
  findings: Finding[],
  orders: Order[],
): void {
  const ref = { job: task.job.id, index: task.index };
  const own = reported.find((r) => r.attempt === task.attempt);
  if (own) {
    if (own.state !== 'ended') {
      findings.push({ kind: 'seen', task, running: own.state === 'running' });
      const graceS = task.job.ended ? 0 : (task.job.spec?.saveS ?? 0);
      if (task.job.ended || task.stopping)
        orders.push({ kind: 'stop', ...ref, attempt: task.attempt, graceS });
    } else if (own.cause !== 'done') findings.push({ kind: 'left', task, cause: own.cause });
    return;
  }
  // A reconciled report without the task proves that it is not there: a start travels only in the answer to a
  // report, and the worker has settled that answer before it sends the next one.
  if (task.phase === 'seen' || task.job.ended) findings.push({ kind: 'left', task, cause: 'absent' });
  else if (reported.some((r) => r.state !== 'ended'))
    return; // an older attempt has to go first
  else if (facts.mayStart) orders.push({ kind: 'start', ...ref, attempt: task.attempt });
}

function checkReported(
  machine: MachineState,
  reported: ReportedTask,
  facts: ReconcileFacts,
  findings: Finding[],
  orders: Order[],
): void {
  const job = facts.jobs.get(reported.job);
  const { job: id, index, attempt } = reported;
  const intent = machine.tasks.get(taskKey(reported));
  const isIntent = intent !== undefined && intent.phase !== 'placing' && intent.attempt === attempt;
  if (reported.state === 'ended') {
    const open = job !== undefined && job.ended === undefined;
    if (open && reported.cause === 'done' && !job.isDoneCommitted(index)) {
      // Whichever attempt completed it, the task is complete; it is forgotten once that is committed.
      if (!job.isDone(index)) findings.push({ kind: 'completed', job, index });
      return;
    }
    if (!isIntent || reported.cause !== 'done' || !open)
      orders.push({ kind: 'forget', job: id, index, attempt });
    return;
  }
  if (isIntent) return;
  machine.strays.push({ task: reported, need: job?.need ?? nothing, team: job?.team ?? '' });
  orders.push({ kind: 'stop', job: id, index, attempt, graceS: 0 });
}
