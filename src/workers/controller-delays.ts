/** Measures delays of this controller itself, during which missing heartbeats are no sign of failures. */
import type { Clock } from '../base/clock.js';
import { EventLoopSaturation } from '../base/event-loop-saturation.js';
import { ProcessPauseDetector } from '../base/process-pause-detector.js';

/** While this controller is saturated, this ratio of the time does not count against the machines. */
const saturatedGraceRatio = 0.75;

/**
 * Returns how much of the time that has passed must not count against the machines, in ms: this controller
 * has delayed the heartbeats and responses that were in flight. While this controller is saturated, part of
 * the time counts nevertheless, so that a dead machine is detected even if a burst keeps this controller busy
 * for minutes.
 */
export function controllerDelayMs(time: { passedMs: number; pausedMs: number; saturated: boolean }): number {
  const { passedMs, pausedMs, saturated } = time;
  return saturated ? Math.max(pausedMs, passedMs * saturatedGraceRatio) : pausedMs;
}

/** Measures how much grace the machines get for delays of this controller between two periodic checks. */
export class ControllerDelays {
  private readonly processPause: ProcessPauseDetector;
  private readonly saturation = new EventLoopSaturation();
  private checkedAt: number;

  /** `checkIntervalMs`: the usual time between two checks, in ms. */
  constructor(
    private readonly clock: Clock,
    checkIntervalMs: number,
  ) {
    this.processPause = new ProcessPauseDetector(clock, checkIntervalMs);
    this.checkedAt = clock();
  }

  /** Returns the grace since the last call, or since construction, in ms. Must be called at each check. */
  graceMs(): number {
    const passedMs = this.clock() - this.checkedAt;
    this.checkedAt += passedMs;
    return controllerDelayMs({
      passedMs,
      pausedMs: this.processPause.measureDelayMs(),
      saturated: this.saturation.measureSaturated(),
    });
  }

  /** Discards the delay since the last check, for a check that has waited for an answer. */
  discardMeasuredDelay(): void {
    this.processPause.measureDelayMs();
  }
}
