import type { Clock } from '../base/clock.js';

const most = 500;

/** Ids of the last while, oldest first. */
export class RecentIds {
  private readonly at = new Map<string, number>();

  constructor(
    private readonly keepMs: number,
    private readonly clock: Clock,
  ) {}

  add(id: string): void {
    this.at.delete(id);
    this.at.set(id, this.clock());
    if (this.at.size > most) this.trim(Infinity);
  }

  list(): string[] {
    this.trim(this.clock() - this.keepMs);
    return [...this.at.keys()];
  }

  private trim(before: number): void {
    for (const [id, at] of this.at) {
      if (at >= before || (before === Infinity && this.at.size <= most)) return;
      this.at.delete(id);
    }
  }
}
