import type { Clock } from '../base/clock.js';
import type { LeanRoute, Reply } from '../base/replies.js';
import type { BlockRegistry } from '../blocks/block-registry.js';
import type { OwnedBlocks } from '../blocks/owned-blocks.js';
import { type WorkerCommand, taskKey } from '../model/types.js';
import type { Task } from '../placement/job-state.js';
import type { Scheduler } from '../placement/scheduler.js';
import { parseHeartbeat, redirectResponse, heartbeatResponse } from '../wire/workers.js';
import { LongPolls } from './long-polls.js';
import type { MachineState } from '../placement/machine-state.js';

/** One report on its way to its answer. */
interface PendingHeartbeat {
  machine: MachineState;
  respond: Respond;
  receivedAt: number;
  fencingToken: number;
  sequence: number;
  commands: WorkerCommand[];
  /** Tasks that the machine had, or may have had, when the report was read. */
  tasksBefore: Task[];
}

export interface HeartbeatHandlerPorts {
  clock: Clock;
  label: string;
  leases: OwnedBlocks;
  registry: BlockRegistry;
  leader: () => string | undefined;
  /** The store serves us and what we know of it is recent. */
  mayStartTasks: () => boolean;
  /** Workers may be answered: we know, or our peers do, whom users were told is cancelled. */
  mayRespondToWorkers: () => boolean;
  /** Connections are scarce: no answer is held, since it would keep its connection. */
  areConnectionsScarce: () => boolean;
  heartbeatIntervalMs: number;
  /** How long an answer may wait for the commit of what it is to start. */
  maxCommitWaitMs: number;
}

/** How long an answer is held where there is room, in report intervals: well below the 4 s that workers wait. */
const holdHeartbeatIntervals = { empty: 0.5, busy: 0.25 };
/** Held answers are looked at so many times in the shortest time that one is held. */
const checksPerHold = 4;
/** Finished tasks are left in a worker's reports for so many report intervals if nothing else is to be said. */
const forgetDelayHeartbeatIntervals = 2;

/** The protocol's time for an answer to a report. */
const workerTimeoutMs = 4000;

type Respond = (reply: Reply) => void;

/** Answers workers' reports: whoever is not entitled to command a machine sends its worker on. */
export class HeartbeatHandler {
  private readonly longPolls: LongPolls;

  constructor(private readonly ports: HeartbeatHandlerPorts) {
    this.longPolls = new LongPolls(
      ports.clock,
      (ports.heartbeatIntervalMs * holdHeartbeatIntervals.busy) / checksPerHold,
    );
  }

  readonly route: LeanRoute = {
    method: 'POST',
    path: '/hello',
    queued: true,
    handle: (body, answer) => this.handle(body, answer),
  };

  /** The usual report has nothing new and nothing to start: it is answered at once, or held, and costs little else. */
  handle(body: unknown, respond: Respond): void {
    const { leases, mayStartTasks, mayRespondToWorkers, clock, maxCommitWaitMs } = this.ports;
    const heartbeat = parseHeartbeat(body);
    if (!heartbeat) return respond({ status: 400, body: { error: 'not a report' } });
    const heldBlock = leases.findMachine(heartbeat.machine);
    if (!heldBlock) return respond(this.redirect(heartbeat.machine));
    if (!mayRespondToWorkers()) return respond({ status: 421, body: redirectResponse(undefined) });
    const { blockState, scheduler, machine } = heldBlock;
    const result = blockState.applyHeartbeat(machine, heartbeat, mayStartTasks());
    // Somebody has leased the machine after us, and the watch has yet to tell us.
    if (result.verdict === 'outranked') return respond({ status: 421, body: redirectResponse(undefined) });
    const now = clock();
    if (result.verdict === 'unreconciled') machine.fencingTokenOfferedAt ??= now;
    if (result.verdict !== 'reconciled')
      return respond({ status: 200, body: heartbeatResponse(machine.fencingToken, result.commands) });
    machine.fencingTokenOfferedAt = undefined;
    const { fencingToken, sequence } = machine;
    // What is placed from here on is not among the orders yet.
    const tasksBefore = [...machine.tasks.values()].filter((task) => task.phase !== 'placing');
    const pending: PendingHeartbeat = {
      machine,
      respond,
      receivedAt: now,
      fencingToken,
      sequence,
      commands: result.commands,
      tasksBefore,
    };
    scheduler.placeOn(machine);
    if (machine.tasks.size === tasksBefore.length) return this.holdOrRespond(pending, scheduler);
    void scheduler
      .waitForCommits(() => machine.tasks.values(), maxCommitWaitMs)
      .then(() => this.holdOrRespond(pending, scheduler));
  }

