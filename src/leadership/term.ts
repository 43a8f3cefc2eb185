import { setMaxListeners } from 'node:events';

/** One spell of leadership. It ends once, for one reason, and every duty that belongs to it hangs on its signal. */
export class Term {
  private readonly controller = new AbortController();
  private why = '';

  constructor(
    /** The revision of the commit that made us leader: everything a leader commits is conditioned on it. */
    readonly token: number,
    readonly startedAt: number,
  ) {
    setMaxListeners(0, this.controller.signal);
  }

  get signal(): AbortSignal {
    return this.controller.signal;
  }

  get reason(): string {
    return this.why;
  }

  end(reason: string): void {
    if (this.controller.signal.aborted) return;
    this.why = reason;
    this.controller.abort();
  }
}
