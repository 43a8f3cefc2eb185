/** Handles heartbeats of workers: applies them to the state of the block, and answers with commands. */
import type { Clock } from '../base/clock.js';
import type { Log } from '../base/log.js';
import { type FastPathRoute, type Reply, unavailableReply } from '../base/replies.js';
import type { Heartbeat, WorkerCommand } from '../model/types.js';
import type { BlockState } from '../placement/block-state.js';
import type { MachineState } from '../placement/machine-state.js';
import type { Scheduler } from '../placement/scheduler.js';
import { heartbeatResponse, parseHeartbeat, redirectResponse } from '../wire/workers.js';
import {
  commandsSinceHeartbeat,
  containsOnlyForgets,
  currentCommands,
  type HeartbeatContext,
  orderForgetsFirst,
} from './heartbeat-commands.js';
import { LongPolls } from './long-polls.js';

/** A machine of a block that this controller owns. */
export interface OwnedMachine {
  machine: MachineState;
  blockState: Pick<BlockState, 'applyHeartbeat'>;
  scheduler: Pick<Scheduler, 'placeOn' | 'hasRoom' | 'waitForCommits'>;
}

/** What the heartbeat handler needs from its controller. */
export interface HeartbeatHandlerPorts {
  clock: Clock;
  log: Log;
  /** This controller's label. */
  label: string;
  /** Returns the machine with this id if this controller owns the machine and has a fencing token for it. */
  findMachine: (id: string) => OwnedMachine | undefined;
  /** Label of the controller that owns the machine; undefined if unknown. */
  ownerOf: (machine: string) => string | undefined;
  /** Label of the leader; undefined if unknown. */
  leader: () => string | undefined;
  /** Whether the store answers this controller, and this controller's knowledge of the store is recent. */
  mayStartTasks: () => boolean;
  /**
   * Whether heartbeats may be answered. Requires that this controller or its peers have learned of every
   * cancellation that has been confirmed to users.
   */
  mayAnswerHeartbeats: () => boolean;
  /** Whether connections are scarce. If so, no response is held, since it would occupy its connection. */
  areConnectionsScarce: () => boolean;
  heartbeatIntervalMs: number;
  /** The longest time, in ms, that a response waits for the commit of the tasks that it starts. */
  maxCommitWaitMs: number;
}

type Respond = (reply: Reply) => void;

interface PendingHeartbeat extends HeartbeatContext {
  readonly scheduler: OwnedMachine['scheduler'];
  readonly respond: Respond;
}

/**
 * How long the response to a machine with free resources is held, in heartbeat intervals, for machines
 * without tasks (`empty`) and with tasks (`busy`). Well below the time that workers wait for a response.
 */
const holdHeartbeatIntervals = { empty: 0.5, busy: 0.25 };
/** Number of checks of the held responses within the shortest hold time. */
const checksPerHold = 4;
/** Without other commands, ended tasks stay in a worker's heartbeats for up to this many intervals. */
const forgetDelayHeartbeatIntervals = 2;
/** The protocol's time-out for the response to a heartbeat. A worker drops later responses. */
const workerTimeoutMs = 4000;

const heartbeatPath = '/hello';
const malformedHeartbeatReply: Reply = { status: 400, body: { error: 'not a report' } };
/** Another controller owns the machine, or may own it, but the label of that controller is unknown. */
const unknownOwnerReply: Reply = { status: 421, body: redirectResponse(undefined) };
/** No other controller is known that owns the machine or could assign an owner. */
const noOwnerReply: Reply = { status: 503, body: redirectResponse(undefined) };

/**
 * Answers heartbeats. A worker whose machine this controller does not own is redirected. No response starts a
 * task whose intent is not committed. Every command is sent under the fencing token under which it was
 * decided.
 */
export class HeartbeatHandler {
  /** The route for the HTTP server. Under overload, heartbeats may wait in the queue of the server. */
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
   * Handles the decoded body of a heartbeat and calls `respond` exactly once, immediately or later. Most
   * heartbeats report no change and start no task. For these, no promise and no timer may be left to the
   * event loop.
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
        // Another controller has leased the machine since; the watch has not reported the change yet.
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

