import type { JobSpec } from '../model/types.js';
import { isFields, list, number, sizeOf, text } from './codec.js';

/** The values we keep in the state service, under our own names: these are read by our own processes only. */

export const leadKey = 'lead';
export const aliveKey = (label: string): string => `alive/${label}`;
export const blockKey = (block: number): string => `block/${block}`;
export const machinesPrefix = (block: number): string => `machines/${block}/`;
export const machinesKey = (block: number, page: number): string => `${machinesPrefix(block)}${page}`;
/** The format that a controller's version reads and writes, kept for good once it has run. */
export const formatKey = (label: string): string => `formats/${label}`;
export const ladderKey = (pool: string): string => `ladder/${pool}`;
export const jobKey = (id: string): string => `job/${id}`;
export const endPrefix = 'end/';
export const endKey = (id: string): string => `${endPrefix}${id}`;
/** The job whose end the key holds, if it is such a key. */
export const endedJob = (key: string): string | undefined =>
  key.startsWith(endPrefix) ? key.slice(endPrefix.length) : undefined;
export const ledgerPrefix = (block: number): string => `run/${block}/`;
export const ledgerKey = (block: number, page: number): string => `${ledgerPrefix(block)}${page}`;

export function parseLedgerKey(key: string): { block: number; page: number } | undefined {
  const [root, block, page] = key.split('/');
  if (root !== 'run' || block === undefined || page === undefined) return undefined;
  return { block: Number(block), page: Number(page) };
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
  /** The page of the block's machines that names it; none yet, or the block's record names it itself. */
  page?: number;
}

/** What a team's tasks in one block may use; a missing entry means that the team has no limit. */
export type Shares = Record<string, [cpus: number, accelerators: number]>;

export interface BlockRecord {
  owner: string;
  /** The life of the owner's process that it is leased to: a later life renews the lease, and with it the tokens. */
  boot: string;
  machines: LeasedMachine[];
  shares: Shares;
  /** The least token of the machines that pages name: the revision of the lease to the present owner. */
  leaseToken?: number;
}

/** A value of the store and the revision of its last change. */
export interface StoredValue {
  value: unknown;
  version: number;
}

/** Machines grouped by kind, with the names left once and times of day in seconds. */
export function machineGroups(machines: Iterable<LeasedMachine>): unknown[] {
  const groups = new Map<string, unknown[]>();
  for (const m of machines) {
    const key = kindOfMachine(m);
    let group = groups.get(key);
    if (!group) groups.set(key, (group = [m.type, m.zone, m.spot, []]));
    (group[3] as unknown[]).push([m.id, m.token, Math.round(m.since / 1000), ...(m.leaving ? [1] : [])]);
  }
  return [...groups.values()];
}

export function kindOfMachine({ type, zone, spot }: LeasedMachine): string {
  return `${type}/${zone}/${spot}`;
}

/** The record of a block with all its machines, which earlier versions can read. */
export function blockRecord(record: BlockRecord): unknown {
  const { owner, boot, shares } = record;
  return { owner, boot, shares, machines: machineGroups(record.machines) };
}

/** The record of a block whose machines are named by pages of their own. */
export function pagedBlockRecord(record: BlockRecord): unknown {
  const { owner, boot, shares, leaseToken } = record;
  return { owner, boot, shares, leaseToken: leaseToken ?? leastToken };
}

/** A lease that raises no token. */
const leastToken = 1;

/** In the store, a token of 0 stands for the revision of the record itself: nobody knows it before the commit. */
export const tokenOfThisCommit = 0;

/** True where the record names the machines itself; pages that are there as well mean nothing. */
export function namesItsMachines(value: unknown): boolean {
  return isFields(value) && Array.isArray(value['machines']);
}

/** `pages`: the pages of the block's machines by number. */
export function parseBlock(
  value: unknown,
  version: number,
  pages: Iterable<[number, StoredValue]> = [],
): BlockRecord | undefined {
  if (!isFields(value)) return undefined;
  const shares: Shares = {};
  if (isFields(value['shares'])) {
    for (const [team, share] of Object.entries(value['shares'])) {
      const [cpus, accelerators] = list(share);
      shares[team] = [number(cpus), number(accelerators)];
    }
  }
  const lease = { owner: text(value['owner']), boot: text(value['boot']), shares };
  if (namesItsMachines(value)) return { ...lease, machines: parseMachines(value['machines'], version) };
  const leaseToken = tokenOr(value['leaseToken'], version);
  const machines: LeasedMachine[] = [];
  for (const [page, stored] of pages) {
    for (const machine of parseMachines(stored.value, stored.version)) {
      machines.push({ ...machine, token: Math.max(machine.token, leaseToken), page });
    }
  }
  return { ...lease, machines, leaseToken };
}

