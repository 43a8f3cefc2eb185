/**
 * Stored form of the pages of a block's ledger, and the sizes of ledger entries in bytes. A block is a set of
 * machines that is leased to one controller, its owner. The owner records the progress of the block's tasks
 * in the ledger.
 *
 * `run/<n>/<page>` is written by the owner of the block (`LedgerWriter`). The owner records each task attempt
 * before it sends the start command of the attempt. Every controller reads the pages (`LedgerIndex`). A new
 * owner of the block reads the pages when it takes over the block.
 *
 * A page is a list of entries, and each entry is a list. An entry records one chunk of a job's tasks in the
 * block. A chunk is a range of consecutive task numbers. Both forms of an entry begin with:
 *
 * | index | in the code | unit or meaning |
 * | --- | --- | --- |
 * | 0 | `id` | id of the job |
 * | 1 | `chunk` | number of the chunk from 0 |
 * | 2 | `team` | name |
 * | 3, 4 | `cpus`, `accelerators` | amount for each task |
 * | 5 | `memoryGb` | GB for each task |
 *
 * The plain form, which every version reads, continues with:
 *
 * | index | in the code | unit or meaning |
 * | --- | --- | --- |
 * | 6 | `active` | list of [task, attempt, machine] |
 * | 7 | `waiting` | list of [task, last attempt] |
 * | 8 | `done` | first, last, first, last: numbers of tasks |
 *
 * The compact form, used from format 2 on (see `currentFormat`), continues with:
 *
 * | index | in the code | unit or meaning |
 * | --- | --- | --- |
 * | 6 | `active`, first attempts | task, machine, task, machine |
 * | 7 | `active`, later attempts | task, attempt, machine, and so on |
 * | 8 | `waiting` | task, last attempt, and so on |
 * | 9 | `done` | as in the plain form |
 * | 10 | `chunkTasks` | chunk size, a count of tasks |
 * | 11 | form of machine names | [prefix, count of digits] of the machine names that are stored as a number |
 *
 * Tasks are numbered from 0 within their job, attempts from 1.
 */
import { asList, asNumber, asText, jsonSizeBytes } from './codec.js';

/**
 * The recorded state of one chunk of a job's tasks in a block. A chunk is a range of consecutive task numbers
 * that fits into one entry. A task of the chunk that is in none of the three lists has never been started.
 */
export interface LedgerEntry {
  id: string;
  chunk: number;
  /**
   * Team and resources are stored here so that tasks still on machines count towards the usage of the team
   * after the record of the job has been deleted.
   */
  team: string;
  cpus: number;
  accelerators: number;
  memoryGb: number;
  /** Tasks that are or may be on a machine: [index, attempt, machine]. */
  active: [number, number, string][];
  /** Tasks that wait for a retry after an earlier attempt: [index, number of the latest attempt]. */
  waiting: [number, number][];
  /** Completed tasks as ranges: first, last, first, last, … */
  done: number[];
  /**
   * The chunk size, that is, the number of tasks in every chunk of the job except the last, which may have
   * fewer. Undefined if the chunks have the size that earlier versions use. If entries with different chunk
   * sizes cover a task, the entry with the smallest chunk size is the newest, and all other entries are
   * ignored for this task.
   */
  chunkTasks?: number;
}

/**
 * The stored form of a page. A page holds entries of many jobs, so that one write can record a whole
 * placement round, that is, one pass of the scheduler over the waiting tasks.
 */
export function ledgerPage(entries: LedgerEntry[]): unknown {
  return entries.map(ledgerEntry);
}

/** The stored form of an entry: compact if the entry has `chunkTasks`, else plain. */
export function ledgerEntry(entry: LedgerEntry): unknown {
  const { id, chunk, team, cpus, accelerators, memoryGb, active, waiting, done } = entry;
  const jobFields = [id, chunk, team, cpus, accelerators, memoryGb];
  return entry.chunkTasks === undefined
    ? [...jobFields, active, waiting, done]
    : [...jobFields, ...compactTasks(entry)];
}

/**
 * Parses the entries of a page. Returns an empty list if there is no page. The items of the lists are not
 * validated, because every controller reads every page of all other controllers, and only controllers write
 * pages.
 */
export function parseLedgerPage(value: unknown): LedgerEntry[] {
  return asList(value)
    .map((entry) => {
      const [id, chunk, team, cpus, accelerators, memoryGb, ...tasks] = asList(entry);
      return {
        id: asText(id),
        chunk: asNumber(chunk),
        team: asText(team),
        cpus: asNumber(cpus),
        accelerators: asNumber(accelerators),
        memoryGb: asNumber(memoryGb),
        ...(tasks.length > plainListCount ? parseCompactTasks(tasks) : parsePlainTasks(tasks)),
      };
    })
    .filter((entry) => entry.id !== '');
}

