/** How large the pages of a ledger are, and how many tasks share an entry. */
import type { Settings } from '../settings/settings.js';
import { compactTasksPerChunk, entryBytes, minPageBytes, tasksPerChunk } from '../wire/ledger-records.js';

/** The layout of one block's ledger. */
export interface LedgerLayout {
  /** The most that a page may take in the store. */
  pageBytes: number;
  /** Consecutive tasks of a job that share an entry. */
  chunkTasks: number;
  /** Earlier versions lay ledgers out in the same way: entries need not say how many tasks they cover. */
  isLegacy: boolean;
}

type LayoutSettings = Pick<Settings, 'state' | 'controllers'>;

/** A value is split into pages only if a controller's share of the changes allows so many a second for each of them. */
const minChangesPerSecondPerPage = 8;
/** More pages would cost more changes than they save in reading. */
const maxPagesPerValue = 8;
/** Pages are not made smaller than so many chunks of so many tasks. */
const typicalPage = { chunks: 4, tasksPerChunk: 16 };

/**
 * Every page that changes is read by every controller, so small pages cost less where the store takes changes enough. Where
 * it takes few, one page has to carry a whole round.
 */
function pagesPerValue(
  { state, controllers }: LayoutSettings,
  valueBytes: number,
  smallestPageBytes: number,
): number {
  const pagesThatFit = Math.min(maxPagesPerValue, Math.floor(valueBytes / smallestPageBytes));
  const pagesThatPay = Math.floor(state.writeRps / controllers / minChangesPerSecondPerPage);
  return Math.max(1, Math.min(pagesThatFit, pagesThatPay));
}

/** The layout of earlier versions, which knew nothing of coming limits. */
function legacyLayout(settings: LayoutSettings): LedgerLayout {
  const { presentValueBytes } = settings.state;
  const pageBytes = presentValueBytes / pagesPerValue(settings, presentValueBytes, minPageBytes);
  return { pageBytes, chunkTasks: tasksPerChunk(pageBytes), isLegacy: true };
}

/**
 * The layout for these settings. `upgraded`: all controllers read entries that say how many tasks they cover; until then the
 * layout of earlier versions has to stay.
 */
export function ledgerLayout(settings: LayoutSettings, upgraded: boolean): LedgerLayout {
  const legacy = legacyLayout(settings);
  const { valueBytes, presentValueBytes } = settings.state;
  if (!upgraded || valueBytes === presentValueBytes) return legacy;
  const smallestPageBytes = typicalPage.chunks * entryBytes(typicalPage.tasksPerChunk);
  const pageBytes = valueBytes / pagesPerValue(settings, valueBytes, smallestPageBytes);
  return { pageBytes, chunkTasks: compactTasksPerChunk(pageBytes), isLegacy: false };
}
