/**
 * The pages in which the owner of a block records what becomes of tasks, and the room that their entries take.
 *
 * `run/<n>/<page>`, written by the block's owner (`LedgerWriter`), each attempt before its start command is sent. Read by
 * every controller, in `LedgerIndex`, and by a new owner of the block when it takes over.
 *
 * A page is a list of entries, an entry a list. In front, in both forms:
 *
 * | place | in the code | unit |
 * | --- | --- | --- |
 * | 0 | `id` | id of the job |
 * | 1 | `chunk` | number of the chunk from 0 |
 * | 2 | `team` | name |
 * | 3, 4 | `cpus`, `accelerators` | amount for each task |
 * | 5 | `memoryGb` | GB for each task |
 *
 * Then in the plain form, which every version reads:
 *
 * | place | in the code | unit |
 * | --- | --- | --- |
 * | 6 | `active` | list of [task, attempt, machine] |
 * | 7 | `waiting` | list of [task, last attempt] |
 * | 8 | `done` | first, last, first, last: numbers of tasks |
 *
 * Or in the compact form, from format 2 on (see `currentFormat`):
 *
 * | place | in the code | unit |
 * | --- | --- | --- |
 * | 6 | `active`, first attempts | task, machine, task, machine |
 * | 7 | `active`, later attempts | task, attempt, machine, and so on |
 * | 8 | `waiting` | task, last attempt, and so on |
 * | 9 | `done` | as in the plain form |
 * | 10 | `chunkTasks` | count of tasks |
 * | 11 | how machines are named | [prefix, count of digits]: a number above stands for such a name |
 *
 * Tasks are numbered from 0 in their job, attempts from 1.
 */
import { list, number, sizeOf, text } from './codec.js';

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

/** The stored form of a page. It holds entries of many jobs, so that one change of the store records a whole round. */
export function ledgerPage(entries: LedgerEntry[]): unknown {
  return entries.map(ledgerEntry);
}

/** The stored form of an entry: compact where it names the size of its chunk, else plain. */
export function ledgerEntry(entry: LedgerEntry): unknown {
  const { id, chunk, team, cpus, accelerators, memoryGb, active, waiting, done } = entry;
  const jobFields = [id, chunk, team, cpus, accelerators, memoryGb];
  return entry.chunkTasks === undefined
    ? [...jobFields, active, waiting, done]
    : [...jobFields, ...compactTasks(entry)];
}

/**
 * The entries of a page; none where there is no page. Every controller reads every page of all the others, so what the lists
 * hold is not checked: only controllers write them.
 */
export function parseLedgerPage(value: unknown): LedgerEntry[] {
  return list(value)
    .map((entry) => {
      const [id, chunk, team, cpus, accelerators, memoryGb, ...tasks] = list(entry);
      return {
        id: text(id),
        chunk: number(chunk),
        team: text(team),
        cpus: number(cpus),
        accelerators: number(accelerators),
        memoryGb: number(memoryGb),
        ...(tasks.length > plainListCount ? parseCompactTasks(tasks) : parsePlainTasks(tasks)),
      };
    })
    .filter((entry) => entry.id !== '');
}

type EntryTasks = Pick<LedgerEntry, 'active' | 'waiting' | 'done' | 'chunkTasks'>;

/** Entries of earlier versions end with the lists of active, waiting and done tasks. */
const plainListCount = 3;

function parsePlainTasks([active, waiting, done]: unknown[]): EntryTasks {
  return {
    active: list(active) as LedgerEntry['active'],
    waiting: list(waiting) as LedgerEntry['waiting'],
    done: list(done) as number[],
  };
}

/** How the names of machines are shortened to their numbers: a prefix, and the digits that follow it. */
type MachineNameForm = [prefix: string, digits: number];

const numberedNamePattern = /^(.*?)([0-9]{1,15})$/;

function nameFormOf(machine: string): MachineNameForm {
  const [, prefix = '', digits = ''] = numberedNamePattern.exec(machine) ?? [];
  return [prefix, digits.length];
}

function encodeMachineName(machine: string, [prefix, digits]: MachineNameForm): number | string {
  const hasForm = machine.length === prefix.length + digits && machine.startsWith(prefix);
  const rest = machine.slice(prefix.length);
  return hasForm && digits > 0 && /^[0-9]+$/.test(rest) ? Number(rest) : machine;
}

