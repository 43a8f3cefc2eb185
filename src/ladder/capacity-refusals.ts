/** Back-off after the cloud has refused to rent machines in a zone. */

const maxBackoffSteps = 4;

interface Refusal {
  /** Monotonic time in ms before which no further rental request is sent. */
  retryAt: number;
  /** Number of consecutive refusals, capped at `maxBackoffSteps`. */
  consecutiveRefusals: number;
}

/**
 * Records refused rentals by machine type, zone and kind (spot or ordinary). With each consecutive refusal,
 * the back-off before the next request grows by `backoffMs`, up to `maxBackoffSteps` times `backoffMs`. Times
 * are monotonic, in ms.
 */
export class CapacityRefusals {
  private readonly refusals = new Map<string, Refusal>();

  constructor(private readonly backoffMs: number) {}

  /** Records a refusal by the cloud and starts the back-off for this type, zone and kind. */
  recordRefusal(type: string, zone: string, spot: boolean, now: number): void {
    const key = refusalKey(type, zone, spot);
    const consecutiveRefusals = Math.min(
      (this.refusals.get(key)?.consecutiveRefusals ?? 0) + 1,
      maxBackoffSteps,
    );
    this.refusals.set(key, { retryAt: now + this.backoffMs * consecutiveRefusals, consecutiveRefusals });
  }

  /**
   * Removes the recorded refusals of this type, zone and kind. Called after the cloud has granted machines.
   */
  clear(type: string, zone: string, spot: boolean): void {
    this.refusals.delete(refusalKey(type, zone, spot));
  }

  /** Whether the back-off after a refusal of this type, zone and kind is still running. */
  isRefused(type: string, zone: string, spot: boolean, now: number): boolean {
    const refusal = this.refusals.get(refusalKey(type, zone, spot));
    return refusal !== undefined && refusal.retryAt > now;
  }
}

function refusalKey(type: string, zone: string, spot: boolean): string {
  return `${type}/${zone}/${spot ? 'spot' : 'ordinary'}`;
}
