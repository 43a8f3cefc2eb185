/** Sends the responses to heartbeats, and ensures that no response keeps a task of an ended job running. */
import { type Reply, unavailableReply } from '../base/replies.js';
import type { Heartbeat, WorkerCommand } from '../model/types.js';
import { heartbeatResponse } from '../wire/workers.js';
import { stopsImmediately, withStops } from './heartbeat-commands.js';
import type { HeartbeatLog, HeartbeatResult } from './heartbeat-log.js';
import { type ReplicatedJobs, tasksByEnding } from './job-endings.js';

/** Sends the response to one heartbeat. */
export type Respond = (reply: Reply) => void;

/** A heartbeat that is not answered yet. */
export interface OpenExchange {
  readonly heartbeat: Heartbeat;
  /** The machine's fencing token when the heartbeat arrived; undefined if this controller is not its owner. */
  readonly fencingToken: number | undefined;
  readonly respond: Respond;
}

/** Dependencies of the responder on the rest of the controller. */
export interface HeartbeatResponderPorts {
  heartbeatLog: Pick<HeartbeatLog, 'record'>;
  /** The replica of the store. */
  replica: ReplicatedJobs;
}

/** Sent if it is unknown whether the job of a reported task has ended, so that its lease is not renewed. */
const unknownOutcomeReply = unavailableReply;

/** Sends and records the responses to heartbeats. */
export class HeartbeatResponder {
  constructor(private readonly ports: HeartbeatResponderPorts) {}

  /**
   * Sends every response with status 200. Such a response renews the worker's lease, so it must end the
   * reported tasks of ended jobs, whether or not the heartbeat is reconciled. The outcome of a job is final,
   * so these stops are valid under every fencing token.
   */
  sendCommands(
    exchange: OpenExchange,
    result: HeartbeatResult,
    fencingToken: number,
    commands: WorkerCommand[],
  ): void {
    const { heartbeat, respond } = exchange;
    const { heartbeatLog, replica } = this.ports;
    const { ended, unknown } = tasksByEnding(heartbeat.tasks, replica, fencingToken);
    if (unknown.some((task) => !stopsImmediately(commands, task))) {
      this.refuse(exchange, 'outcome-unknown', unknownOutcomeReply);
      return;
    }
    heartbeatLog.record({ heartbeat, result, status: 200, fencingToken, endedJobTasks: ended });
    respond({ status: 200, body: heartbeatResponse(fencingToken, withStops(commands, ended)) });
  }

  /** Sends a response that does not renew the worker's lease. */
  refuse(exchange: OpenExchange, result: HeartbeatResult, reply: Reply): void {
    const { heartbeat, fencingToken, respond } = exchange;
    const { heartbeatLog, replica } = this.ports;
    // The token of another owner's lease is unknown here. Then only jobs with an outcome count as ended.
    const isOwner = fencingToken !== undefined && heartbeat.fencingToken <= fencingToken;
    const { ended } = tasksByEnding(heartbeat.tasks, replica, isOwner ? fencingToken : Infinity);
    const { status } = reply;
    heartbeatLog.record({ heartbeat, result, status, fencingToken, endedJobTasks: ended });
    respond(reply);
  }
}
