import type { Order, Report, ReportedTask, TaskRef, TaskState } from '../model/types.js';
import { type Fields, isFields, list, number, text } from './codec.js';

const taskStates: Record<string, TaskState> = {
  fetching: 'fetching',
  running: 'running',
  saving: 'saving',
  ended: 'ended',
};

const verbs: Record<Order['kind'], string> = { start: 'run', stop: 'halt', forget: 'reap' };

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
export function parseReport(body: unknown): Report | undefined {
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
    session,
    seq,
    token: number(body['helm']),
    noticeS: recall === null || recall === undefined ? null : number(recall),
    tasks: list(body['pieces'])
      .map(parseTask)
      .filter((t) => t !== undefined),
  };
}

function encodeOrder(order: Order): Fields {
  const fields: Fields = {
    verb: verbs[order.kind],
    piece: `${order.job}/${order.index}`,
    try: order.attempt,
  };
  if (order.kind === 'stop') fields['leewayS'] = order.graceS ?? 0;
  return fields;
}

export function reportAnswer(token: number, orders: Order[]): unknown {
  return { helm: token, orders: orders.map(encodeOrder) };
}

export function redirectAnswer(label: string | undefined): unknown {
  return label === undefined ? {} : { skipper: label };
}