type EntryTasks = Pick<LedgerEntry, 'active' | 'waiting' | 'done' | 'chunkTasks'>;

/**
 * Number of lists at the end of a plain entry: active, waiting and done tasks. A compact entry contains more.
 */
const plainListCount = 3;

function parsePlainTasks([active, waiting, done]: unknown[]): EntryTasks {
  return {
    active: asList(active) as LedgerEntry['active'],
    waiting: asList(waiting) as LedgerEntry['waiting'],
    done: asList(done) as number[],
  };
}

/**
 * The form of the machine names that are stored as a number: a prefix and the count of digits after the
 * prefix.
 */
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
  return typeof name === 'number' ? prefix + String(name).padStart(digits, '0') : asText(name);
}

/**
 * The compact form of an entry's tasks. The lists are flat to save space, because each change writes a whole
 * page: first attempts as pairs of task and machine, later attempts as triples of task, attempt and machine,
 * waiting tasks as pairs of task and latest attempt, completed tasks as ranges.
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
  const [prefix, digits] = asList(storedNameForm);
  const nameForm: MachineNameForm = [asText(prefix), asNumber(digits)];
  const active: LedgerEntry['active'] = [];
  for (const [index, machine] of splitIntoTuples(firstAttempts, 2))
    active.push([asNumber(index), 1, decodeMachineName(machine, nameForm)]);
  for (const [index, attempt, machine] of splitIntoTuples(laterAttempts, 3)) {
    active.push([asNumber(index), asNumber(attempt), decodeMachineName(machine, nameForm)]);
  }
  return {
    active,
    waiting: splitIntoTuples(waiting, 2).map(([index, attempt]) => [asNumber(index), asNumber(attempt)]),
    done: asList(done) as number[],
    chunkTasks: asNumber(chunkTasks),
  };
}

function splitIntoTuples(flat: unknown, size: number): unknown[][] {
  const all = asList(flat);
  return Array.from({ length: Math.floor(all.length / size) }, (_, i) => all.slice(i * size, (i + 1) * size));
}

/**
 * Maximum size in bytes, as JSON, of a task or of a range of completed tasks. Size limits refer to the size
 * as JSON.
 */
const bytesPerTask = 28;

/** Maximum size in bytes, as JSON, of an entry without tasks. */
const bytesPerEntry = 120;

/** Maximum share of a page that one entry may use, so that little of a page stays unused. */
const maxEntryShareOfPage = 1 / 4;

/**
 * Minimum size of a page in bytes, because an entry with a single task has to fit into its share of the page.
 */
export const minPageBytes = Math.ceil((bytesPerEntry + bytesPerTask) / maxEntryShareOfPage);

/** Maximum number of tasks in a plain entry, at least 1, if a page has at most `valueBytes` bytes. */
export function plainTasksPerChunk(valueBytes: number): number {
  return Math.max(1, Math.floor((valueBytes * maxEntryShareOfPage - bytesPerEntry) / bytesPerTask));
}

/** Maximum size in bytes of a plain entry with this number of tasks. */
export function maxPlainEntryBytes(tasks: number): number {
  return bytesPerEntry + tasks * bytesPerTask;
}

/**
 * Maximum size in bytes of an entry with its current tasks. The size of a plain entry is estimated. The size
 * of a compact entry is measured, because compact entries may fill a page to the last byte.
 */
export function maxEntryBytes(entry: LedgerEntry): number {
  if (entry.chunkTasks !== undefined) return jsonSizeBytes(ledgerEntry(entry)) + 1;
  const { active, waiting, done } = entry;
  const doneRanges = done.length / 2;
  return bytesPerEntry + (active.length + waiting.length + doneRanges) * bytesPerTask;
}

/** Maximum size in bytes, as JSON, of a task in a compact entry if the task is on no machine. */
const bytesPerIdleTask = 11;

/** Usual size in bytes, as JSON, of a compact entry without tasks. */
const bytesPerCompactEntry = 80;

/**
 * Number of tasks in a chunk that is stored as a compact entry, at least 1, if a page has at most `pageBytes`
 * bytes.
 */
export function compactTasksPerChunk(pageBytes: number): number {
  return Math.max(1, Math.floor((pageBytes * maxEntryShareOfPage - bytesPerCompactEntry) / bytesPerIdleTask));
}

/**
 * Maximum size in bytes of a compact entry with this number of tasks if none of the tasks is on a machine.
 */
export function maxIdleCompactEntryBytes(entry: LedgerEntry, tasks: number): number {
  return maxEntryBytes({ ...entry, active: [], waiting: [], done: [] }) + tasks * bytesPerIdleTask;
}
