/** How large the pages of a ledger are, and how many tasks share an entry. */
import type { Settings } from '../settings/settings.js';
import { compactTasksPerChunk, entryBytes, minPageBytes, tasksPerChunk } from '../wire/ledger-records.js';

export interface LedgerLayout {
  pageBytes: number;
  /** Consecutive tasks of a job that share an entry. */
  chunkTasks: number;
  /** Earlier versions lay ledgers out in the same way: entries need not say how many tasks they cover. */
  isLegacy: boolean;
}

type LayoutSettings = Pick<Settings, 'state' | 'controllers'>;

/** Changes a second that a controller's share allows for each page that its round is spread over. */
const minChangesPerSecondPerPage = 8;
const maxPagesPerValue = 8;
/** Pages are not made smaller than this for the readers' sake: so many chunks of so many tasks. */
const typicalPage = { chunks: 4, tasksPerChunk: 16 };

/**
 * Every page that changes is read by every controller, so small pages cost less where the store takes changes enough. Where
 * it takes few, one page has to carry a whole round.
 */
function pagesPerValue(
  { state, controllers }: LayoutSettings,
  valueBytes: number,
  minPageBytes: number,
): number {
  const most = Math.min(maxPagesPerValue, Math.floor(valueBytes / minPageBytes));
  return Math.max(1, Math.min(most, Math.floor(state.writeRps / controllers / minChangesPerSecondPerPage)));
}

/** The layout of earlier versions, which knew nothing of coming limits. */
function legacyLayout(settings: LayoutSettings): LedgerLayout {
  const { presentValueBytes } = settings.state;
  const pageBytes = presentValueBytes / pagesPerValue(settings, presentValueBytes, minPageBytes);
  return { pageBytes, chunkTasks: tasksPerChunk(pageBytes), isLegacy: true };
}

/** `upgraded`: all controllers read entries that say how many tasks they cover; until then the old layout has to stay. */
export function ledgerLayout(settings: LayoutSettings, upgraded: boolean): LedgerLayout {
  const inherited = legacyLayout(settings);
  const { valueBytes, presentValueBytes } = settings.state;
  if (!upgraded || valueBytes === presentValueBytes) return inherited;
  const leastBytes = typicalPage.chunks * entryBytes(typicalPage.tasksPerChunk);
  const pageBytes = valueBytes / pagesPerValue(settings, valueBytes, leastBytes);
  return { pageBytes, chunkTasks: compactTasksPerChunk(pageBytes), isLegacy: false };
}
