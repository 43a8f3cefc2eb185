/**
 * Tunes the ladder thresholds of a pool by the share of tasks that failed within a time window. A threshold
 * is the demand at which the machine with a certain number is rented.
 */
import type { Ladder } from './ladder.js';

/**
 * The tasks of a pool that arrived or were displaced at one observation. A task counts as failed if it has to
 * wait on arrival or is displaced from its machine.
 */
export interface FailureSample {
  /** Monotonic time in ms. */
  observedAt: number;
  /** Number of tasks that arrived. */
  tasks: number;
  /** Number of tasks that had to wait for a machine or were displaced from their machine. */
  failed: number;
  /**
   * Number of the machine in the pool that was next to be rented. With a lower threshold, this machine might
   * already have been rented.
   */
  machineNumber: number;
}

/** The target failure ratio and the time window of the tuner. */
export interface TunerSettings {
  /** The share of failed tasks above which a threshold is lowered. */
  targetFailureRatio: number;
  /** Time in ms for which a sample is taken into account. */
  windowMs: number;
}

/** One tuning step: the threshold that was moved, and by how many slots. */
export interface ThresholdMove {
  machineNumber: number;
  bySlots: 1 | -1;
}

/**
 * Moves one threshold of a pool by one slot per call of `tune`. The threshold is lowered if too many tasks
 * failed, and raised otherwise.
 */
export class ThresholdTuner {
  private samples: FailureSample[] = [];

  constructor(private readonly settings: TunerSettings) {}

  /** Adds a sample to the window. */
  addSample(sample: FailureSample): void {
    this.samples.push(sample);
  }

  /**
   * Returns the ratio of failed tasks to arrived tasks within the window that ends at `now`, or undefined if
   * no task arrived within the window.
   */
  failureRatio(now: number): number | undefined {
    this.samples = this.samples.filter((sample) => now - sample.observedAt <= this.settings.windowMs);
    const tasks = this.samples.reduce((sum, sample) => sum + sample.tasks, 0);
    if (tasks === 0) return undefined;
    return this.samples.reduce((sum, sample) => sum + sample.failed, 0) / tasks;
  }

  /**
   * Moves the threshold of the machine number with the most failed tasks in the window. If no task failed,
   * moves the threshold of machine `nextMachineNumber`, which is the next machine to be rented. Returns the
   * move, or undefined if no task arrived in the window or the threshold has already reached its bound.
   */
  tune(ladder: Ladder, nextMachineNumber: number, now: number): ThresholdMove | undefined {
    const failureRatio = this.failureRatio(now);
    if (failureRatio === undefined) return undefined;
    const bySlots = failureRatio > this.settings.targetFailureRatio ? -1 : 1;
    const machineNumber = this.thresholdWithMostFailures() ?? nextMachineNumber;
    return ladder.move(machineNumber, bySlots) ? { machineNumber, bySlots } : undefined;
  }

  /**
   * Returns the machine number with the most failures in the window, or undefined if no task failed. Of
   * several such numbers, returns the lowest.
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
