import { setMaxListeners } from 'node:events';

export interface TermFacts {
  /** The revision of the commit that made us leader: it outranks every earlier one. */
  token: number;
  grant: number;
  ttlMs: number;
  grantedAt: number;
  startedAt: number;
}

/** One spell of leadership. It ends once, for one reason, and every duty that belongs to it hangs on its signal. */
export class Term {
  readonly token: number;
  readonly grant: number;
  readonly ttlMs: number;
  readonly startedAt: number;
  private readonly controller = new AbortController();
  private why = '';

  constructor(facts: TermFacts) {
    this.token = facts.token;
    this.grant = facts.grant;
    this.ttlMs = facts.ttlMs;
    this.startedAt = facts.startedAt;
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