  /**
   * A report often says that there is room again. Its answer waits for the commit of what is placed into that room, and
   * with room left it is held a while longer: what comes meanwhile starts at once instead of with the next report. A
   * worker with tasks has news of its own soon, so its answer is held for less.
   */
  private holdOrRespond(pending: PendingHeartbeat, scheduler: Scheduler): void {
    const { heartbeatIntervalMs, mayStartTasks, areConnectionsScarce } = this.ports;
    const { machine, commands } = pending;
    const hasNothingToSay =
      commands.every((order) => order.kind === 'forget') && this.newCommands(pending).length === 0;
    if (!hasNothingToSay || areConnectionsScarce() || !mayStartTasks() || !scheduler.hasRoom(machine))
      return this.respondTo(pending);
    const share = machine.tasks.size === 0 ? holdHeartbeatIntervals.empty : holdHeartbeatIntervals.busy;
    this.longPolls.hold(machine, heartbeatIntervalMs * share, () => this.respondTo(pending));
  }

  private respondTo(pending: PendingHeartbeat): void {
    const { machine, fencingToken, sequence, respond } = pending;
    const now = this.ports.clock();
    // We were held up ourselves: the worker has long asked another, and drops what is said now.
    const hasTimedOut = now - pending.receivedAt > workerTimeoutMs;
    // Whatever came in between, a start goes out only under the token that its intent was committed with.
    const mayStillStart =
      machine.fencingToken === fencingToken &&
      machine.sequence === sequence &&
      machine.releaseReason === undefined &&
      !hasTimedOut &&
      this.ports.mayStartTasks();
    const commands: WorkerCommand[] = [];
    for (const command of mayStillStart
      ? [...pending.commands, ...this.newCommands(pending)]
      : pending.commands) {
      if (command.kind === 'start') {
        // While the answer was held its job may have ended, and what may be told to start now was said then.
        const task = machine.tasks.get(taskKey(command));
        if (
          !mayStillStart ||
          task?.phase !== 'placed' ||
          task.attempt !== command.attempt ||
          task.job.outcome
        )
          continue;
        task.startSentAt ??= now;
      }
      commands.push(command);
    }
    respond({
      status: 200,
      body: heartbeatResponse(fencingToken, this.batchCommands(machine, commands, now)),
    });
  }

  /** What has been committed for the machine since its report came, and what has ended since. */
  private newCommands({ machine, tasksBefore }: PendingHeartbeat): WorkerCommand[] {
    const commands: WorkerCommand[] = [];
    for (const task of machine.tasks.values()) {
      const { index, attempt, phase, job } = task;
      const ref = { job: job.id, index, attempt };
      if (phase === 'placed' && !tasksBefore.includes(task) && !job.outcome)
        commands.push({ kind: 'start', ...ref });
      else if (phase === 'seen' && job.outcome) commands.push({ kind: 'stop', ...ref, graceS: 0 });
    }
    return commands;
  }

  /**
   * What a worker forgets is a change of its tasks, and every change makes it report again. So mere tidying waits for
   * other orders to go with, for two reports at the most.
   */
  private batchCommands(machine: MachineState, commands: WorkerCommand[], now: number): WorkerCommand[] {
    const { heartbeatIntervalMs } = this.ports;
    if (commands.length === 0) return commands;
    const isForgetOnly = commands.every((order) => order.kind === 'forget');
    if (isForgetOnly && now - machine.lastForgetAt < heartbeatIntervalMs * forgetDelayHeartbeatIntervals)
      return [];
    machine.lastForgetAt = now;
    // A worker carries orders out in turn, and an earlier attempt must be out of the way before the next one starts.
    return [...commands.filter((o) => o.kind === 'forget'), ...commands.filter((o) => o.kind !== 'forget')];
  }

  private redirect(machine: string): Reply {
    const { registry, leader, label } = this.ports;
    // A machine in no block has the leader to hear of it; the list will, too.
    const owner = registry.ownerOf(machine) ?? leader();
    return owner === undefined || owner === label
      ? { status: 503, body: redirectResponse(undefined) }
      : { status: 421, body: redirectResponse(owner) };
  }
}
