/** Reads job outcomes from the store if the replica does not contain them, one page per request. */
import type { StoreClient } from '../store/client.js';
import type { StoreReplica } from '../store/store-replica.js';
import { outcomeKey, outcomePrefix } from '../wire/keys.js';

/** The parts of the controller that the reader uses. */
export interface OutcomeReaderPorts {
  store: Pick<StoreClient, 'listPage'>;
  replica: StoreReplica;
}

/**
 * Number of outcomes per page. Besides the requested outcomes, a page contains outcomes of jobs with
 * neighbouring ids, which users are likely to query next.
 */
const outcomesPerPage = 200;

/**
 * Reads outcomes into the replica. After a restart of the controller, the replica contains no outcomes of
 * jobs that ended before, and users query all these jobs. One store request per outcome would use up the
 * store's rate limit, so each request reads a whole page, and at most one request is in flight at a time.
 * Outcomes never change, so an outcome that has been read stays valid.
 */
export class OutcomeReader {
  private readonly requestedKeys = new Set<string>();
  private pageInFlight: Promise<void> | undefined;

  constructor(private readonly ports: OutcomeReaderPorts) {}

  /**
   * Reads the outcome of a job into the replica. The returned promise resolves even if the outcome cannot be
   * read, so the caller has to look it up in the replica. Never throws.
   */
  async read(id: string): Promise<void> {
    const key = outcomeKey(id);
    this.requestedKeys.add(key);
    while (this.requestedKeys.has(key)) {
      this.pageInFlight ??= this.readPage();
      await this.pageInFlight;
    }
  }

  /**
   * Reads the page that begins with the smallest requested key. Therefore each request completes the read of
   * at least one outcome.
   */
  private async readPage(): Promise<void> {
    const { store, replica } = this.ports;
    const [firstKey = ''] = [...this.requestedKeys].sort();
    try {
      const { items } = await store.listPage(
        outcomePrefix,
        cursorJustBefore(firstKey),
        outcomesPerPage,
        'intake',
      );
      replica.recordOutcomes(items);
      for (const { key } of items) this.requestedKeys.delete(key);
      this.requestedKeys.delete(firstKey);
    } catch {
      // Ends all waiting reads, so that no user request waits for a store that does not respond. The callers
      // reply that the user has to retry.
      this.requestedKeys.clear();
    } finally {
      this.pageInFlight = undefined;
    }
  }
}

/**
 * Returns a list cursor that sorts before `key` and after every smaller outcome key. The cursor is `key` with
 * its final character decremented and a `:` appended. Job ids end with a digit, and `:` sorts directly after
 * the digits.
 */
function cursorJustBefore(key: string): string {
  const afterDigits = ':';
  return key.slice(0, -1) + String.fromCharCode(key.charCodeAt(key.length - 1) - 1) + afterDigits;
}