  /**
   * Places waiting tasks on the machine, since a heartbeat often reports that resources have become free. The
   * response starts these tasks once their intents are committed.
   */
  private placeAndRespond(
    { machine, scheduler }: OwnedMachine,
    commands: WorkerCommand[],
    respond: Respond,
    receivedAt: number,
  ): void {
    const { fencingToken, sequence } = machine;
    // `commands` does not cover the tasks that are placed from here on.
    const tasksAtReceipt = [...machine.tasks.values()].filter(({ phase }) => phase !== 'placing');
    const pending = {
      machine,
      scheduler,
      respond,
      receivedAt,
      fencingToken,
      sequence,
      commands,
      tasksAtReceipt,
    };
    scheduler.placeOn(machine);
    if (machine.tasks.size === tasksAtReceipt.length) {
      this.holdOrRespond(pending);
      return;
    }
    void scheduler
      .waitForCommits(() => machine.tasks.values(), this.ports.maxCommitWaitMs)
      .then(
        () => this.runCatchingErrors(this.holdOrRespond, pending),
        (error: unknown) => this.respondWithError(pending, error),
      );
  }

  /**
   * Holds the response for a while if the machine has free resources: tasks that are submitted meanwhile
   * start immediately instead of with the next heartbeat. A worker with tasks soon has a change to report, so
   * its response is held for a shorter time.
   */
  private readonly holdOrRespond = (pending: PendingHeartbeat): void => {
    const { machine } = pending;
    if (!this.mayHold(pending)) {
      this.respondNow(pending);
      return;
    }
    const intervals = machine.tasks.size === 0 ? holdHeartbeatIntervals.empty : holdHeartbeatIntervals.busy;
    this.longPolls.hold(machine, this.ports.heartbeatIntervalMs * intervals, () =>
      this.runCatchingErrors(this.respondNow, pending),
    );
  };

  private mayHold(pending: PendingHeartbeat): boolean {
    const hasOnlyForgets =
      containsOnlyForgets(pending.commands) && commandsSinceHeartbeat(pending).length === 0;
    return (
      hasOnlyForgets &&
      !this.ports.areConnectionsScarce() &&
      this.ports.mayStartTasks() &&
      pending.scheduler.hasRoom(pending.machine)
    );
  }

  private readonly respondNow = (pending: PendingHeartbeat): void => {
    const { machine, fencingToken, respond } = pending;
    const now = this.ports.clock();
    const commands = currentCommands(pending, this.mayStillStartTasks(pending, now), now);
    respond(commandsReply(fencingToken, this.delayForgets(machine, commands, now)));
  };

  /**
   * Whether the response may still start tasks after what has happened since the heartbeat arrived. A start
   * is sent only under the fencing token with which its intent was committed.
   */
  private mayStillStartTasks(pending: PendingHeartbeat, now: number): boolean {
    const { machine, fencingToken, sequence, receivedAt } = pending;
    // If this controller was delayed, the worker has meanwhile sent a heartbeat to another controller and
    // drops this response.
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
   * Delays commands to forget until they can be sent with other commands, for two heartbeat intervals at
   * most. A worker sends a heartbeat after every change of its tasks, and forgetting a task is such a change.
   */
  private delayForgets(machine: MachineState, commands: WorkerCommand[], now: number): WorkerCommand[] {
    if (commands.length === 0) return commands;
    const delayMs = this.ports.heartbeatIntervalMs * forgetDelayHeartbeatIntervals;
    if (containsOnlyForgets(commands) && now - machine.lastForgetAt < delayMs) return [];
    machine.lastForgetAt = now;
    return orderForgetsFirst(commands);
  }

  /**
   * Runs a step and handles its errors. The server handles errors only in the turn of the event loop in which
   * the heartbeat arrived.
   */
  private runCatchingErrors(step: (pending: PendingHeartbeat) => void, pending: PendingHeartbeat): void {
    try {
      step(pending);
    } catch (error) {
      this.respondWithError(pending, error);
    }
  }

  private respondWithError({ machine, respond }: PendingHeartbeat, error: unknown): void {
    const { log } = this.ports;
    log.error(
      { event: 'request-failed', path: heartbeatPath, machine: machine.id, err: error },
      'handling of heartbeat failed; answering with status 503',
    );
    respond(unavailableReply);
  }

  private redirect(machine: string): Reply {
    const { ownerOf, leader, label } = this.ports;
    // A machine without a block has yet to be assigned by the leader, which can assign the machine once the
    // leader has learned of it.
    const owner = ownerOf(machine) ?? leader();
    if (owner === undefined || owner === label) return noOwnerReply;
    return { status: 421, body: redirectResponse(owner) };
  }
}

function commandsReply(fencingToken: number, commands: WorkerCommand[]): Reply {
  return { status: 200, body: heartbeatResponse(fencingToken, commands) };
}
