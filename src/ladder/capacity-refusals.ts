/** Where the cloud has refused a machine lately, by type, zone and kind; asked again after growing pauses. */
export class CapacityRefusals {
  private readonly entries = new Map<string, { until: number; times: number }>();

  constructor(
    private readonly pauseMs: number,
    private readonly mostTimes = 4,
  ) {}

  recordRefusal(type: string, zone: string, spot: boolean, now: number): void {
    const key = this.key(type, zone, spot);
    const times = Math.min((this.entries.get(key)?.times ?? 0) + 1, this.mostTimes);
    this.entries.set(key, { until: now + this.pauseMs * times, times });
  }

  clear(type: string, zone: string, spot: boolean): void {
    this.entries.delete(this.key(type, zone, spot));
  }

  isRefused(type: string, zone: string, spot: boolean, now: number): boolean {
    return (this.entries.get(this.key(type, zone, spot))?.until ?? -Infinity) > now;
  }

  private key(type: string, zone: string, spot: boolean): string {
    return `${type}/${zone}/${spot ? 'spot' : 'ordinary'}`;
  }
}