function decodeMachineName(name: unknown, [prefix, digits]: MachineNameForm): string {
  return typeof name === 'number' ? prefix + String(name).padStart(digits, '0') : text(name);
}

/**
 * Flat lists, since each change writes a whole page: first attempts as pairs of task and machine, later ones as triples with
 * the attempt, waiting tasks as pairs with their last attempt, ranges of completed tasks.
 */
function compactTasks({ active, waiting, done, chunkTasks }: LedgerEntry): unknown[] {
  const nameForm = nameFormOf(active[0]?.[2] ?? '');
  const firstAttempts: (number | string)[] = [];
  const laterAttempts: (number | string)[] = [];
  for (const [index, attempt, machine] of active) {
    if (attempt === 1) firstAttempts.push(index, encodeMachineName(machine, nameForm));
    else laterAttempts.push(index, attempt, encodeMachineName(machine, nameForm));
  }
  return [firstAttempts, laterAttempts, waiting.flat(), done, chunkTasks, nameForm];
}

function parseCompactTasks([
  firstAttempts,
  laterAttempts,
  waiting,
  done,
  chunkTasks,
  storedNameForm,
]: unknown[]): EntryTasks {
  const [prefix, digits] = list(storedNameForm);
  const nameForm: MachineNameForm = [text(prefix), number(digits)];
  const active: LedgerEntry['active'] = [];
  for (const [index, machine] of splitIntoTuples(firstAttempts, 2))
    active.push([number(index), 1, decodeMachineName(machine, nameForm)]);
  for (const [index, attempt, machine] of splitIntoTuples(laterAttempts, 3)) {
    active.push([number(index), number(attempt), decodeMachineName(machine, nameForm)]);
  }
  return {
    active,
    waiting: splitIntoTuples(waiting, 2).map(([index, attempt]) => [number(index), number(attempt)]),
    done: list(done) as number[],
    chunkTasks: number(chunkTasks),
  };
}

function splitIntoTuples(flat: unknown, size: number): unknown[][] {
  const all = list(flat);
  return Array.from({ length: Math.floor(all.length / size) }, (_, i) => all.slice(i * size, (i + 1) * size));
}

/** Worst case of one task, and of an entry without its tasks, in the JSON form that limits are measured in. */
const bytesPerTask = 28;

const bytesPerEntry = 120;

/** An entry takes this part of a page at most, so that pages fill well. */
const maxEntryShareOfPage = 1 / 4;

/** The least size of a page in bytes: it has to hold an entry with a task of its own. */
export const minPageBytes = Math.ceil((bytesPerEntry + bytesPerTask) / maxEntryShareOfPage);

/** How many tasks a plain entry takes, where pages have `valueBytes` bytes at most. */
export function tasksPerChunk(valueBytes: number): number {
  return Math.max(1, Math.floor((valueBytes * maxEntryShareOfPage - bytesPerEntry) / bytesPerTask));
}

/** Bytes that a plain entry with so many tasks takes at the most. */
export function entryBytes(tasks: number): number {
  return bytesPerEntry + tasks * bytesPerTask;
}

/**
 * Bytes that an entry takes as it stands, at the most; compact ones are measured, since they may fill a page to the last
 * byte.
 */
export function writtenBytes(entry: LedgerEntry): number {
  if (entry.chunkTasks !== undefined) return sizeOf(ledgerEntry(entry)) + 1;
  const { active, waiting, done } = entry;
  const doneRanges = done.length / 2;
  return bytesPerEntry + (active.length + waiting.length + doneRanges) * bytesPerTask;
}

/** Worst case of a task in a compact entry while it is on no machine, and an entry without its tasks as it mostly is. */
const bytesPerIdleTask = 11;

const bytesPerCompactEntry = 80;

/** How many tasks a compact entry takes, where pages have `pageBytes` bytes at most. */
export function compactTasksPerChunk(pageBytes: number): number {
  return Math.max(1, Math.floor((pageBytes * maxEntryShareOfPage - bytesPerCompactEntry) / bytesPerIdleTask));
}

/** Bytes that a compact entry with so many tasks takes once none of them is on a machine. */
export function compactEntryBytes(entry: LedgerEntry, tasks: number): number {
  return writtenBytes({ ...entry, active: [], waiting: [], done: [] }) + tasks * bytesPerIdleTask;
}
