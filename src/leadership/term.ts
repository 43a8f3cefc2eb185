/** One term of leadership, and the reasons for which it can end. */
import { setMaxListeners } from 'node:events';

/** Why a term of leadership has ended. */
export type TermEndReason =
  /** This controller is shutting down. */
  | { kind: 'shutdown' }
  /** The leader's key is another's by now, or was deleted because the lease that it was bound to has ended. */
  | { kind: 'leader-key-changed' }
  /** A peer reports that it leads with a higher fencing token. */
  | { kind: 'superseded'; by: string }
  /** All that the leader does has returned or failed. */
  | { kind: 'duties-ended' };

/**
 * One term of leadership. It ends once, for one reason; its signal fires then, and everything that only the leader does
 * stops with the signal.
 */
export class Term {
  private readonly abortController = new AbortController();
  private reason: TermEndReason | undefined;

  constructor(
    /** The store's revision of the commit that won the election: every commit of the leader is conditioned on it. */
    readonly fencingToken: number,
    /** By the controller's steady clock, in ms. */
    readonly startedAt: number,
  ) {
    setMaxListeners(0, this.abortController.signal);
  }

  /** Fires when the term ends. */
  get signal(): AbortSignal {
    return this.abortController.signal;
  }

  /** Undefined while the term lasts. */
  get endReason(): TermEndReason | undefined {
    return this.reason;
  }

  /** Ends the term; without effect where it has ended already, so that the first reason is kept. */
  end(reason: TermEndReason): void {
    if (this.abortController.signal.aborted) return;
    this.reason = reason;
    this.abortController.abort();
  }
}
