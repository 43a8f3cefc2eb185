/** Computes the layout of a block's ledger: the size of its pages and the number of tasks in each entry. */
import type { Settings } from '../settings/settings.js';
import {
  compactTasksPerChunk,
  maxPlainEntryBytes,
  minPageBytes,
  plainTasksPerChunk,
} from '../wire/ledger-records.js';

/**
 * The layout of one block's ledger. The owner of the block records the block's tasks in entries, and each
 * page of entries is one value in the store.
 */
export interface LedgerLayout {
  /** Maximum size of a page in the store, in bytes. */
  pageBytes: number;
  /** Number of consecutive tasks of a job that are recorded in one entry. */
  chunkTasks: number;
  /**
   * True if earlier versions use the same layout. Entries of this layout do not contain the number of tasks
   * that they cover.
   */
  isLegacy: boolean;
}

type LayoutSettings = Pick<Settings, 'state' | 'controllers'>;

/**
 * Minimum number of writes per second for each page. Pages are made smaller than the maximum size of a value
 * only if a controller's equal share of the write rate allows this many writes per second for each page.
 */
const minWritesPerSecondPerPage = 8;
/**
 * Maximum ratio of the maximum size of a value in the store to the size of a page. If pages were smaller, the
 * cost of additional writes would exceed the savings from smaller reads.
 */
const maxPagesPerValue = 8;
/**
 * Minimum capacity of a page, except in the layout of earlier versions: the maximum size of a value is
 * divided into smaller pages only if each page has space for at least this many chunks of this many tasks.
 */
const minPageContent = { chunks: 4, tasksPerChunk: 16 };

/**
 * Returns the number by which the maximum size of a value in the store is divided to get the size of a page.
 * Every controller reads every changed page, so small pages reduce the cost of reads. But each page that a
 * placement round changes needs a write of its own. The maximum size is therefore divided only as far as the
 * permitted write rate of the store (`write_rps` in the settings) allows enough writes for each page. If the
 * permitted write rate is low, a page is as large as a value may be, so that one write can record all intents
 * of a placement round.
 */
function pagesPerValue(
  { state, controllers }: LayoutSettings,
  valueBytes: number,
  smallestPageBytes: number,
): number {
  const maxPagesBySize = Math.min(maxPagesPerValue, Math.floor(valueBytes / smallestPageBytes));
  const maxPagesByWriteRate = Math.floor(state.writeRps / controllers / minWritesPerSecondPerPage);
  return Math.max(1, Math.min(maxPagesBySize, maxPagesByWriteRate));
}

/**
 * Returns the layout of earlier versions. They compute it from the current limits of the state service and
 * ignore upcoming limits.
 */
function legacyLayout(settings: LayoutSettings): LedgerLayout {
  const { presentValueBytes } = settings.state;
  const pageBytes = presentValueBytes / pagesPerValue(settings, presentValueBytes, minPageBytes);
  return { pageBytes, chunkTasks: plainTasksPerChunk(pageBytes), isLegacy: true };
}

/**
 * Returns the ledger layout for these settings.
 *
 * @param settings limits of the state service and the number of controllers
 * @param upgraded true if all controllers can read entries that contain the number of tasks they cover. If it
 *   is false, the layout of earlier versions is returned.
 */
export function ledgerLayout(settings: LayoutSettings, upgraded: boolean): LedgerLayout {
  const legacy = legacyLayout(settings);
  const { valueBytes, presentValueBytes } = settings.state;
  if (!upgraded || valueBytes === presentValueBytes) return legacy;
  const smallestPageBytes = minPageContent.chunks * maxPlainEntryBytes(minPageContent.tasksPerChunk);
  const pageBytes = valueBytes / pagesPerValue(settings, valueBytes, smallestPageBytes);
  return { pageBytes, chunkTasks: compactTasksPerChunk(pageBytes), isLegacy: false };
}
