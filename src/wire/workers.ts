/**
 * Parses the heartbeats of workers (`POST /hello`) and builds the responses to them. `HeartbeatHandler` uses
 * both.
 *
 * A heartbeat:
 *
 * | wire | in the code | unit or meaning |
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
 * A task in a heartbeat:
 *
 * | wire | in the code | unit or meaning |
 * | --- | --- | --- |
 * | `piece` | `job`, `index` | `<job>/<number of the task from 0>` |
 * | `try` | `attempt` | count from 1 |
 * | `status` | `state` | name |
 * | `cause` | `cause` | name; only of an ended task |
 *
 * The response of the controller that owns the machine (200):
 *
 * | wire | in the code | unit or meaning |
 * | --- | --- | --- |
 * | `helm` | `fencingToken` | revision of the state service |
 * | `orders` | `commands` | list, see below; carried out in this order |
 *
 * A command in a response:
 *
 * | wire | in the code | unit or meaning |
 * | --- | --- | --- |
 * | `verb` | `kind` | `run`: `start`, `halt`: `stop`, `reap`: `forget` |
 * | `piece`, `try` | `job`, `index`, `attempt` | as above |
 * | `leewayS` | `graceS` | s; only of a stop |
 *
 * The response of a controller that may not send commands to the machine (421; 503 if no owner is known):
 *
 * | wire | in the code | unit or meaning |
 * | --- | --- | --- |
 * | `skipper` | `label` | name of the controller to report to; missing if no controller can be named |
 */
import type { Heartbeat, ReportedTask, TaskRef, TaskState, WorkerCommand } from '../model/types.js';
import { asList, asNumber, asText, type Fields, isFieldMap } from './codec.js';

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
  if (!isFieldMap(value)) return undefined;
  const ref = parseTaskRef(asText(value['piece']));
  if (!ref) return undefined;
  return {
    ...ref,
    attempt: asNumber(value['try']),
    state: taskStates[asText(value['status'])] ?? 'other',
    cause: asText(value['cause']),
  };
}

/**
 * Parses a worker's heartbeat. Returns undefined if the machine, epoch, sequence or list of tasks is missing.
 * Tasks whose name is malformed are left out.
 */
export function parseHeartbeat(body: unknown): Heartbeat | undefined {
  if (!isFieldMap(body)) return undefined;
  const machine = asText(body['host']);
  const epoch = asNumber(body['watch'], -1);
  const seq = asNumber(body['tick'], -1);
  if (!machine || epoch < 0 || seq < 0 || !Array.isArray(body['pieces'])) return undefined;
  const noticeS = body['recallS'];
  return {
    machine,
    address: asText(body['endpoint']),
    type: asText(body['hull']),
    zone: asText(body['berth']),
    spot: body['loaners'] === true,
    agentEpoch: epoch,
    sequence: seq,
    fencingToken: asNumber(body['helm']),
    preemptionNoticeS: noticeS === null || noticeS === undefined ? null : asNumber(noticeS),
    tasks: asList(body['pieces'])
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
 * The body of a response with status 200. If the worker has already received a higher fencing token, it
 * ignores the response. Otherwise the response renews the worker's lease.
 */
export function heartbeatResponse(fencingToken: number, commands: WorkerCommand[]): unknown {
  return { helm: fencingToken, orders: commands.map(encodeCommand) };
}

/**
 * The body of a response with status 421 or 503: the label of the controller to which the worker has to
 * report. The body is empty if `label` is undefined.
 */
export function redirectResponse(label: string | undefined): unknown {
  return label === undefined ? {} : { skipper: label };
}
