/** A term of leadership, and the reasons for which it can end. */
import { setMaxListeners } from 'node:events';

/** Why a term of leadership has ended. */
export type TermEndReason =
  /** This controller is shutting down. */
  | { kind: 'shutdown' }
  /**
   * The leader key was written by another candidacy, or was deleted because the lease to which the key was
   * bound has ended.
   */
  | { kind: 'leader-key-changed' }
  /** The peer with the label `by` reports that it leads with a higher fencing token. */
  | { kind: 'superseded'; by: string }
  /** The duties of the leader have returned or failed. */
  | { kind: 'duties-ended' };

/**
 * A term of leadership. A term ends once, for one reason. When the term ends, its signal fires and stops the
 * duties of the leader.
 */
export class Term {
  private readonly abortController = new AbortController();
  private reason: TermEndReason | undefined;

  constructor(
    /**
     * Store revision of the commit that won the election. Every commit of the leader is conditioned on the
     * leader key still having this version.
     */
    readonly fencingToken: number,
    /** Start of the term, as monotonic time in ms. */
    readonly startedAt: number,
  ) {
    setMaxListeners(0, this.abortController.signal);
  }

  /** Fires when the term ends. */
  get signal(): AbortSignal {
    return this.abortController.signal;
  }

  /** Why the term has ended; undefined until it ends. */
  get endReason(): TermEndReason | undefined {
    return this.reason;
  }

  /** Ends the term. Has no effect if the term has already ended, so that the first reason is kept. */
  end(reason: TermEndReason): void {
    if (this.abortController.signal.aborted) return;
    this.reason = reason;
    this.abortController.abort();
  }
}
