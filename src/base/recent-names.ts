/** Names that are remembered for a while, however many there are. */
import type { Clock } from './clock.js';

export class RecentNames {
  /** When each was first noted, in that order. */
  private readonly notedAt = new Map<string, number>();

  constructor(
    private readonly clock: Clock,
    private readonly keepMs: number,
  ) {}

  add(name: string): void {
    const now = this.clock();
    if (!this.notedAt.has(name)) this.notedAt.set(name, now);
    for (const [oldest, at] of this.notedAt) {
      if (now - at <= this.keepMs) return;
      this.notedAt.delete(oldest);
    }
  }

  has(name: string): boolean {
    return this.notedAt.has(name);
  }

  /** Those that were first noted at this time or later. */
  since(time: number): string[] {
    return [...this.notedAt].filter(([, at]) => at >= time).map(([name]) => name);
  }
}
