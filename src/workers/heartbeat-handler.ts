/** Workers' heartbeats: what they prove is applied to the state of the block, and the response carries commands. */
import type { Clock } from '../base/clock.js';
import type { Log } from '../base/log.js';
import { type FastPathRoute, type Reply, unavailableReply } from '../base/replies.js';
import type { Heartbeat, WorkerCommand } from '../model/types.js';
import type { BlockState } from '../placement/block-state.js';
import type { MachineState } from '../placement/machine-state.js';
import type { Scheduler } from '../placement/scheduler.js';
import { heartbeatResponse, parseHeartbeat, redirectResponse } from '../wire/workers.js';
import {
  areAllForget,
  currentCommands,
  forgetFirst,
  type HeartbeatFacts,
  newCommands,
} from './heartbeat-commands.js';
import { LongPolls } from './long-polls.js';

/** A machine of a block that this controller owns. */
export interface OwnedMachine {
  machine: MachineState;
  blockState: Pick<BlockState, 'applyHeartbeat'>;
  scheduler: Pick<Scheduler, 'placeOn' | 'hasRoom' | 'waitForCommits'>;
}

/** What the handler needs from its controller. */
export interface HeartbeatHandlerPorts {
  clock: Clock;
  log: Log;
  /** This controller's label. */
  label: string;
  /** The machine by its id, if this controller owns it and has a fencing token for it. */
  findMachine: (id: string) => OwnedMachine | undefined;
  /** Label of the controller that owns the machine, as far as it is known. */
  ownerOf: (machine: string) => string | undefined;
  /** Label of the leader, as far as it is known. */
  leader: () => string | undefined;
  /** The store serves us and what we know of it is recent. */
  mayStartTasks: () => boolean;
  /** Heartbeats may be answered: we know, or our peers do, which jobs users were told are cancelled. */
  mayAnswerHeartbeats: () => boolean;
  /** Connections are scarce: no response is held, since it would keep its connection. */
  areConnectionsScarce: () => boolean;
  heartbeatIntervalMs: number;
  /** How long a response may wait for the commit of what it is to start. */
  maxCommitWaitMs: number;
}

type Respond = (reply: Reply) => void;

interface PendingHeartbeat extends HeartbeatFacts {
  readonly scheduler: OwnedMachine['scheduler'];
  readonly respond: Respond;
}

/** How long a response is held where there is room, in heartbeat intervals: well below the time that workers wait. */
const holdHeartbeatIntervals = { empty: 0.5, busy: 0.25 };
/** Held responses are checked so many times in the shortest time that one is held. */
const checksPerHold = 4;
/** Finished tasks are left in a worker's heartbeats for so many intervals if nothing else is to be said. */
const forgetDelayHeartbeatIntervals = 2;
/** The protocol's time for the response to a heartbeat: a worker drops what comes later. */
const workerTimeoutMs = 4000;

const heartbeatPath = '/hello';
const malformedHeartbeatReply: Reply = { status: 400, body: { error: 'not a report' } };
/** Somebody else commands the machine, or may, and we don't know who. */
const unknownOwnerReply: Reply = { status: 421, body: redirectResponse(undefined) };
/** Nobody is known to command the machine. */
const noOwnerReply: Reply = { status: 503, body: redirectResponse(undefined) };

/**
 * Answers heartbeats. A worker whose machine this controller does not own is redirected. No response starts a task whose
 * intent is not committed, and none carries commands under another fencing token than the one they were decided under.
 */
export class HeartbeatHandler {
  /** For the server: a heartbeat may wait in its queue while there are many. */
  readonly route: FastPathRoute = {
    method: 'POST',
    path: heartbeatPath,
    queued: true,
    handle: (body, respond) => this.handle(body, respond),
  };
  private readonly longPolls: LongPolls;

  constructor(private readonly ports: HeartbeatHandlerPorts) {
    const minHoldMs = ports.heartbeatIntervalMs * holdHeartbeatIntervals.busy;
    this.longPolls = new LongPolls(ports.clock, minHoldMs / checksPerHold);
  }

  /**
   * Takes the decoded body of a heartbeat and calls `respond` once, at once or later. Most heartbeats bring nothing new and
   * start nothing: these must leave neither promise nor timer to the event loop.
   */
  handle(body: unknown, respond: Respond): void {
    const heartbeat = parseHeartbeat(body);
    if (!heartbeat) {
      respond(malformedHeartbeatReply);
      return;
    }
    const owned = this.ports.findMachine(heartbeat.machine);
    if (!owned) respond(this.redirect(heartbeat.machine));
    else if (!this.ports.mayAnswerHeartbeats()) respond(unknownOwnerReply);
    else this.handleOwned(heartbeat, owned, respond);
  }

