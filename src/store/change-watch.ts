/** Receives changes of the stored keys from the state service by long polling. */
import { onAbort } from '../base/abort-callbacks.js';
import type { Clock } from '../base/clock.js';
import { ExchangeError, HttpClient, type HttpResponse, type ResponseReading } from '../base/http.js';
import { type Change, parseChanges, watchPath } from '../wire/state.js';
import { StoreConnectionError, StoreStatusError } from './errors.js';
import type { StoreContact } from './store-contact.js';

/** How long the service may hold a watch request open if there are no changes. */
const watchHoldMs = 10_000;
const watchTimeoutMs = watchHoldMs * 2;
const compactedStatus = 410;

/** The changes in the answer to one watch request, in the order of their revisions. */
export interface ChangeBatch {
  changes: Change[];
  /** The batch contains every change after the requested revision, up to this revision. */
  revision: number;
}

/** The parts of the store client that the watch uses. */
export interface ChangeWatchPorts {
  /** `host:port` of the state service. */
  address: string;
  clock: Clock;
  /** Aborts the open watch request. */
  signal: AbortSignal;
  contact: Pick<StoreContact, 'recordRevision'>;
  reading: ResponseReading;
}

/**
 * Sends one watch request at a time, on a separate connection. Watch requests are exempt from request pacing,
 * and their answers do not count as proof of contact with the service.
 */
export class ChangeWatch {
  private readonly httpClient: HttpClient;
  private openWatch: AbortController | undefined;

  constructor(private readonly ports: ChangeWatchPorts) {
    this.httpClient = new HttpClient(ports.address, 1, ports.reading);
  }

  /**
   * Waits for changes after a revision. The batch is empty if no key changed while the service held the watch
   * request open.
   *
   * @returns undefined if the service no longer has the changes after this revision, or if they are more than
   *   one answer may contain, so that all keys must be read again
   * @throws {StoreConnectionError} when no answer arrives in time, or the watch was restarted
   * @throws {StoreStatusError} when the answer has a status other than 200 and 410
   */
  async next(sinceRevision: number): Promise<ChangeBatch | undefined> {
    const { clock, contact } = this.ports;
    const sentAt = clock();
    const answer = await this.exchange(sinceRevision);
    if (answer === undefined || answer.status === compactedStatus) return undefined;
    if (answer.status !== 200) throw new StoreStatusError('watch', answer.status);
    contact.recordRevision(sentAt, answer);
    return parseChanges(answer.body);
  }

  /**
   * Aborts the open watch request, because a network partition may have dropped it. As a result, the pending
   * call of `next` throws.
   */
  restart(): void {
    this.openWatch?.abort();
  }

  /** Returns undefined if the answer is too large. */
  private async exchange(sinceRevision: number): Promise<HttpResponse | undefined> {
    const stop = new AbortController();
    const stopListening = onAbort(this.ports.signal, () => stop.abort());
    this.openWatch = stop;
    try {
      return await this.httpClient.exchange('GET', watchPath(sinceRevision, watchHoldMs), undefined, {
        timeoutMs: watchTimeoutMs,
        signal: stop.signal,
      });
    } catch (error) {
      if (error instanceof ExchangeError && error.failure === 'too-large') return undefined;
      throw new StoreConnectionError('watch', error);
    } finally {
      stopListening();
    }
  }
}
