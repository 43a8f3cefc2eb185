/** Online tuning of a pool's thresholds by the share of tasks that failed over a window. */
import type { Ladder } from './ladder.js';

/**
 * Tasks of a pool that arrived or were displaced at one time. A task fails when it has to wait on arrival, or loses its
 * machine.
 */
export interface FailureSample {
  /** Monotonic time in ms. */
  observedAt: number;
  /** Tasks that arrived. */
  tasks: number;
  /** Tasks that had to wait for a machine, or lost theirs. */
  failed: number;
  /** The next machine to be rented at that time: with a lower threshold it might have been there. */
  machineNumber: number;
}

/** What the tuner aims at. */
export interface TunerSettings {
  /** The share of failed tasks above which a threshold goes down. */
  targetFailureRatio: number;
  /** For how long a sample counts. */
  windowMs: number;
}

/** One step of the tuning. */
export interface ThresholdMove {
  machineNumber: number;
  bySlots: 1 | -1;
}

/** Moves one threshold of a pool by one slot per period: down while too many tasks fail, else up. */
export class ThresholdTuner {
  private samples: FailureSample[] = [];

  constructor(private readonly settings: TunerSettings) {}

  /** Takes a sample into the window. */
  add(sample: FailureSample): void {
    this.samples.push(sample);
  }

  /** The share of tasks that failed within the window; undefined where none arrived in it. */
  failureRatio(now: number): number | undefined {
    this.samples = this.samples.filter((sample) => now - sample.observedAt <= this.settings.windowMs);
    const tasks = this.samples.reduce((sum, sample) => sum + sample.tasks, 0);
    if (tasks === 0) return undefined;
    return this.samples.reduce((sum, sample) => sum + sample.failed, 0) / tasks;
  }

  /**
   * Moves a threshold of the ladder: the one with most failures in the window, or that of the next machine to be rented.
   * Returns the move, or undefined where nothing arrived in the window or the threshold is at its bound.
   */
  tune(ladder: Ladder, nextMachineNumber: number, now: number): ThresholdMove | undefined {
    const failureRatio = this.failureRatio(now);
    if (failureRatio === undefined) return undefined;
    const bySlots = failureRatio > this.settings.targetFailureRatio ? -1 : 1;
    const machineNumber = this.thresholdWithMostFailures() ?? nextMachineNumber;
    return ladder.move(machineNumber, bySlots) ? { machineNumber, bySlots } : undefined;
  }

  /** The threshold in force at most failures of the window; of several the lowest. */
  private thresholdWithMostFailures(): number | undefined {
    const failedByMachineNumber = new Map<number, number>();
    for (const { failed, machineNumber } of this.samples) {
      if (failed === 0) continue;
      failedByMachineNumber.set(machineNumber, (failedByMachineNumber.get(machineNumber) ?? 0) + failed);
    }
    const mostFailedFirst = [...failedByMachineNumber].sort((a, b) => b[1] - a[1] || a[0] - b[0]);
    return mostFailedFirst[0]?.[0];
  }
}