  private handleOwned(heartbeat: Heartbeat, owned: OwnedMachine, respond: Respond): void {
    const { machine, blockState } = owned;
    const { verdict, commands } = blockState.applyHeartbeat(machine, heartbeat, this.ports.mayStartTasks());
    const now = this.ports.clock();
    switch (verdict) {
      case 'outranked':
        // Somebody has leased the machine after us, and the watch has yet to tell us.
        respond(unknownOwnerReply);
        return;
      case 'stale':
        respond(commandsReply(machine.fencingToken, commands));
        return;
      case 'unreconciled':
        machine.fencingTokenOfferedAt ??= now;
        respond(commandsReply(machine.fencingToken, commands));
        return;
      case 'reconciled':
        machine.fencingTokenOfferedAt = undefined;
        this.placeAndRespond(owned, commands, respond, now);
    }
  }

  /** A heartbeat often says that there is room again: what is placed into it starts with the response, once committed. */
  private placeAndRespond(
    { machine, scheduler }: OwnedMachine,
    commands: WorkerCommand[],
    respond: Respond,
    receivedAt: number,
  ): void {
    const { fencingToken, sequence } = machine;
    // What is placed from here on is not among the commands yet.
    const tasksBefore = [...machine.tasks.values()].filter(({ phase }) => phase !== 'placing');
    const pending = {
      machine,
      scheduler,
      respond,
      receivedAt,
      fencingToken,
      sequence,
      commands,
      tasksBefore,
    };
    scheduler.placeOn(machine);
    if (machine.tasks.size === tasksBefore.length) {
      this.holdOrRespond(pending);
      return;
    }
    void scheduler
      .waitForCommits(() => machine.tasks.values(), this.ports.maxCommitWaitMs)
      .then(
        () => this.runLater(this.holdOrRespond, pending),
        (error: unknown) => this.fail(pending, error),
      );
  }

  /**
   * With room left the response is held a while: what is submitted meanwhile starts at once instead of with the next
   * heartbeat. A worker with tasks has news of its own soon, so its response is held for less.
   */
  private readonly holdOrRespond = (pending: PendingHeartbeat): void => {
    const { machine } = pending;
    if (!this.mayHold(pending)) {
      this.respondNow(pending);
      return;
    }
    const intervals = machine.tasks.size === 0 ? holdHeartbeatIntervals.empty : holdHeartbeatIntervals.busy;
    this.longPolls.hold(machine, this.ports.heartbeatIntervalMs * intervals, () =>
      this.runLater(this.respondNow, pending),
    );
  };

  private mayHold(pending: PendingHeartbeat): boolean {
    const hasNothingToSay = areAllForget(pending.commands) && newCommands(pending).length === 0;
    return (
      hasNothingToSay &&
      !this.ports.areConnectionsScarce() &&
      this.ports.mayStartTasks() &&
      pending.scheduler.hasRoom(pending.machine)
    );
  }

  private readonly respondNow = (pending: PendingHeartbeat): void => {
    const { machine, fencingToken, respond } = pending;
    const now = this.ports.clock();
    const commands = currentCommands(pending, this.mayStillStart(pending, now), now);
    respond(commandsReply(fencingToken, this.postponeForgets(machine, commands, now)));
  };

  /** Whatever came in between, a start goes out only under the token that its intent was committed with. */
  private mayStillStart(pending: PendingHeartbeat, now: number): boolean {
    const { machine, fencingToken, sequence, receivedAt } = pending;
    // If we were held up ourselves, the worker has long asked another controller, and drops what is said now.
    const hasTimedOut = now - receivedAt > workerTimeoutMs;
    return (
      machine.fencingToken === fencingToken &&
      machine.sequence === sequence &&
      machine.releaseReason === undefined &&
      !hasTimedOut &&
      this.ports.mayStartTasks()
    );
  }

  /**
   * What a worker forgets is a change of its tasks, and every change makes it send a heartbeat. So commands to forget wait
   * for others to go with, for two heartbeat intervals at most.
   */
  private postponeForgets(machine: MachineState, commands: WorkerCommand[], now: number): WorkerCommand[] {
    if (commands.length === 0) return commands;
    const delayMs = this.ports.heartbeatIntervalMs * forgetDelayHeartbeatIntervals;
    if (areAllForget(commands) && now - machine.lastForgetAt < delayMs) return [];
    machine.lastForgetAt = now;
    return forgetFirst(commands);
  }

  /** Outside the turn that brought the heartbeat, the server no longer handles an error. */
  private runLater(step: (pending: PendingHeartbeat) => void, pending: PendingHeartbeat): void {
    try {
      step(pending);
    } catch (error) {
      this.fail(pending, error);
    }
  }

  private fail({ machine, respond }: PendingHeartbeat, error: unknown): void {
    const { log } = this.ports;
    log.error(
      { event: 'request-failed', path: heartbeatPath, machine: machine.id, err: error },
      'request failed',
    );
    respond(unavailableReply);
  }

  private redirect(machine: string): Reply {
    const { ownerOf, leader, label } = this.ports;
    // The leader has yet to assign a machine of no block, and can do so once it has heard of it.
    const owner = ownerOf(machine) ?? leader();
    if (owner === undefined || owner === label) return noOwnerReply;
    return { status: 421, body: redirectResponse(owner) };
  }
}

function commandsReply(fencingToken: number, commands: WorkerCommand[]): Reply {
  return { status: 200, body: heartbeatResponse(fencingToken, commands) };
}
