/** Back-off from zones in which the cloud has refused capacity. */

const maxBackoffSteps = 4;

interface Refusal {
  /** Monotonic time in ms until which nothing is asked for. */
  until: number;
  /** Refusals in a row, at most `maxBackoffSteps`. */
  steps: number;
}

/**
 * Remembers where the cloud has refused a machine, by type, zone and kind (spot or ordinary). With each refusal in a row
 * the pause before the next request grows by `backoffMs`, up to `maxBackoffSteps` times that. Times are monotonic, in ms.
 */
export class CapacityRefusals {
  private readonly refusals = new Map<string, Refusal>();

  constructor(private readonly backoffMs: number) {}

  /** The cloud has refused: nothing is to be asked for there until the pause is over. */
  recordRefusal(type: string, zone: string, spot: boolean, now: number): void {
    const key = refusalKey(type, zone, spot);
    const steps = Math.min((this.refusals.get(key)?.steps ?? 0) + 1, maxBackoffSteps);
    this.refusals.set(key, { until: now + this.backoffMs * steps, steps });
  }

  /** The cloud has granted machines: earlier refusals are forgotten. */
  clear(type: string, zone: string, spot: boolean): void {
    this.refusals.delete(refusalKey(type, zone, spot));
  }

  /** True while the pause after a refusal lasts. */
  isRefused(type: string, zone: string, spot: boolean, now: number): boolean {
    const refusal = this.refusals.get(refusalKey(type, zone, spot));
    return refusal !== undefined && refusal.until > now;
  }
}

function refusalKey(type: string, zone: string, spot: boolean): string {
  return `${type}/${zone}/${spot ? 'spot' : 'ordinary'}`;
}
