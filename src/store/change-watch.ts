/** The long poll by which the state service tells of changes. */
import { onAbort } from '../base/aborts.js';
import type { Clock } from '../base/clock.js';
import { type Answer, HttpPeer } from '../base/http.js';
import { type Change, parseChanges, watchPath } from '../wire/state.js';
import { StoreConnectionError, StoreStatusError } from './errors.js';
import type { StoreContact } from './store-contact.js';

/** How long the service may hold a watch that has nothing to tell. */
const watchHoldMs = 10_000;
const watchTimeoutMs = watchHoldMs * 2;
const compactedStatus = 410;

/** Changes that a watch brought, in the order of their revisions. */
export interface ChangeBatch {
  changes: Change[];
  /** The batch is complete up to this revision. */
  revision: number;
}

/** What a watch needs. */
export interface ChangeWatchPorts {
  /** `host:port` of the state service. */
  address: string;
  clock: Clock;
  /** Ends the open watch. */
  signal: AbortSignal;
  contact: Pick<StoreContact, 'recordRevision'>;
}

/** One watch at a time, on a connection of its own. It is neither paced nor proof of contact. */
export class ChangeWatch {
  private readonly peer: HttpPeer;
  private openWatch: AbortController | undefined;

  constructor(private readonly ports: ChangeWatchPorts) {
    this.peer = new HttpPeer(ports.address, 1);
  }

  /**
   * Waits for changes after a revision; the batch is empty where none came within the time that the service holds a watch.
   *
   * @returns undefined where the service no longer has these changes, and the keys must be read again
   * @throws {StoreConnectionError} when no answer arrives in time, or the watch was restarted
   * @throws {StoreStatusError} for every other status
   */
  async next(sinceRevision: number): Promise<ChangeBatch | undefined> {
    const { clock, contact } = this.ports;
    const sentAt = clock();
    const answer = await this.exchange(sinceRevision);
    if (answer.status === compactedStatus) return undefined;
    if (answer.status !== 200) throw new StoreStatusError('watch', answer.status);
    contact.recordRevision(sentAt, answer);
    return parseChanges(answer.body);
  }

  /** Gives the open watch up, since a network partition may have swallowed it; `next` then throws. */
  restart(): void {
    this.openWatch?.abort();
  }

  private async exchange(sinceRevision: number): Promise<Answer> {
    const stop = new AbortController();
    const stopListening = onAbort(this.ports.signal, () => stop.abort());
    this.openWatch = stop;
    try {
      return await this.peer.exchange('GET', watchPath(sinceRevision, watchHoldMs), undefined, {
        timeoutMs: watchTimeoutMs,
        signal: stop.signal,
      });
    } catch (error) {
      throw new StoreConnectionError('watch', error);
    } finally {
      stopListening();
    }
  }
}
