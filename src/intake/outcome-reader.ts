/** Batched reads of job outcomes that the replica does not hold. */
import type { StoreClient } from '../store/client.js';
import type { Mirror } from '../store/mirror.js';
import { outcomeKey, outcomePrefix } from '../wire/keys.js';

/** What the reader uses of the controller. */
export interface OutcomeReaderPorts {
  store: Pick<StoreClient, 'listPage'>;
  mirror: Mirror;
}

/** Outcomes in one page: the requested ones and their neighbours, which users are likely to ask for next. */
const outcomesPerPage = 200;

/**
 * Reads outcomes into the replica. A restarted controller knows none of the earlier outcomes, and users ask for all of them.
 * One request for each would use up the store's rate limit, so there is one request in flight at a time, for a whole page.
 * An outcome never changes, so it does not matter when it was read.
 */
export class OutcomeReader {
  private readonly requestedKeys = new Set<string>();
  private pageInFlight: Promise<void> | undefined;

  constructor(private readonly ports: OutcomeReaderPorts) {}

  /** Settles once the outcome is known or cannot be read now; the replica tells which. Never throws. */
  async read(id: string): Promise<void> {
    const key = outcomeKey(id);
    this.requestedKeys.add(key);
    while (this.requestedKeys.has(key)) {
      this.pageInFlight ??= this.readPage();
      await this.pageInFlight;
    }
  }

  /** Reads the page that begins with the first requested key, so that each request settles at least one of them. */
  private async readPage(): Promise<void> {
    const { store, mirror } = this.ports;
    const [first = ''] = [...this.requestedKeys].sort();
    try {
      const { items } = await store.listPage(
        outcomePrefix,
        cursorJustBefore(first),
        outcomesPerPage,
        'intake',
      );
      mirror.recordOutcomes(items);
      for (const { key } of items) this.requestedKeys.delete(key);
      this.requestedKeys.delete(first);
    } catch {
      // The callers tell their users to retry: none is left waiting for a store that does not answer.
      this.requestedKeys.clear();
    } finally {
      this.pageInFlight = undefined;
    }
  }
}

/** A list cursor after all keys that sort before this one. Ids end with a digit, and `:` sorts right after the digits. */
function cursorJustBefore(key: string): string {
  const afterDigits = ':';
  return key.slice(0, -1) + String.fromCharCode(key.charCodeAt(key.length - 1) - 1) + afterDigits;
}
