import type { JobSpec } from '../model/types.js';
import { isFields, list, number, text } from './codec.js';

/** The values we keep in the state service, under our own names: these are read by our own processes only. */

export const leadKey = 'lead';
/** The one block of this version: all machines, leased to the leader. */
export const blockKey = 'block/0';
export const jobKey = (id: string): string => `job/${id}`;
export const endKey = (id: string): string => `end/${id}`;
export const runKey = (id: string, page: number): string => `run/${id}/${page}`;

export interface LeadRecord {
  label: string;
  boot: string;
  serial: number;
}

export function leadRecord(lead: LeadRecord): unknown {
  return { ...lead };
}

export function parseLead(value: unknown): LeadRecord | undefined {
  if (!isFields(value)) return undefined;
  return { label: text(value['label']), boot: text(value['boot']), serial: number(value['serial']) };
}

export function blockRecord(owner: LeadRecord): unknown {
  return { owner: owner.label, boot: owner.boot, serial: owner.serial, machines: 'all' };
}

export type End = 'done' | 'cancelled';

/** Keeps the number of tasks, for answers about a job whose record has gone. */
export function endRecord(end: End, tasks: number): unknown {
  return { end, tasks };
}

export function parseEnd(value: unknown): { end: End; tasks: number } | undefined {
  if (!isFields(value)) return undefined;
  const { end, tasks } = value;
  return end === 'done' || end === 'cancelled' ? { end, tasks: number(tasks) } : undefined;
}

export function parseJobRecord(value: unknown): JobSpec | undefined {
  return isFields(value) && typeof value['id'] === 'string' ? (value as unknown as JobSpec) : undefined;
}

/** One page of a job's tasks. What is in none of the lists has never been started. */
export interface RunPage {
  /** Team and resources, so that tasks still on machines count after the job record has gone. */
  team: string;
  cpus: number;
  accelerators: number;
  memoryGb: number;
  /** Tasks that are on a machine, or may be: [index, attempt, machine]. */
  active: [number, number, string][];
  /** Tasks that wait after an earlier attempt: [index, last attempt]. */
  waiting: [number, number][];
  /** Completed tasks as ranges: first, last, first, last… */
  done: number[];
}

export function parseRunPage(value: unknown): RunPage | undefined {
  if (!isFields(value)) return undefined;
  return {
    team: text(value['team']),
    cpus: number(value['cpus']),
    accelerators: number(value['accelerators']),
    memoryGb: number(value['memoryGb']),
    active: list(value['active']).map((entry) => {
      const [index, attempt, machine] = list(entry);
      return [number(index), number(attempt), text(machine)];
    }),
    waiting: list(value['waiting']).map((entry) => {
      const [index, attempt] = list(entry);
      return [number(index), number(attempt)];
    }),
    done: list(value['done']).map((n) => number(n)),
  };
}

/** Worst case of one task in a page, in the JSON form that limits are measured in. */
const bytesPerTask = 48;

export function tasksPerPage(valueBytes: number): number {
  return Math.max(1, Math.floor((valueBytes - 512) / bytesPerTask));
}

export function toRanges(sorted: Iterable<number>): number[] {
  const ranges: number[] = [];
  for (const n of sorted) {
    const last = ranges.length - 1;
    if (ranges.length > 0 && ranges[last] === n - 1) ranges[last] = n;
    else ranges.push(n, n);
  }
  return ranges;
}

export function* fromRanges(ranges: number[]): Iterable<number> {
  for (let i = 0; i + 1 < ranges.length; i += 2) {
    for (let n = ranges[i] ?? 0; n <= (ranges[i + 1] ?? -1); n++) yield n;
  }
}
