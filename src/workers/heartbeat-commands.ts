/** Determines the commands in the response to a heartbeat, which may change until the response is sent. */
import { taskKey, type WorkerCommand } from '../model/types.js';
import type { Task } from '../placement/job-state.js';
import type { MachineState } from '../placement/machine-state.js';

/** The state in which a heartbeat arrived, kept until its response is sent. */
export interface HeartbeatContext {
  readonly machine: MachineState;
  /** When the heartbeat arrived, as steady time in ms. */
  readonly receivedAt: number;
  /** The machine's fencing token when the heartbeat arrived. The response is sent under this token. */
  readonly fencingToken: number;
  readonly sequence: number;
  /** The commands that follow from the heartbeat itself. */
  readonly commands: readonly WorkerCommand[];
  /**
   * The tasks that the machine had, or may have had, when the heartbeat arrived. `commands` does not yet
   * cover tasks that were added later.
   */
  readonly tasksAtReceipt: readonly Task[];
}

/**
 * Returns starts of the tasks that have been committed for the machine since its heartbeat arrived, and stops
 * of the tasks whose job has ended since.
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
 * Returns the commands that are valid now, including those added since the heartbeat arrived. Records `now`,
 * steady time in ms, as the time at which the start of a task was first sent. If `mayStart` is false, the
 * result contains no starts and no commands that were added after the heartbeat arrived.
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
 * Returns the task that the command starts; undefined if the job ended, or the attempt was withdrawn, while
 * the response was held.
 */
function findStartableTask(machine: MachineState, command: WorkerCommand): Task | undefined {
  const task = machine.tasks.get(taskKey(command));
  const isStartable = task?.phase === 'placed' && task.attempt === command.attempt && !task.job.outcome;
  return isStartable ? task : undefined;
}

/** Whether all commands, if any, are to forget tasks. These commands are not urgent. */
export function containsOnlyForgets(commands: readonly WorkerCommand[]): boolean {
  return commands.every(({ kind }) => kind === 'forget');
}

/**
 * Puts commands to forget before all others. A worker executes commands in order, and must have forgotten an
 * earlier attempt of a task before the next attempt starts.
 */
export function orderForgetsFirst(commands: readonly WorkerCommand[]): WorkerCommand[] {
  return [
    ...commands.filter(({ kind }) => kind === 'forget'),
    ...commands.filter(({ kind }) => kind !== 'forget'),
  ];
}
