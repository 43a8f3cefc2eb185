/** The commands that a worker is sent in the response to one heartbeat, from its arrival until the response goes out. */
import { taskKey, type WorkerCommand } from '../model/types.js';
import type { Task } from '../placement/job-state.js';
import type { MachineState } from '../placement/machine-state.js';

/** What a heartbeat found, while its response is being prepared. */
export interface HeartbeatFacts {
  readonly machine: MachineState;
  /** Steady time in ms. */
  readonly receivedAt: number;
  /** The machine's fencing token then: the one that the response goes out under. */
  readonly fencingToken: number;
  readonly sequence: number;
  /** Commands that follow from the heartbeat itself. */
  readonly commands: readonly WorkerCommand[];
  /** Tasks that the machine had, or may have had, then. Later ones are not among the commands yet. */
  readonly tasksBefore: readonly Task[];
}

/** What has been committed for the machine since its heartbeat came, and what has ended since. */
export function newCommands({ machine, tasksBefore }: HeartbeatFacts): WorkerCommand[] {
  const commands: WorkerCommand[] = [];
  for (const task of machine.tasks.values()) {
    const { index, attempt, phase, job } = task;
    if (phase === 'placed' && !tasksBefore.includes(task) && !job.outcome)
      commands.push({ kind: 'start', job: job.id, index, attempt });
    else if (phase === 'seen' && job.outcome)
      commands.push({ kind: 'stop', job: job.id, index, attempt, graceS: 0 });
  }
  return commands;
}

/**
 * The commands as they hold now, the new ones among them. Starts are noted with their tasks as sent at `now`, in ms of steady
 * time; without `mayStart` there is none, and nothing that came after the heartbeat.
 */
export function currentCommands(facts: HeartbeatFacts, mayStart: boolean, now: number): WorkerCommand[] {
  if (!mayStart) return facts.commands.filter(({ kind }) => kind !== 'start');
  const commands: WorkerCommand[] = [];
  for (const command of [...facts.commands, ...newCommands(facts)]) {
    if (command.kind === 'start') {
      const task = taskToStart(facts.machine, command);
      if (!task) continue;
      task.startSentAt ??= now;
    }
    commands.push(command);
  }
  return commands;
}

/** While the response was held the job may have ended, or the attempt may have been withdrawn. */
function taskToStart(machine: MachineState, command: WorkerCommand): Task | undefined {
  const task = machine.tasks.get(taskKey(command));
  const isDue = task?.phase === 'placed' && task.attempt === command.attempt && !task.job.outcome;
  return isDue ? task : undefined;
}

/** Whether there is nothing to say but that tasks may be forgotten, which can wait. */
export function areAllForget(commands: readonly WorkerCommand[]): boolean {
  return commands.every(({ kind }) => kind === 'forget');
}

/** A worker executes commands in turn, and an earlier attempt must be out of the way before the next one starts. */
export function forgetFirst(commands: readonly WorkerCommand[]): WorkerCommand[] {
  return [
    ...commands.filter(({ kind }) => kind === 'forget'),
    ...commands.filter(({ kind }) => kind !== 'forget'),
  ];
}
