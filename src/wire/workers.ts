/**
 * Heartbeats of workers (`POST /hello`) and the responses to them. `HeartbeatHandler` reads the one and writes the others.
 *
 * A heartbeat:
 *
 * | wire | in the code | unit |
 * | --- | --- | --- |
 * | `host` | `machine` | name |
 * | `endpoint` | `address` | host:port |
 * | `hull` | `type` | name |
 * | `berth` | `zone` | name |
 * | `loaners` | `spot` | boolean |
 * | `watch` | `agentEpoch` | count from 1 |
 * | `tick` | `sequence` | count |
 * | `helm` | `fencingToken` | revision of the state service; 0: none seen |
 * | `recallS` | `preemptionNoticeS` | s, or null |
 * | `pieces` | `tasks` | list, see below |
 *
 * A task in it:
 *
 * | wire | in the code | unit |
 * | --- | --- | --- |
 * | `piece` | `job`, `index` | `<job>/<number of the task from 0>` |
 * | `try` | `attempt` | count from 1 |
 * | `status` | `state` | name |
 * | `cause` | `cause` | name, of an ended task only |
 *
 * The response of the controller that owns the machine (200):
 *
 * | wire | in the code | unit |
 * | --- | --- | --- |
 * | `helm` | `fencingToken` | revision of the state service |
 * | `orders` | `commands` | list, see below; carried out in this order |
 *
 * A command in it:
 *
 * | wire | in the code | unit |
 * | --- | --- | --- |
 * | `verb` | `kind` | `run`: `start`, `halt`: `stop`, `reap`: `forget` |
 * | `piece`, `try` | `job`, `index`, `attempt` | as above |
 * | `leewayS` | `graceS` | s, of a stop only |
 *
 * The response of a controller that may not answer for the machine (421; 503 where no owner is known):
 *
 * | wire | in the code | unit |
 * | --- | --- | --- |
 * | `skipper` | `label` | name of the controller to report to; missing where none is named |
 */
import type { Heartbeat, ReportedTask, TaskRef, TaskState, WorkerCommand } from '../model/types.js';
import { type Fields, isFields, list, number, text } from './codec.js';

const taskStates: Record<string, TaskState> = {
  fetching: 'fetching',
  running: 'running',
  saving: 'saving',
  ended: 'ended',
};

const verbs: Record<WorkerCommand['kind'], string> = { start: 'run', stop: 'halt', forget: 'reap' };

function parseTaskRef(name: string): TaskRef | undefined {
  const slash = name.lastIndexOf('/');
  const index = Number(name.slice(slash + 1));
  if (slash <= 0 || !Number.isInteger(index) || index < 0) return undefined;
  return { job: name.slice(0, slash), index };
}

function parseTask(value: unknown): ReportedTask | undefined {
  if (!isFields(value)) return undefined;
  const ref = parseTaskRef(text(value['piece']));
  if (!ref) return undefined;
  return {
    ...ref,
    attempt: number(value['try']),
    state: taskStates[text(value['status'])] ?? 'other',
    cause: text(value['cause']),
  };
}

/**
 * A worker's heartbeat; undefined where it lacks its machine, epoch, sequence or list of tasks. Tasks without a proper name
 * are left out.
 */
export function parseHeartbeat(body: unknown): Heartbeat | undefined {
  if (!isFields(body)) return undefined;
  const machine = text(body['host']);
  const epoch = number(body['watch'], -1);
  const seq = number(body['tick'], -1);
  if (!machine || epoch < 0 || seq < 0 || !Array.isArray(body['pieces'])) return undefined;
  const noticeS = body['recallS'];
  return {
    machine,
    address: text(body['endpoint']),
    type: text(body['hull']),
    zone: text(body['berth']),
    spot: body['loaners'] === true,
    agentEpoch: epoch,
    sequence: seq,
    fencingToken: number(body['helm']),
    preemptionNoticeS: noticeS === null || noticeS === undefined ? null : number(noticeS),
    tasks: list(body['pieces'])
      .map(parseTask)
      .filter((t) => t !== undefined),
  };
}

function encodeCommand(command: WorkerCommand): Fields {
  const fields: Fields = {
    verb: verbs[command.kind],
    piece: `${command.job}/${command.index}`,
    try: command.attempt,
  };
  if (command.kind === 'stop') fields['leewayS'] = command.graceS ?? 0;
  return fields;
}

/**
 * The body of a 200. The worker drops the response where it has seen a higher fencing token; otherwise it renews the worker's
 * lease.
 */
export function heartbeatResponse(fencingToken: number, commands: WorkerCommand[]): unknown {
  return { helm: fencingToken, orders: commands.map(encodeCommand) };
}

/** The body of a 421 or 503: with the label of the controller to report to, or empty. */
export function redirectResponse(label: string | undefined): unknown {
  return label === undefined ? {} : { skipper: label };
}
