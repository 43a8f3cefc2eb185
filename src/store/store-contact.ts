/**
 * Tracks whether the state service serves this controller, and up to which time the replica contains its
 * changes.
 */
import type { Clock } from '../base/clock.js';
import type { HttpResponse } from '../base/http.js';
import { revisionOf } from '../wire/state.js';
import { FreshnessBound } from './freshness-bound.js';

const outageStatus = 503;
/**
 * Statuses of requests that were executed, or that failed because of the stored data (no such key, conflict).
 * Answers with these statuses contain a revision.
 */
const statusesWithRevision: ReadonlySet<number> = new Set([200, 404, 409]);

/**
 * Tracks contact and freshness separately: any served request proves contact, while only an answer that
 * contains a revision shows how recent the local replica is. All times are readings of the clock, in
 * milliseconds.
 */
export class StoreContact {
  private readonly freshness = new FreshnessBound();
  private lastServedAt: number;
  private lastFailureAt = -Infinity;

  /**
   * @param clock reads the time
   * @param assumedContactAt the assumed time of the last contact until the first request is served
   * @param onRecovered called each time the service serves requests again after it was failing
   */
  constructor(
    private readonly clock: Clock,
    assumedContactAt: number,
    private readonly onRecovered: () => void,
  ) {
    this.lastServedAt = assumedContactAt;
  }

  /** The send time of the latest request that the service served. */
  get lastContactAt(): number {
    return this.lastServedAt;
  }

  /**
   * True after the service has refused a request with 503 or left it unanswered, until it serves one again.
   */
  get failing(): boolean {
    return this.lastFailureAt > this.lastServedAt;
  }

  /** The send time of the latest request whose answer contained a revision of the store. */
  get lastRevisionSeenAt(): number {
    return this.freshness.lastRevisionSeenAt;
  }

  /** A replica that has reached this revision contains every change committed before the returned time. */
  knownUntil(revision: number): number {
    return this.freshness.knownUntil(revision);
  }

  /** Records the answer to a request that was sent at `sentAt`. */
  recordAnswer(sentAt: number, answer: HttpResponse): void {
    if (answer.status === outageStatus) {
      this.lastFailureAt = this.clock();
      return;
    }
    const isRecovery = this.failing && sentAt >= this.lastFailureAt;
    this.lastServedAt = Math.max(this.lastServedAt, sentAt);
    if (isRecovery) this.onRecovered();
    this.recordRevision(sentAt, answer);
  }

  /**
   * Records that a request that was sent at `sentAt` got no answer. Has no effect if a request sent later has
   * been served.
   */
  recordNoAnswer(sentAt: number): void {
    if (this.lastServedAt <= sentAt) this.lastFailureAt = this.clock();
  }

  /**
   * Records only the revision of an answer. Used for requests that the service holds open for too long to
   * prove contact.
   */
  recordRevision(sentAt: number, { status, body }: HttpResponse): void {
    const revision = statusesWithRevision.has(status) ? revisionOf(body) : undefined;
    if (revision !== undefined) this.freshness.recordRevision(sentAt, revision);
  }
}
