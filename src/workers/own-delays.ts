/** Times in which this controller was held up or slow itself, so that the silence of others says nothing. */
import type { Clock } from '../base/clock.js';
import { ProcessPause } from '../base/process-pause.js';
import { Saturation } from '../base/saturation.js';

/** While we are short of processor time, this share of it is not held against the machines. */
const saturatedGraceShare = 0.75;

/**
 * How much of the time that has passed says nothing of the machines, in ms: heartbeats and responses that were in flight in
 * it have waited for us. While we are saturated a part of the time counts all the same, so that a machine that has died is
 * detected though a burst may keep us busy for minutes.
 */
export function ownDelayGraceMs(time: { passedMs: number; heldUpMs: number; saturated: boolean }): number {
  const { passedMs, heldUpMs, saturated } = time;
  return saturated ? Math.max(heldUpMs, passedMs * saturatedGraceShare) : heldUpMs;
}

/** Measures from one periodic check to the next by how much this controller's own delays excuse the machines. */
export class OwnDelays {
  private readonly processPause: ProcessPause;
  private readonly saturation = new Saturation();
  private checkedAt: number;

  /** `checkIntervalMs`: the usual time between two checks. */
  constructor(
    private readonly clock: Clock,
    checkIntervalMs: number,
  ) {
    this.processPause = new ProcessPause(clock, checkIntervalMs);
    this.checkedAt = clock();
  }

  /** The grace for the time since the last call, or since construction, in ms. To be called at each check. */
  graceMs(): number {
    const passedMs = this.clock() - this.checkedAt;
    this.checkedAt += passedMs;
    return ownDelayGraceMs({
      passedMs,
      heldUpMs: this.processPause.measureDelayMs(),
      saturated: this.saturation.measureSaturated(),
    });
  }

  /** Has the time since the last check count as time in which nothing held us up: a check that waited for an answer. */
  ignoreWait(): void {
    this.processPause.measureDelayMs();
  }
}
