/**
 * Handles heartbeats of workers: applies each heartbeat to the state of the machine's block and responds with
 * commands.
 */
import type { Clock } from '../base/clock.js';
import type { Log } from '../base/log.js';
import { type FastPathRoute, type Reply, unavailableReply } from '../base/replies.js';
import type { WorkerCommand } from '../model/types.js';
import type { BlockState } from '../placement/block-state.js';
import type { MachineState } from '../placement/machine-state.js';
import type { Scheduler } from '../placement/scheduler.js';
import { parseHeartbeat, redirectResponse } from '../wire/workers.js';
import {
  commandsSinceHeartbeat,
  containsOnlyForgets,
  currentCommands,
  type HeartbeatContext,
  orderForgetsFirst,
} from './heartbeat-commands.js';
import {
  HeartbeatResponder,
  type HeartbeatResponderPorts,
  type OpenExchange,
  type Respond,
} from './heartbeat-responder.js';
import { LongPolls } from './long-polls.js';

/** A machine of a block that this controller owns. */
export interface OwnedMachine {
  machine: MachineState;
  blockState: Pick<BlockState, 'applyHeartbeat'>;
  scheduler: Pick<Scheduler, 'placeOn' | 'hasRoom' | 'waitForCommits'>;
}

/** Dependencies of the heartbeat handler on the rest of the controller. */
export interface HeartbeatHandlerPorts extends HeartbeatResponderPorts {
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
  /** Whether the store answers this controller and the replica of the store is recent. */
  mayStartTasks: () => boolean;
  /**
   * Whether heartbeats may be answered, given that this controller and its peers may not have received all
   * confirmed cancellations; see `HeartbeatResponsePolicy`.
   */
  mayAnswerHeartbeats: () => boolean;
  /**
   * Whether few connections are left. If so, no response is held, because a held response occupies a
   * connection.
   */
  areConnectionsScarce: () => boolean;
  heartbeatIntervalMs: number;
  /** Maximum time in ms for which a response waits until the intents of placed tasks are committed. */
  maxCommitWaitMs: number;
}

interface PendingHeartbeat extends HeartbeatContext, OpenExchange {
  readonly fencingToken: number;
  readonly scheduler: OwnedMachine['scheduler'];
}

/**
 * How long the response to a machine with free resources is held, in heartbeat intervals. `empty` applies to
 * machines without tasks, `busy` to machines with tasks. Both are well below the time-out of workers for a
 * response.
 */
const holdHeartbeatIntervals = { empty: 0.5, busy: 0.25 };
/** Number of checks for due responses within the shortest hold time. */
const checksPerHold = 4;
/**
 * Maximum delay of a `forget` command that has no other commands to be sent with, in heartbeat intervals.
 * During the delay, the worker lists the ended task in its heartbeats.
 */
const forgetDelayHeartbeatIntervals = 2;
/** The protocol's time-out for the response to a heartbeat, in ms. A worker drops later responses. */
const workerTimeoutMs = 4000;

const heartbeatPath = '/hello';
const malformedHeartbeatReply: Reply = { status: 400, body: { error: 'not a report' } };
/**
 * Sent if another controller owns the machine, or may own it, but the label of that controller is unknown.
 */
const unknownOwnerReply: Reply = { status: 421, body: redirectResponse(undefined) };
/** Sent if no other controller is known that owns the machine or could assign an owner to it. */
const noOwnerReply: Reply = { status: 503, body: redirectResponse(undefined) };

