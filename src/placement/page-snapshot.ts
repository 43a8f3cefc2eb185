/**
 * Builds the content of a ledger page (one value in the store that records tasks of a block) for one commit.
 */
import { type LedgerEntry, maxEntryBytes } from '../wire/ledger-records.js';
import type { JobState, Task } from './job-state.js';
import type { Chunk, LedgerPage } from './ledger.js';

/**
 * The content that one commit writes to a page, and the tasks whose state changes if the commit is applied.
 */
export interface PageSnapshot {
  chunks: Chunk[];
  entries: LedgerEntry[];
  /**
   * Upper bound of the size of the entries in bytes. The exact size is not used, because measuring it for
   * each commit would cost more than writing the entries.
   */
  bytes: number;
  /** Tasks whose phase changes from `placing` to `placed` if the commit is applied. */
  placing: Task[];
  /** Tasks that the commit records as done, by job. */
  done: { job: JobState; indices: number[] }[];
}

/**
 * Returns the content of the page for the next commit. A commit can be conditioned on the records of only a
 * limited number of jobs, and a page has a maximum size. Tasks in phase `placing` that exceed one of these
 * limits are passed to `unassign`, so that they are placed again later.
 *
 * Tasks that are already on machines always stay in the result, so it can exceed `maxBytes` even without
 * tasks in phase `placing`. For example, this can happen while the ledger is converted to a smaller chunk
 * size: the tasks on machines are recorded again in compact entries, but the page reserves space for a
 * compact entry as if none of its tasks were on a machine. A task on a machine needs more space than a done
 * task, so the result shrinks again when these tasks are done.
 *
 * @param page the page to write
 * @param maxJobs maximum number of jobs whose tasks the commit may place
 * @param unassign returns a task to phase `waiting`
 * @param maxBytes maximum size of the page in bytes
 */
export function snapshotPage(
  page: LedgerPage,
  maxJobs: number,
  unassign: (task: Task) => void,
  maxBytes = Infinity,
): PageSnapshot {
  limitJobs(page, maxJobs, unassign);
  const bytes = limitBytes(page, maxBytes, unassign);
  return assembleSnapshot(page, bytes);
}

function limitJobs(page: LedgerPage, maxJobs: number, unassign: (task: Task) => void): void {
  const jobs = new Set<JobState>();
  for (const chunk of page.chunks) {
    rebuildEntryIfChanged(chunk);
    if (chunk.placing.length === 0) continue;
    const { job } = chunk.builder;
    if (jobs.has(job) || jobs.size < maxJobs) jobs.add(job);
    else unassignPlacingTasks(chunk, unassign);
  }
}

/**
 * Unassigns the tasks in phase `placing` chunk by chunk, beginning with the last chunk of the page, until the
 * entries fit into `maxBytes`. Returns the resulting upper bound of the size in bytes.
 */
function limitBytes(page: LedgerPage, maxBytes: number, unassign: (task: Task) => void): number {
  let bytes = 0;
  for (const { entryBytes } of page.chunks) bytes += entryBytes;
  for (const chunk of [...page.chunks].reverse()) {
    if (bytes <= maxBytes) break;
    bytes -= chunk.entryBytes;
    unassignPlacingTasks(chunk, unassign);
    bytes += chunk.entryBytes;
  }
  return bytes;
}

/** Rebuilds the entry of the chunk if one of its tasks has changed. */
function rebuildEntryIfChanged(chunk: Chunk): void {
  if (chunk.entry) return;
  const { entry, done } = chunk.builder.buildEntry(chunk.index);
  chunk.entry = entry;
  chunk.done = done;
  chunk.placing = chunk.builder.placingTasksOf(chunk.index);
  chunk.entryBytes = maxEntryBytes(entry);
}

function unassignPlacingTasks(chunk: Chunk, unassign: (task: Task) => void): void {
  for (const task of chunk.placing) unassign(task);
  rebuildEntryIfChanged(chunk);
}

function assembleSnapshot(page: LedgerPage, bytes: number): PageSnapshot {
  const snapshot: PageSnapshot = { chunks: [...page.chunks], entries: [], bytes, placing: [], done: [] };
  for (const chunk of page.chunks) {
    if (chunk.entry) snapshot.entries.push(chunk.entry);
    snapshot.placing.push(...chunk.placing);
    if (chunk.done.length > 0) snapshot.done.push({ job: chunk.builder.job, indices: chunk.done });
    chunk.placing = [];
    chunk.done = [];
  }
  return snapshot;
}
