/** Names that are remembered for a limited time. */
import type { Clock } from './clock.js';

/** A set of names, each kept for at least `retentionMs` after it was first added; expired ones are dropped by later `add`s. */
export class RecentNames {
  /** When each name was first added, in that order. */
  private readonly addedAt = new Map<string, number>();

  constructor(
    private readonly clock: Clock,
    private readonly retentionMs: number,
  ) {}

  /** Adds a name and drops those that have expired. A name that is there keeps its time. */
  add(name: string): void {
    const now = this.clock();
    if (!this.addedAt.has(name)) this.addedAt.set(name, now);
    for (const [oldest, addedAt] of this.addedAt) {
      if (now - addedAt <= this.retentionMs) return;
      this.addedAt.delete(oldest);
    }
  }

  /** Whether the name was added and has not been dropped. */
  has(name: string): boolean {
    return this.addedAt.has(name);
  }

  /** The names that were first added at `time` or later, by the injected clock. */
  since(time: number): string[] {
    return [...this.addedAt].filter(([, addedAt]) => addedAt >= time).map(([name]) => name);
  }
}
