/** A set of names with a retention time. */
import type { Clock } from './clock.js';

/**
 * A set of names. Each name is kept for at least `retentionMs` milliseconds after it was first added. Later
 * calls of `add` drop expired names.
 */
export class ExpiringNameSet {
  /** The time at which each name was first added. The map is in the order of these times. */
  private readonly addedAt = new Map<string, number>();

  constructor(
    private readonly clock: Clock,
    private readonly retentionMs: number,
  ) {}

  /**
   * Adds a name and drops expired names. Adding a name that the set already contains does not prolong its
   * retention.
   */
  add(name: string): void {
    const now = this.clock();
    if (!this.addedAt.has(name)) this.addedAt.set(name, now);
    for (const [oldestName, addedAt] of this.addedAt) {
      if (now - addedAt <= this.retentionMs) return;
      this.addedAt.delete(oldestName);
    }
  }

  /**
   * Whether the set contains the name. An expired name stays in the set until a later call of `add` drops it.
   */
  has(name: string): boolean {
    return this.addedAt.has(name);
  }

  /** Returns the names in the set that were first added at `time` or later, in time of the injected clock. */
  addedSince(time: number): string[] {
    return [...this.addedAt].filter(([, addedAt]) => addedAt >= time).map(([name]) => name);
  }
}
