/** Reads job outcomes that the replica does not hold from the store, in batches. */
import type { StoreClient } from '../store/client.js';
import type { StoreReplica } from '../store/store-replica.js';
import { outcomeKey, outcomePrefix } from '../wire/keys.js';

/** The parts of the controller that the reader uses. */
export interface OutcomeReaderPorts {
  store: Pick<StoreClient, 'listPage'>;
  replica: StoreReplica;
}

/**
 * Outcomes per page: the requested outcomes and those with neighbouring ids, which users are likely to query
 * next.
 */
const outcomesPerPage = 200;

/**
 * Reads outcomes into the replica. After a restart a controller holds no earlier outcomes, and users query
 * all of them. One store request per outcome would use up the store's rate limit, so at most one request is
 * in flight at a time, and it reads a whole page. Outcomes never change, so an outcome may be used whenever
 * it was read.
 */
export class OutcomeReader {
  private readonly requestedKeys = new Set<string>();
  private pageInFlight: Promise<void> | undefined;

  constructor(private readonly ports: OutcomeReaderPorts) {}

  /**
   * Resolves once the outcome is in the replica or cannot be read now; the caller looks it up in the replica.
   * Never throws.
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
   * Reads the page that begins with the first requested key, so that each request completes at least one key.
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
      // Completes all waiting reads, so that no user waits for a store that does not respond: their callers
      // reply that the user has to retry.
      this.requestedKeys.clear();
    } finally {
      this.pageInFlight = undefined;
    }
  }
}

/**
 * Returns a list cursor that sorts before `key` and after every smaller outcome key. It decrements the last
 * character of `key` and appends `:`, because job ids end with a digit and `:` sorts directly after the
 * digits.
 */
function cursorJustBefore(key: string): string {
  const afterDigits = ':';
  return key.slice(0, -1) + String.fromCharCode(key.charCodeAt(key.length - 1) - 1) + afterDigits;
}
