import type { JobSpec } from '../model/types.js';
import { isFields, list, number, text } from './codec.js';

/** The values we keep in the state service, under our own names: these are read by our own processes only. */

export const leadKey = 'lead';
export const aliveKey = (label: string): string => `alive/${label}`;
export const blockKey = (block: number): string => `block/${block}`;
export const ladderKey = (pool: string): string => `ladder/${pool}`;
export const jobKey = (id: string): string => `job/${id}`;
export const endKey = (id: string): string => `end/${id}`;
export const runKey = (id: string, block: number, page: number): string => `run/${id}/${block}/${page}`;

export function parseRunKey(key: string): { id: string; block: number; page: number } | undefined {
  const [root, id, block, page] = key.split('/');
  if (root !== 'run' || id === undefined || page === undefined) return undefined;
  return { id, block: Number(block), page: Number(page) };
}

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

/** A machine as its block's record names it. */
export interface LeasedMachine {
  id: string;
  /** The revision of the commit that leased it to its present owner. */
  token: number;
  type: string;
  zone: string;
  spot: boolean;
  /** Nothing more may be placed on it: it is about to be given back or leased to another. */
  leaving: boolean;
  /** Time of day of its rental in ms, as far as known. */
  since: number;
}

/** What a team's tasks in one block may use; a missing entry means that the team has no limit. */
export type Shares = Record<string, [cpus: number, accelerators: number]>;

export interface BlockRecord {
  owner: string;
  /** The life of the owner's process that it is leased to: a later life renews the lease, and with it the tokens. */
  boot: string;
  machines: LeasedMachine[];
  shares: Shares;
}

/** In the store, a token of 0 stands for the revision of the record itself: nobody knows it before the commit. */
export const tokenOfThisCommit = 0;

export function parseBlock(value: unknown, version: number): BlockRecord | undefined {
  if (!isFields(value)) return undefined;
  const shares: Shares = {};
  if (isFields(value['shares'])) {
    for (const [team, share] of Object.entries(value['shares'])) {
      const [cpus, accelerators] = list(share);
      shares[team] = [number(cpus), number(accelerators)];
    }
  }
  return {
    owner: text(value['owner']),
    boot: text(value['boot']),
    shares,
    machines: list(value['machines'])
      .filter(isFields)
      .map((m) => ({
        id: text(m['id']),
        token: number(m['token']) === tokenOfThisCommit ? version : number(m['token']),
        type: text(m['type']),
        zone: text(m['zone']),
        spot: m['spot'] === true,
        leaving: m['leaving'] === true,
        since: number(m['since']),
      })),
  };
}

export interface AliveRecord {
  boot: string;
  zone: string;
}

export function parseAlive(value: unknown): AliveRecord | undefined {
  if (!isFields(value)) return undefined;
  return { boot: text(value['boot']), zone: text(value['zone']) };
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

/** Consecutive tasks of a job that are dealt to a block, which places them. */
export interface Part {
  block: number;
  first: number;
  count: number;
}

export interface JobRecord {
  spec: JobSpec;
  /** What no range covers has yet to be dealt by the leader: no block had room for it so far. */
  parts: Part[];
}

export function jobRecord(job: JobRecord): unknown {
  return { spec: job.spec, parts: job.parts.map((p) => [p.block, p.first, p.count]) };
}

export function parseJobRecord(value: unknown): JobRecord | undefined {
  if (!isFields(value) || !isFields(value['spec']) || typeof value['spec']['id'] !== 'string')
    return undefined;
  return {
    spec: value['spec'] as unknown as JobSpec,
    parts: list(value['parts']).map((part) => {
      const [block, first, count] = list(part);
      return { block: number(block), first: number(first), count: number(count) };
    }),
  };
}

/** One page of a job's tasks. What is in none of the lists has never been started. */
export interface RunPage {
  block: number;
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
    block: number(value['block']),
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

export function rangesSize(ranges: number[]): number {
  let size = 0;
  for (let i = 0; i + 1 < ranges.length; i += 2) size += (ranges[i + 1] ?? 0) - (ranges[i] ?? 0) + 1;
  return size;
}

/** The thresholds of a pool that were moved from where they start: [m, slots]. */
export function ladderRecord(moved: [number, number][]): unknown {
  return { moved };
}

export function parseLadder(value: unknown): [number, number][] {
  return list(isFields(value) ? value['moved'] : undefined).map((entry) => {
    const [m, slots] = list(entry);
    return [number(m), number(slots)];
  });
}
