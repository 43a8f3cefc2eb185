/** A page of the ledger as one commit is to write it. */
import { type LedgerEntry, writtenBytes } from '../wire/ledger-records.js';
import type { JobState, Task } from './job-state.js';
import type { Chunk, LedgerPage } from './ledger.js';

/** What a commit of a page writes, and what it decides if it is applied. */
export interface PageSnapshot {
  chunks: Chunk[];
  entries: LedgerEntry[];
  /** What the entries take at the most: measuring them each time would cost more than writing them. */
  bytes: number;
  /** Tasks that turn from placing to placed. */
  placing: Task[];
  /** Tasks that are committed as done. */
  done: { job: JobState; indices: number[] }[];
}

/**
 * The page as it should stand in the store. A commit can be conditioned on so many jobs only, and a page holds so many bytes:
 * tasks that are being placed beyond that are handed to `unassign`, to be placed again. What is on machines takes more room
 * than what is done, so without tasks that are being placed the result may still have more than `maxBytes` for a while.
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
    rebuildEntry(chunk);
    if (chunk.placing.length === 0) continue;
    const { job } = chunk.builder;
    if (jobs.has(job) || jobs.size < maxJobs) jobs.add(job);
    else unassignPlacingTasks(chunk, unassign);
  }
}

/** Returns what the entries take then. */
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

/** Builds the entry anew if any of its tasks has changed. */
function rebuildEntry(chunk: Chunk): void {
  if (chunk.entry) return;
  const { entry, done } = chunk.builder.buildEntry(chunk.index);
  chunk.entry = entry;
  chunk.done = done;
  chunk.placing = chunk.builder.placingTasksOf(chunk.index);
  chunk.entryBytes = writtenBytes(entry);
}

function unassignPlacingTasks(chunk: Chunk, unassign: (task: Task) => void): void {
  for (const task of chunk.placing) unassign(task);
  rebuildEntry(chunk);
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
