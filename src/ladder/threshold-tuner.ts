import type { Ladder } from './ladder.js';

/** Tasks of a pool that came or were displaced at one time, and which threshold was in force then. */
export interface FailureSample {
  at: number;
  tasks: number;
  /** Of these, how many had to wait for a machine or lost theirs. */
  failed: number;
  /** The machine that was the next to be rented: had its threshold been lower, it might have been there. */
  m: number;
}

export interface TunerSettings {
  targetFailureShare: number;
  windowMs: number;
}

/** Moves one threshold of a pool by one slot a period, by the share of failures over a window. */
export class ThresholdTuner {
  private samples: FailureSample[] = [];

  constructor(private readonly settings: TunerSettings) {}

  add(outcome: FailureSample): void {
    this.samples.push(outcome);
  }

  /** Undefined: nothing has come in the window, so nothing is known. */
  failureShare(now: number): number | undefined {
    this.samples = this.samples.filter((o) => now - o.at <= this.settings.windowMs);
    const tasks = this.samples.reduce((sum, o) => sum + o.tasks, 0);
    if (tasks === 0) return undefined;
    return this.samples.reduce((sum, o) => sum + o.failed, 0) / tasks;
  }

  /** Returns what was moved, if anything. `next` is the number of the next machine to be rented. */
  tune(ladder: Ladder, next: number, now: number): { m: number; by: 1 | -1 } | undefined {
    const share = this.failureShare(now);
    if (share === undefined) return undefined;
    const by = share > this.settings.targetFailureShare ? -1 : 1;
    const m = this.thresholdWithMostFailures() ?? next;
    return ladder.move(m, by) ? { m, by } : undefined;
  }

  /** The threshold that was in force at most of the recent failures. */
  private thresholdWithMostFailures(): number | undefined {
    const failed = new Map<number, number>();
    for (const o of this.samples) if (o.failed > 0) failed.set(o.m, (failed.get(o.m) ?? 0) + o.failed);
    return [...failed].sort((a, b) => b[1] - a[1] || a[0] - b[0])[0]?.[0];
  }
}
