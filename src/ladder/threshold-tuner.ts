/** Online tuning of a pool's thresholds by the share of tasks that failed within a time window. */
import type { Ladder } from './ladder.js';

/**
 * The tasks of a pool that arrived or were displaced at one time. A task fails if it has to wait on arrival
 * or loses its machine.
 */
export interface FailureSample {
  /** Monotonic time in ms. */
  observedAt: number;
  /** Number of tasks that arrived. */
  tasks: number;
  /** Number of tasks that had to wait for a machine or lost their machine. */
  failed: number;
  /**
   * Number of the next machine to be rented at that time. With a lower threshold it might already have been
   * rented.
   */
  machineNumber: number;
}

/** The target and the window of the tuner. */
export interface TunerSettings {
  /** The share of failed tasks above which a threshold is lowered. */
  targetFailureRatio: number;
  /** Time in ms for which a sample counts. */
  windowMs: number;
}

/** One tuning step: the threshold that was moved, and by how many slots. */
export interface ThresholdMove {
  machineNumber: number;
  bySlots: 1 | -1;
}

/**
 * Moves one threshold of a pool by one slot per call of `tune`: down if too many tasks failed, otherwise up.
 */
export class ThresholdTuner {
  private samples: FailureSample[] = [];

  constructor(private readonly settings: TunerSettings) {}

  /** Adds a sample to the window. */
  addSample(sample: FailureSample): void {
    this.samples.push(sample);
  }

  /**
   * The share of tasks that failed within the window that ends at `now`; undefined if no task arrived in it.
   */
  failureRatio(now: number): number | undefined {
    this.samples = this.samples.filter((sample) => now - sample.observedAt <= this.settings.windowMs);
    const tasks = this.samples.reduce((sum, sample) => sum + sample.tasks, 0);
    if (tasks === 0) return undefined;
    return this.samples.reduce((sum, sample) => sum + sample.failed, 0) / tasks;
  }

  /**
   * Moves a threshold of the ladder: the one with most failures in the window or, if no task failed, that of
   * the next machine to be rented. Returns the move, or undefined if no task arrived in the window or the
   * threshold is at its bound.
   */
  tune(ladder: Ladder, nextMachineNumber: number, now: number): ThresholdMove | undefined {
    const failureRatio = this.failureRatio(now);
    if (failureRatio === undefined) return undefined;
    const bySlots = failureRatio > this.settings.targetFailureRatio ? -1 : 1;
    const machineNumber = this.thresholdWithMostFailures() ?? nextMachineNumber;
    return ladder.move(machineNumber, bySlots) ? { machineNumber, bySlots } : undefined;
  }

  /**
   * The machine number with most failures in the window, the lowest of several; undefined if no task failed.
   */
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
