/**
 * Tracks whether the state service serves this controller, and up to which time the replica contains all
 * changes of the store.
 */
import type { Clock } from '../base/clock.js';
import type { HttpResponse } from '../base/http.js';
import { revisionOf } from '../wire/state.js';
import { FreshnessBound } from './freshness-bound.js';

const outageStatus = 503;
/**
 * HTTP statuses of answers that contain a revision: the request was executed, or failed because of the stored
 * data (no such key, conflict).
 */
const statusesWithRevision: ReadonlySet<number> = new Set([200, 404, 409]);

/**
 * Tracks contact with the store and freshness of the replica. Any served request proves contact, but only an
 * answer with a revision shows how recent the replica is. All times are monotonic times in ms.
 */
export class StoreContact {
  private readonly freshness = new FreshnessBound();
  private lastServedAt: number;
  private lastFailureAt = -Infinity;

  /**
   * @param clock monotonic time in ms
   * @param assumedContactAt the assumed time of the latest contact until the first request is served
   * @param onRecovered called each time the service serves a request again after it was failing
   */
  constructor(
    private readonly clock: Clock,
    assumedContactAt: number,
    private readonly onRecovered: () => void,
  ) {
    this.lastServedAt = assumedContactAt;
  }

  /** The time at which the latest request was sent that the service served. */
  get lastContactAt(): number {
    return this.lastServedAt;
  }

  /**
   * True after the service refused a request with 503 or a request got no answer, until the service serves a
   * later request.
   */
  get failing(): boolean {
    return this.lastFailureAt > this.lastServedAt;
  }

  /** The time at which the latest request was sent whose answer contained a revision of the store. */
  get lastRevisionSeenAt(): number {
    return this.freshness.lastRevisionSeenAt;
  }

  /**
   * Returns the time before which every committed change is contained in a replica that has reached this
   * revision.
   */
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
   * Records that a request that was sent at `sentAt` got no answer. Has no effect if a request that was sent
   * later has been served.
   */
  recordNoAnswer(sentAt: number): void {
    if (this.lastServedAt <= sentAt) this.lastFailureAt = this.clock();
  }

  /**
   * Records the revision of an answer, but not the contact. Used for watch requests. The service may hold a
   * watch request open for so long that its answer does not prove recent contact.
   */
  recordRevision(sentAt: number, { status, body }: HttpResponse): void {
    const revision = statusesWithRevision.has(status) ? revisionOf(body) : undefined;
    if (revision !== undefined) this.freshness.recordRevision(sentAt, revision);
  }
}
