import { randomUUID } from 'node:crypto';
import type { Clock } from '../base/clock.js';
import { sleep } from '../base/clock.js';
import { type Answer, HttpPeer } from '../base/http.js';
import { Pacer } from '../base/pacer.js';
import type { CloudMachine, MachineType } from '../model/types.js';
import type { Settings } from '../settings/settings.js';
import {
  machineListPath,
  parseMachineList,
  parseMachineNames,
  parseMachineTypes,
  releaseBody,
  rentalBody,
} from '../wire/cloud.js';

export type RentalOutcome =
  { kind: 'rented'; machines: string[] } | { kind: 'no-capacity' } | { kind: 'busy' } | { kind: 'unknown' };

const callTimeoutMs = 6000;
export const listLimit = 500;
export const releaseLimit = 100;
export const rentalLimit = 50;

export class CloudClient {
  private readonly peer: HttpPeer;
  private readonly pacer: Pacer;
  // Unique over all controllers and all their restarts: a request name that returned 200 must never be reused.
  private readonly names = randomUUID();
  private serial = 0;

  constructor(
    settings: Settings,
    clock: Clock,
    private readonly signal: AbortSignal,
  ) {
    this.peer = new HttpPeer(settings.cloudAddress, 4);
    // The other controllers ask only for the machine types, so the leader may use most of the limit.
    const rate = settings.cloud.rps * 0.8;
    this.pacer = new Pacer(rate, rate, clock);
  }

  async machineTypes(): Promise<MachineType[]> {
    const answer = await this.call('GET', '/machine_types', undefined);
    if (answer.status !== 200) throw new Error(`machine types answered ${answer.status}`);
    return parseMachineTypes(answer.body);
  }

  async listMachines(): Promise<CloudMachine[]> {
    const machines: CloudMachine[] = [];
    let after = '';
    for (;;) {
      const answer = await this.call('GET', machineListPath(after, listLimit), undefined);
      if (answer.status !== 200) throw new Error(`machine list answered ${answer.status}`);
      const page = parseMachineList(answer.body);
      machines.push(...page.machines);
      const last = page.machines.at(-1);
      if (!page.hasMore || !last) return machines;
      after = last.id;
    }
  }

  async rent(type: string, zone: string, spot: boolean, count: number): Promise<RentalOutcome> {
    const name = `${this.names}-${++this.serial}`;
    const body = rentalBody({ name, type, zone, spot, count: Math.min(count, rentalLimit) });
    // An answer that was lost is asked for again under the same name, which rents nothing twice.
    for (let attempt = 0; attempt < 2; attempt++) {
      try {
        const answer = await this.call('POST', '/rentals', body);
        if (answer.status === 200) return { kind: 'rented', machines: parseMachineNames(answer.body) };
        if (answer.status === 503)
          return isCapacityRefusal(answer) ? { kind: 'no-capacity' } : { kind: 'busy' };
        if (answer.status === 429) return { kind: 'busy' };
        return { kind: 'unknown' };
      } catch {
        if (this.signal.aborted) break;
      }
    }
    return { kind: 'unknown' };
  }

  /** True: the machines and everything on them are gone. */
  async release(machines: string[]): Promise<boolean> {
    try {
      const answer = await this.call('POST', '/rentals/release', releaseBody(machines));
      return answer.status === 200;
    } catch {
      return false;
    }
  }

  private async call(method: string, path: string, body: unknown): Promise<Answer> {
    await sleep(this.pacer.reserve(1), this.signal);
    return this.peer.exchange(method, path, body, { timeoutMs: callTimeoutMs, signal: this.signal });
  }
}

function isCapacityRefusal(answer: Answer): boolean {
  const body = answer.body as { error?: unknown } | undefined;
  return body?.error === 'no capacity';
}
