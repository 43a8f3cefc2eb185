/** How large the pages of a ledger are, and how many tasks share an entry. */
import type { Settings } from '../settings/settings.js';
import { compactTasksPerChunk, entryBytes, leastPageBytes, tasksPerChunk } from '../wire/ledger-records.js';

export interface LedgerLayout {
  pageBytes: number;
  /** Consecutive tasks of a job that share an entry. */
  chunkTasks: number;
  /** Earlier versions lay ledgers out in the same way: entries need not say how many tasks they cover. */
  inherited: boolean;
}

type LayoutSettings = Pick<Settings, 'state' | 'controllers'>;

/** Changes a second that a controller's share allows for each page that its round is spread over. */
const changesPerPage = 8;
const mostPages = 8;
/** Pages are not made smaller than this for the readers' sake: so many chunks of so many tasks. */
const usualPage = { chunks: 4, tasksPerChunk: 16 };

/**
 * Every page that changes is read by every controller, so small pages cost less where the store takes changes enough. Where
 * it takes few, one page has to carry a whole round.
 */
function pagesPerValue(
  { state, controllers }: LayoutSettings,
  valueBytes: number,
  leastBytes: number,
): number {
  const most = Math.min(mostPages, Math.floor(valueBytes / leastBytes));
  return Math.max(1, Math.min(most, Math.floor(state.writeRps / controllers / changesPerPage)));
}

/** The layout of earlier versions, which knew nothing of coming limits. */
function inheritedLayout(settings: LayoutSettings): LedgerLayout {
  const { presentValueBytes } = settings.state;
  const pageBytes = presentValueBytes / pagesPerValue(settings, presentValueBytes, leastPageBytes);
  return { pageBytes, chunkTasks: tasksPerChunk(pageBytes), inherited: true };
}

/** `upgraded`: all controllers read entries that say how many tasks they cover; until then the old layout has to stay. */
export function ledgerLayout(settings: LayoutSettings, upgraded: boolean): LedgerLayout {
  const inherited = inheritedLayout(settings);
  const { valueBytes, presentValueBytes } = settings.state;
  if (!upgraded || valueBytes === presentValueBytes) return inherited;
  const leastBytes = usualPage.chunks * entryBytes(usualPage.tasksPerChunk);
  const pageBytes = valueBytes / pagesPerValue(settings, valueBytes, leastBytes);
  return { pageBytes, chunkTasks: compactTasksPerChunk(pageBytes), inherited: false };
}
