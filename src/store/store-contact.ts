/** Tracks whether the state service serves this controller, and which of its changes the controller can know. */
import type { Clock } from '../base/clock.js';
import type { Answer } from '../base/http.js';
import { revisionOf } from '../wire/state.js';
import { FreshnessBound } from './freshness-bound.js';

const outageStatus = 503;
/** Statuses of requests that were executed, or turned down for what they found: their answers name a revision. */
const statusesWithRevision: ReadonlySet<number> = new Set([200, 404, 409]);

/**
 * Contact and freshness are separate matters: any served request proves contact, while only an answer that names a
 * revision says how recent the local copy is. All times are readings of the clock, in milliseconds.
 */
export class StoreContact {
  private readonly freshness = new FreshnessBound();
  private lastServedAt: number;
  private lastFailureAt = -Infinity;

  /**
   * @param clock reads the time
   * @param assumedContactAt when contact is taken to have been last, until the first request is served
   * @param onRecovered called each time the service serves again after it was failing
   */
  constructor(
    private readonly clock: Clock,
    assumedContactAt: number,
    private readonly onRecovered: () => void,
  ) {
    this.lastServedAt = assumedContactAt;
  }

  /** When the last request that was served had been sent. */
  get lastContactAt(): number {
    return this.lastServedAt;
  }

  /** True once the service has turned a request away or left it unanswered, until it serves one again. */
  get failing(): boolean {
    return this.lastFailureAt > this.lastServedAt;
  }

  /** When the last request was sent whose answer named a revision of the store. */
  get lastRevisionSeenAt(): number {
    return this.freshness.lastRevisionSeenAt;
  }

  /** A copy that has reached this revision holds every change committed before the returned time. */
  knownUntil(revision: number): number {
    return this.freshness.knownUntil(revision);
  }

  /** Records the answer to a request that was sent at this time. */
  recordAnswer(sentAt: number, answer: Answer): void {
    if (answer.status === outageStatus) {
      this.lastFailureAt = this.clock();
      return;
    }
    const isRecovery = this.failing && sentAt >= this.lastFailureAt;
    this.lastServedAt = Math.max(this.lastServedAt, sentAt);
    if (isRecovery) this.onRecovered();
    this.recordRevision(sentAt, answer);
  }

  /** Records that a request got no answer. It says nothing where one that was sent later has been served. */
  recordNoAnswer(sentAt: number): void {
    if (this.lastServedAt <= sentAt) this.lastFailureAt = this.clock();
  }

  /** Records only the revision of an answer, for requests that wait too long to prove contact. */
  recordRevision(sentAt: number, { status, body }: Answer): void {
    const revision = statusesWithRevision.has(status) ? revisionOf(body) : undefined;
    if (revision !== undefined) this.freshness.recordRevision(sentAt, revision);
  }
}