function tokenOr(value: unknown, version: number): number {
  return number(value) === tokenOfThisCommit ? version : number(value);
}

function parseMachines(groups: unknown, version: number): LeasedMachine[] {
  return list(groups).flatMap((group) => {
    const [type, zone, spot, machines] = list(group);
    return list(machines).map((machine) => {
      const [id, token, since, leaving] = list(machine);
      return {
        ...{ id: text(id), token: tokenOr(token, version) },
        ...{ type: text(type), zone: text(zone), spot: spot === true },
        ...{ leaving: leaving === 1, since: number(since) * 1000 },
      };
    });
  });
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

export interface EndRecord {
  end: End;
  /** Kept for answers about a job whose record has gone. */
  tasks: number;
  /** Time of day of the end in ms: the times of dependent jobs count from it. Unknown for ends of earlier versions. */
  at?: number;
}

export function endRecord(record: EndRecord): unknown {
  return { ...record };
}

export function parseEnd(value: unknown): EndRecord | undefined {
  if (!isFields(value)) return undefined;
  const { end, tasks, at } = value;
  if (end !== 'done' && end !== 'cancelled') return undefined;
  return { end, tasks: number(tasks), ...(at === undefined ? {} : { at: number(at) }) };
}

/** Consecutive tasks of a job that are dispatched to a block, which places them. */
export interface Part {
  block: number;
  first: number;
  count: number;
}

/** Room that a job's record keeps for the ranges of its tasks, in the JSON form that limits are measured in. */
export const leastPartsBytes = 256;

/** Worst case of one range in that form. */
const bytesPerPart = 24;

/** How many ranges the record of a job may have as a value of the state service. */
export function mostParts(spec: JobSpec, valueBytes: number): number {
  const bytes = valueBytes - sizeOf(jobRecord({ spec, parts: [] }));
  return Math.max(1, Math.floor(bytes / bytesPerPart));
}

export interface JobRecord {
  spec: JobSpec;
  /** What no range covers has yet to be dispatched by the leader: no block had room for it so far. */
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

/**
 * What a block has of a job's tasks, or of so many of them as one entry takes: a chunk of consecutive numbers. What is
 * in none of its lists has never been started.
 */
export interface LedgerEntry {
  id: string;
  chunk: number;
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
  /**
   * Tasks of a chunk, where these are not as many as earlier versions take. Where entries of several sizes cover a task, the
   * one of the smallest size is the newest and the only one that counts.
   */
  chunkTasks?: number;
}

/** Whether the version of a controller heeds dependencies, pages of machines and entries of other sizes. */
export const currentFormat = 2;

export function formatRecord(): unknown {
  return { format: currentFormat };
}

export function parseFormat(value: unknown): number {
  return number(isFields(value) ? value['format'] : undefined);
}

/** A page of a block's ledger holds entries of many jobs, so that one change of the store records a whole round. */
export function ledgerPage(entries: LedgerEntry[]): unknown {
  return entries.map(ledgerEntry);
}

export function ledgerEntry(entry: LedgerEntry): unknown {
  const { id, chunk, team, cpus, accelerators, memoryGb, active, waiting, done } = entry;
  const job = [id, chunk, team, cpus, accelerators, memoryGb];
  return entry.chunkTasks === undefined ? [...job, active, waiting, done] : [...job, ...compactTasks(entry)];
}

/** Every controller reads every page of all the others, so the lists are taken as they come: we alone write them. */
export function parseLedgerPage(value: unknown): LedgerEntry[] {
  return list(value)
    .map((entry) => {
      const [id, chunk, team, cpus, accelerators, memoryGb, ...tasks] = list(entry);
      return {
        ...{ id: text(id), chunk: number(chunk), team: text(team) },
        ...{ cpus: number(cpus), accelerators: number(accelerators), memoryGb: number(memoryGb) },
        ...(tasks.length > plainLists ? parseCompactTasks(tasks) : parsePlainTasks(tasks)),
      };
    })
    .filter((entry) => entry.id !== '');
}

type EntryTasks = Pick<LedgerEntry, 'active' | 'waiting' | 'done' | 'chunkTasks'>;

/** Entries of earlier versions end with the lists of active, waiting and done tasks. */
const plainLists = 3;

function parsePlainTasks([active, waiting, done]: unknown[]): EntryTasks {
  return {
    active: list(active) as LedgerEntry['active'],
    waiting: list(waiting) as LedgerEntry['waiting'],
    done: list(done) as number[],
  };
}

/** How the names of machines are shortened to their numbers: a prefix, and the digits that follow it. */
type MachineNames = [prefix: string, digits: number];

const numberedName = /^(.*?)([0-9]{1,15})$/;

function namesLike(machine: string): MachineNames {
  const [, prefix = '', digits = ''] = numberedName.exec(machine) ?? [];
  return [prefix, digits.length];
}

function shortName(machine: string, [prefix, digits]: MachineNames): number | string {
  const isLike = machine.length === prefix.length + digits && machine.startsWith(prefix);
  const rest = machine.slice(prefix.length);
  return isLike && digits > 0 && /^[0-9]+$/.test(rest) ? Number(rest) : machine;
}

function longName(name: unknown, [prefix, digits]: MachineNames): string {
  return typeof name === 'number' ? prefix + String(name).padStart(digits, '0') : text(name);
}

/**
 * Flat lists, since each change writes a whole page: first attempts as pairs of task and machine, later ones as triples with
 * the attempt, waiting tasks as pairs with their last attempt, ranges of completed tasks.
 */
function compactTasks({ active, waiting, done, chunkTasks }: LedgerEntry): unknown[] {
  const names = namesLike(active[0]?.[2] ?? '');
  const first: (number | string)[] = [];
  const later: (number | string)[] = [];
  for (const [index, attempt, machine] of active) {
    if (attempt === 1) first.push(index, shortName(machine, names));
    else later.push(index, attempt, shortName(machine, names));
  }
  return [first, later, waiting.flat(), done, chunkTasks, names];
}

function parseCompactTasks([first, later, waiting, done, chunkTasks, nameForm]: unknown[]): EntryTasks {
  const [prefix, digits] = list(nameForm);
  const names: MachineNames = [text(prefix), number(digits)];
  const active: LedgerEntry['active'] = [];
  for (const [index, machine] of groups(first, 2)) active.push([number(index), 1, longName(machine, names)]);
  for (const [index, attempt, machine] of groups(later, 3)) {
    active.push([number(index), number(attempt), longName(machine, names)]);
  }
  return {
    active,
    waiting: groups(waiting, 2).map(([index, attempt]) => [number(index), number(attempt)]),
    done: list(done) as number[],
    chunkTasks: number(chunkTasks),
  };
}

function groups(flat: unknown, size: number): unknown[][] {
  const all = list(flat);
  return Array.from({ length: Math.floor(all.length / size) }, (_, i) => all.slice(i * size, (i + 1) * size));
}

/** Worst case of one task, and of an entry without its tasks, in the JSON form that limits are measured in. */
const bytesPerTask = 28;
const bytesPerEntry = 120;
/** An entry takes this part of a page at most, so that pages fill well. */
const chunkShare = 1 / 4;

/** A page has to hold an entry with a task of its own. */
export const leastPageBytes = Math.ceil((bytesPerEntry + bytesPerTask) / chunkShare);

export function tasksPerChunk(valueBytes: number): number {
  return Math.max(1, Math.floor((valueBytes * chunkShare - bytesPerEntry) / bytesPerTask));
}

export function entryBytes(tasks: number): number {
  return bytesPerEntry + tasks * bytesPerTask;
}

/** What an entry takes as it stands, at the most; compact ones are measured, since they may fill a page to the last byte. */
export function writtenBytes(entry: LedgerEntry): number {
  if (entry.chunkTasks !== undefined) return sizeOf(ledgerEntry(entry)) + 1;
  const { active, waiting, done } = entry;
  return bytesPerEntry + (active.length + waiting.length + done.length) * bytesPerTask;
}

/** Worst case of a task in a compact entry while it is on no machine, and an entry without its tasks as it mostly is. */
const bytesPerIdleTask = 11;
const bytesPerCompactEntry = 80;

export function compactTasksPerChunk(pageBytes: number): number {
  return Math.max(1, Math.floor((pageBytes * chunkShare - bytesPerCompactEntry) / bytesPerIdleTask));
}

/** What an entry with so many tasks takes once none of them is on a machine. */
export function compactEntryBytes(entry: LedgerEntry, tasks: number): number {
  return writtenBytes({ ...entry, active: [], waiting: [], done: [] }) + tasks * bytesPerIdleTask;
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

/** Worst case of a threshold, and of a ladder without any, in the JSON form that limits are measured in. */
const bytesPerThreshold = 20;
const bytesPerLadder = 20;

/** The thresholds of a pool that were moved from where they start: [m, slots]; of too many for a value the last ones. */
export function ladderRecord(moved: [number, number][], valueBytes = Infinity): unknown {
  const most = Math.floor((valueBytes - bytesPerLadder) / bytesPerThreshold);
  return { moved: moved.slice(-most) };
}

export function parseLadder(value: unknown): [number, number][] {
  return list(isFields(value) ? value['moved'] : undefined).map((entry) => {
    const [m, slots] = list(entry);
    return [number(m), number(slots)];
  });
}
