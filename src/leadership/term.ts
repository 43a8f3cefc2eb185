import { setMaxListeners } from 'node:events';

/** One spell of leadership. It ends once, for one reason, and every duty that belongs to it hangs on its signal. */
export class Term {
  private readonly abortController = new AbortController();
  private why = '';

  constructor(
    /** The revision of the commit that made us leader: everything a leader commits is conditioned on it. */
    readonly fencingToken: number,
    readonly startedAt: number,
  ) {
    setMaxListeners(0, this.abortController.signal);
  }

  get signal(): AbortSignal {
    return this.abortController.signal;
  }

  get endReason(): string {
    return this.why;
  }

  end(reason: string): void {
    if (this.abortController.signal.aborted) return;
    this.why = reason;
    this.abortController.abort();
  }
}
