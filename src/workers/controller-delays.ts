/**
 * Measures delays of this controller itself, so that failure detection does not count heartbeats as missed
 * because of these delays.
 */
import type { Clock } from '../base/clock.js';
import { EventLoopSaturation } from '../base/event-loop-saturation.js';
import { ProcessPauseDetector } from '../base/process-pause-detector.js';

/**
 * While the event loop of this controller is saturated, failure detection ignores this fraction of the time.
 */
const saturatedGraceRatio = 0.75;

/**
 * Returns the part of the passed time that failure detection must ignore, in ms. During this part, this
 * controller itself has delayed the heartbeats and responses that were in flight. If the event loop of this
 * controller is saturated, only a fraction of the passed time is ignored, so that a dead machine is detected
 * even if a burst of load keeps this controller busy for minutes.
 */
export function controllerDelayMs(time: { passedMs: number; pausedMs: number; saturated: boolean }): number {
  const { passedMs, pausedMs, saturated } = time;
  return saturated ? Math.max(pausedMs, passedMs * saturatedGraceRatio) : pausedMs;
}

/** Measures for how long this controller itself was delayed between two periodic checks of the machines. */
export class ControllerDelays {
  private readonly processPause: ProcessPauseDetector;
  private readonly saturation = new EventLoopSaturation();
  private checkedAt: number;

  /** `checkIntervalMs`: usual time between two checks, in ms. */
  constructor(
    private readonly clock: Clock,
    checkIntervalMs: number,
  ) {
    this.processPause = new ProcessPauseDetector(clock, checkIntervalMs);
    this.checkedAt = clock();
  }

  /**
   * Returns the part of the time since the previous call, or since construction, that failure detection must
   * ignore, in ms. Must be called at each check.
   */
  graceMs(): number {
    const passedMs = this.clock() - this.checkedAt;
    this.checkedAt += passedMs;
    return controllerDelayMs({
      passedMs,
      pausedMs: this.processPause.measureDelayMs(),
      saturated: this.saturation.measureSaturated(),
    });
  }

  /**
   * Discards the process pause measured since the latest call of `graceMs`. Called by a check that has waited
   * for a response, because this wait is not a pause of the process.
   */
  discardMeasuredDelay(): void {
    this.processPause.measureDelayMs();
  }
}
