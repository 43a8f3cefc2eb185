/** Computes the layout of a ledger: the size of its pages and the number of tasks for each entry. */
import type { Settings } from '../settings/settings.js';
import {
  compactTasksPerChunk,
  maxPlainEntryBytes,
  minPageBytes,
  plainTasksPerChunk,
} from '../wire/ledger-records.js';

/** The layout of one block's ledger. */
export interface LedgerLayout {
  /** Maximum size of a page in the store, in bytes. */
  pageBytes: number;
  /** Number of consecutive tasks of a job that are recorded in one entry. */
  chunkTasks: number;
  /**
   * True if earlier versions use this layout too: entries then do not have to contain the number of tasks
   * they cover.
   */
  isLegacy: boolean;
}

type LayoutSettings = Pick<Settings, 'state' | 'controllers'>;

/**
 * A value is split into pages only if a controller's equal share of the write rate allows this many writes
 * per second for each page.
 */
const minWritesPerSecondPerPage = 8;
/** With more pages, the additional writes would cost more than the smaller reads save. */
const maxPagesPerValue = 8;
/** A value is not split into pages with space for fewer than this many chunks of this many tasks. */
const minPageContent = { chunks: 4, tasksPerChunk: 16 };

/**
 * Returns the number of pages into which a value is split. Every controller reads every changed page, so
 * small pages cost less if the store admits enough writes. If the store admits few writes, one page has to
 * hold a whole placement round.
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

/** The layout of earlier versions, which do not take coming limits of the state service into account. */
function legacyLayout(settings: LayoutSettings): LedgerLayout {
  const { presentValueBytes } = settings.state;
  const pageBytes = presentValueBytes / pagesPerValue(settings, presentValueBytes, minPageBytes);
  return { pageBytes, chunkTasks: plainTasksPerChunk(pageBytes), isLegacy: true };
}

/**
 * Returns the ledger layout for these settings.
 *
 * @param settings limits of the state service and the number of controllers
 * @param upgraded whether all controllers can read entries that contain the number of tasks they cover. If
 *   not, the layout of earlier versions is used.
 */
export function ledgerLayout(settings: LayoutSettings, upgraded: boolean): LedgerLayout {
  const legacy = legacyLayout(settings);
  const { valueBytes, presentValueBytes } = settings.state;
  if (!upgraded || valueBytes === presentValueBytes) return legacy;
  const smallestPageBytes = minPageContent.chunks * maxPlainEntryBytes(minPageContent.tasksPerChunk);
  const pageBytes = valueBytes / pagesPerValue(settings, valueBytes, smallestPageBytes);
  return { pageBytes, chunkTasks: compactTasksPerChunk(pageBytes), isLegacy: false };
}
