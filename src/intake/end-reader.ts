/** Reads the ends of jobs that this controller has not heard of, many with each request to the state service. */
import type { Mirror } from '../store/mirror.js';
import type { StoreClient } from '../store/client.js';
import { outcomeKey, outcomePrefix } from '../wire/keys.js';

export interface EndReaderPorts {
  store: Pick<StoreClient, 'listPage'>;
  mirror: Mirror;
}

/** Ends read at a time: those that are asked for, and their neighbours, which somebody will most likely ask for next. */
const endsPerPage = 200;

/**
 * A new life of a controller knows none of the ends that were decided before it, and users ask for all of them. One request
 * for each would take the state service away from everything else, so there is one request under way at a time, and it
 * reads a whole page. An end never changes, which is why it does not matter when it was read.
 */
export class EndReader {
  private readonly wanted = new Set<string>();
  private reading: Promise<void> | undefined;

  constructor(private readonly ports: EndReaderPorts) {}

  /** Settles once the end is known or cannot be read now; the copy of the store says which. */
  async read(id: string): Promise<void> {
    const key = outcomeKey(id);
    this.wanted.add(key);
    while (this.wanted.has(key)) {
      this.reading ??= this.readPage();
      await this.reading;
    }
  }

  /** The page that begins with the first of the wanted ends, so that each request brings at least one of them. */
  private async readPage(): Promise<void> {
    const { store, mirror } = this.ports;
    const [first = ''] = [...this.wanted].sort();
    try {
      const { items } = await store.listPage(outcomePrefix, justBefore(first), endsPerPage, 'intake');
      mirror.recordOutcomes(items);
      for (const { key } of items) this.wanted.delete(key);
      this.wanted.delete(first);
    } catch {
      // Their users are told to come back: none of them is left waiting for a service that does not answer.
      this.wanted.clear();
    } finally {
      this.reading = undefined;
    }
  }
}

/** After all keys of jobs that come before this one. Ids end with a digit, and nothing between digits is in use. */
function justBefore(key: string): string {
  const afterDigits = ':';
  return key.slice(0, -1) + String.fromCharCode(key.charCodeAt(key.length - 1) - 1) + afterDigits;
}
