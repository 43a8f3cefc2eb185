import type { WorkerCommand, Heartbeat, ReportedTask, TaskRef, TaskState } from '../model/types.js';
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

/** A worker's report, or undefined where it lacks what identifies it. */
export function parseHeartbeat(body: unknown): Heartbeat | undefined {
  if (!isFields(body)) return undefined;
  const machine = text(body['host']);
  const session = number(body['watch'], -1);
  const seq = number(body['tick'], -1);
  if (!machine || session < 0 || seq < 0 || !Array.isArray(body['pieces'])) return undefined;
  const recall = body['recallS'];
  return {
    machine,
    address: text(body['endpoint']),
    type: text(body['hull']),
    zone: text(body['berth']),
    spot: body['loaners'] === true,
    agentEpoch: session,
    sequence: seq,
    fencingToken: number(body['helm']),
    preemptionNoticeS: recall === null || recall === undefined ? null : number(recall),
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

export function heartbeatResponse(fencingToken: number, commands: WorkerCommand[]): unknown {
  return { helm: fencingToken, orders: commands.map(encodeCommand) };
}

export function redirectResponse(label: string | undefined): unknown {
  return label === undefined ? {} : { skipper: label };
}
