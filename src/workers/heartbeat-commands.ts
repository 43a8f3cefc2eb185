/**
 * Determines the commands in the response to a heartbeat. If the response is held, its commands may change
 * until it is sent.
 */
import { type ReportedTask, taskKey, type WorkerCommand } from '../model/types.js';
import type { Task } from '../placement/job-state.js';
import type { MachineState } from '../placement/machine-state.js';

/** Data recorded when a heartbeat arrived and kept until the response to the heartbeat is sent. */
export interface HeartbeatContext {
  readonly machine: MachineState;
  /** When the heartbeat arrived, as monotonic time in ms. */
  readonly receivedAt: number;
  /** The machine's fencing token when the heartbeat arrived. The response is sent under this token. */
  readonly fencingToken: number;
  readonly sequence: number;
  /** The commands that were determined when the heartbeat was applied. */
  readonly commands: readonly WorkerCommand[];
  /**
   * The tasks that were, or may have been, on the machine when the heartbeat arrived. `commands` covers only
   * these tasks and no tasks that were placed on the machine later.
   */
  readonly tasksAtReceipt: readonly Task[];
}

/**
 * Returns commands to start the tasks whose intents (task attempts in the ledger) have been committed for the
 * machine since its heartbeat arrived, and commands to stop the tasks whose job has ended since.
 */
export function commandsSinceHeartbeat({ machine, tasksAtReceipt }: HeartbeatContext): WorkerCommand[] {
  const commands: WorkerCommand[] = [];
  for (const task of machine.tasks.values()) {
    const { index, attempt, phase, job } = task;
    if (phase === 'placed' && !tasksAtReceipt.includes(task) && !job.outcome)
      commands.push({ kind: 'start', job: job.id, index, attempt });
    else if (phase === 'seen' && job.outcome)
      commands.push({ kind: 'stop', job: job.id, index, attempt, graceS: 0 });
  }
  return commands;
}

/**
 * Returns the commands that are valid now, including commands that have become necessary since the heartbeat
 * arrived. If a task is started for the first time, records `now`, a monotonic time in ms, as the time of its
 * start command. If `mayStart` is false, the result contains no starts and no commands that have become
 * necessary since the heartbeat arrived.
 */
export function currentCommands(context: HeartbeatContext, mayStart: boolean, now: number): WorkerCommand[] {
  if (!mayStart) return context.commands.filter(({ kind }) => kind !== 'start');
  const commands: WorkerCommand[] = [];
  for (const command of [...context.commands, ...commandsSinceHeartbeat(context)]) {
    if (command.kind === 'start') {
      const task = findStartableTask(context.machine, command);
      if (!task) continue;
      task.startSentAt ??= now;
    }
    commands.push(command);
  }
  return commands;
}

/**
 * Returns the task that a start command names; undefined if the task must not be started because its job
 * ended, or the attempt was withdrawn, while the response was held.
 */
function findStartableTask(machine: MachineState, command: WorkerCommand): Task | undefined {
  const task = machine.tasks.get(taskKey(command));
  const isStartable = task?.phase === 'placed' && task.attempt === command.attempt && !task.job.outcome;
  return isStartable ? task : undefined;
}

/** Whether every command is a `forget` command; true for an empty list. `forget` commands are not urgent. */
export function containsOnlyForgets(commands: readonly WorkerCommand[]): boolean {
  return commands.every(({ kind }) => kind === 'forget');
}

/**
 * Returns the commands with all `forget` commands first. A worker executes commands in order and must have
 * forgotten the previous attempt of a task before it starts the next attempt.
 */
export function orderForgetsFirst(commands: readonly WorkerCommand[]): WorkerCommand[] {
  return [
    ...commands.filter(({ kind }) => kind === 'forget'),
    ...commands.filter(({ kind }) => kind !== 'forget'),
  ];
}

/** Whether the commands contain one that ends the task attempt without a grace period. */
export function stopsImmediately(commands: readonly WorkerCommand[], task: ReportedTask): boolean {
  return commands.some(
    ({ kind, job, index, attempt, graceS = 0 }) =>
      kind === 'stop' && graceS === 0 && job === task.job && index === task.index && attempt === task.attempt,
  );
}

/** Returns the commands, with a command to stop each of the tasks that they do not stop immediately. */
export function withStops(
  commands: readonly WorkerCommand[],
  tasks: readonly ReportedTask[],
): WorkerCommand[] {
  const missing = tasks.filter((task) => !stopsImmediately(commands, task));
  const stops = missing.map(({ job, index, attempt }): WorkerCommand => ({
    kind: 'stop',
    job,
    index,
    attempt,
    graceS: 0,
  }));
  return [...commands, ...stops];
}