/**
 * Answers heartbeats, and redirects workers whose machines this controller does not own. No response starts a
 * task before the intent of the task (the task attempt in the ledger) is committed. Every command is sent
 * under the fencing token under which the command was determined. `HeartbeatResponder` adds the stops of tasks
 * whose job has ended.
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
  private readonly responder: HeartbeatResponder;

  constructor(private readonly ports: HeartbeatHandlerPorts) {
    const minHoldMs = ports.heartbeatIntervalMs * holdHeartbeatIntervals.busy;
    this.responder = new HeartbeatResponder(ports);
    this.longPolls = new LongPolls(ports.clock, minHoldMs / checksPerHold);
  }

  /**
   * Handles the decoded body of a heartbeat and calls `respond` exactly once, immediately or later. Most
   * heartbeats report no change and start no task. Such a heartbeat must leave no promise and no timer of its
   * own to the event loop.
   */
  handle(body: unknown, respond: Respond): void {
    const heartbeat = parseHeartbeat(body);
    if (!heartbeat) {
      respond(malformedHeartbeatReply);
      return;
    }
    const owned = this.ports.findMachine(heartbeat.machine);
    const exchange = { heartbeat, fencingToken: owned?.machine.fencingToken, respond };
    if (!owned) this.responder.refuse(exchange, 'not-owned', this.redirect(heartbeat.machine));
    else if (!this.ports.mayAnswerHeartbeats())
      this.responder.refuse(exchange, 'cancellations-unknown', unknownOwnerReply);
    else this.handleOwned(exchange, owned);
  }

  private handleOwned(exchange: OpenExchange, owned: OwnedMachine): void {
    const { machine, blockState } = owned;
    const { status, commands } = blockState.applyHeartbeat(
      machine,
      exchange.heartbeat,
      this.ports.mayStartTasks(),
    );
    const now = this.ports.clock();
    switch (status) {
      case 'outranked':
        // Another controller has leased the machine, but the watch of the store has not yet reported this
        // change.
        this.responder.refuse(exchange, status, unknownOwnerReply);
        return;
      case 'stale':
        this.responder.sendCommands(exchange, status, machine.fencingToken, commands);
        return;
      case 'unreconciled':
        machine.fencingTokenOfferedAt ??= now;
        this.responder.sendCommands(exchange, status, machine.fencingToken, commands);
        return;
      case 'reconciled':
        machine.fencingTokenOfferedAt = undefined;
        this.placeAndRespond(exchange, owned, commands, now);
    }
  }

  /**
   * Places waiting tasks on the machine, because a heartbeat often reports that resources have become free.
   * If the machine then has tasks whose intents are not committed, the response waits until these intents are
   * committed, but for at most `maxCommitWaitMs`. The response contains start commands only for tasks whose
   * intents have been committed by the time at which the response is sent.
   */
  private placeAndRespond(
    exchange: OpenExchange,
    { machine, scheduler }: OwnedMachine,
    commands: WorkerCommand[],
    receivedAt: number,
  ): void {
    const { fencingToken, sequence } = machine;
    // `commands` covers only the tasks that are on the machine now, not the tasks that are placed below.
    const tasksAtReceipt = [...machine.tasks.values()].filter(({ phase }) => phase !== 'placing');
    const pending = {
      ...exchange,
      machine,
      scheduler,
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
   * Holds the response for a limited time if the machine has free resources, so that tasks that are submitted
   * in the meantime start immediately instead of after the next heartbeat. A worker with tasks soon has a
   * change to report, so its response is held for a shorter time.
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
    const { machine, fencingToken } = pending;
    const now = this.ports.clock();
    const current = currentCommands(pending, this.mayStillStartTasks(pending, now), now);
    const commands = this.delayForgets(machine, current, now);
    this.responder.sendCommands(pending, 'reconciled', fencingToken, commands);
  };

  /**
   * Whether the response may still start tasks, given the changes since the heartbeat arrived. A start
   * command is sent only under the fencing token with which its intent was committed, and only by the owner of
   * the block: the state of a block whose lease has ended no longer receives the outcomes of jobs.
   */
  private mayStillStartTasks(pending: PendingHeartbeat, now: number): boolean {
    const { machine, fencingToken, sequence, receivedAt } = pending;
    // If this controller was delayed for longer than the time-out of the worker, the worker has sent a
    // heartbeat to another controller and drops this response.
    const hasTimedOut = now - receivedAt > workerTimeoutMs;
    return (
      this.ports.findMachine(machine.id)?.machine === machine &&
      machine.fencingToken === fencingToken &&
      machine.sequence === sequence &&
      machine.releaseReason === undefined &&
      !hasTimedOut &&
      this.ports.mayStartTasks()
    );
  }

  /**
   * Delays `forget` commands until they can be sent with other commands, but for at most two heartbeat
   * intervals. A worker sends a heartbeat after every change of its tasks, also after it has forgotten a
   * task.
   */
  private delayForgets(machine: MachineState, commands: WorkerCommand[], now: number): WorkerCommand[] {
    if (commands.length === 0) return commands;
    const delayMs = this.ports.heartbeatIntervalMs * forgetDelayHeartbeatIntervals;
    if (containsOnlyForgets(commands) && now - machine.lastCommandsSentAt < delayMs) return [];
    machine.lastCommandsSentAt = now;
    return orderForgetsFirst(commands);
  }

  /**
   * Runs a step and handles its errors. The HTTP server handles only errors that are thrown in the turn of
   * the event loop in which the heartbeat arrived.
   */
  private runCatchingErrors(step: (pending: PendingHeartbeat) => void, pending: PendingHeartbeat): void {
    try {
      step(pending);
    } catch (error) {
      this.respondWithError(pending, error);
    }
  }

  private respondWithError(pending: PendingHeartbeat, error: unknown): void {
    this.ports.log.error(
      { event: 'request-failed', path: heartbeatPath, machine: pending.machine.id, err: error },
      'handling of heartbeat failed; answering with status 503',
    );
    this.responder.refuse(pending, 'failed', unavailableReply);
  }

  private redirect(machine: string): Reply {
    const { ownerOf, leader, label } = this.ports;
    // The leader assigns machines to blocks. A worker whose machine belongs to no block is therefore
    // redirected to the leader. The leader can assign the machine as soon as its list of rented machines
    // contains the machine.
    const owner = ownerOf(machine) ?? leader();
    if (owner === undefined || owner === label) return noOwnerReply;
    return { status: 421, body: redirectResponse(owner) };
  }
}
