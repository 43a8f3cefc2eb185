/** Client of the cloud's HTTP interface: machine types, the list of rented machines, rentals and releases. */
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
import { CloudConnectionError, type CloudOperation, CloudStatusError } from './errors.js';

/** The result of a rental. */
export type RentalOutcome =
  /** Ids of the machines that were rented. */
  | { kind: 'rented'; machines: string[] }
  /** The zone has no machine of the type left. */
  | { kind: 'no-capacity' }
  /** Refused for the rate of requests, or the cloud is in trouble. */
  | { kind: 'busy' }
  /** No answer, or one without a result: machines may have been rented, and the machine list will name them. */
  | { kind: 'unknown' };

const requestTimeoutMs = 6000;
const connections = 4;
/** The other controllers ask only for the machine types, so the leader may use most of the limit. */
const requestRateShare = 0.8;
/** A rental whose answer was lost is asked for once more. */
const maxRentalAttempts = 2;
/** Machines on one page of the machine list, by the cloud's limit. */
export const maxMachinesPerList = 500;
/** Machines in one release, by the cloud's limit. */
export const maxMachinesPerRelease = 100;
/** Machines in one rental, by the cloud's limit. */
export const maxMachinesPerRental = 50;

/**
 * Requests to the cloud, paced to stay within its rate limit. `machineTypes` and `listMachines` throw a `CloudError` where
 * there is no result; `rent` and `release` never throw.
 */
export class CloudClient {
  private readonly peer: HttpPeer;
  private readonly pacer: Pacer;
  /** Unique over all controllers and all their restarts: a request name that returned 200 must never be reused. */
  private readonly requestNamePrefix = randomUUID();
  private rentalCount = 0;

  /** `signal`: cancels requests that are under way and all later ones. */
  constructor(
    settings: Settings,
    clock: Clock,
    private readonly signal: AbortSignal,
  ) {
    this.peer = new HttpPeer(settings.cloudAddress, connections);
    const ratePerS = settings.cloud.rps * requestRateShare;
    this.pacer = new Pacer(ratePerS, ratePerS, clock);
  }

  /** The types of machines on offer. Throws a `CloudError` where there is no result. */
  async machineTypes(): Promise<MachineType[]> {
    const answer = await this.request('machine types', 'GET', '/machine_types', undefined);
    requireOk('machine types', answer);
    return parseMachineTypes(answer.body);
  }

  /** All rented machines, read page by page. Throws a `CloudError` where any page has no result. */
  async listMachines(): Promise<CloudMachine[]> {
    const machines: CloudMachine[] = [];
    let after = '';
    for (;;) {
      const path = machineListPath(after, maxMachinesPerList);
      const answer = await this.request('machine list', 'GET', path, undefined);
      requireOk('machine list', answer);
      const page = parseMachineList(answer.body);
      machines.push(...page.machines);
      const last = page.machines.at(-1);
      if (!page.hasMore || !last) return machines;
      after = last.id;
    }
  }

  /**
   * Rents machines, at most `maxMachinesPerRental`. An answer that was lost is asked for again under the same request
   * name, which makes the rental idempotent.
   */
  async rent(type: string, zone: string, spot: boolean, count: number): Promise<RentalOutcome> {
    const requestName = `${this.requestNamePrefix}-${++this.rentalCount}`;
    const body = rentalBody({
      name: requestName,
      type,
      zone,
      spot,
      count: Math.min(count, maxMachinesPerRental),
    });
    for (let attempt = 0; attempt < maxRentalAttempts; attempt++) {
      try {
        const answer = await this.request('rental', 'POST', '/rentals', body);
        return rentalOutcome(answer);
      } catch {
        if (this.signal.aborted) break;
      }
    }
    return { kind: 'unknown' };
  }

  /**
   * Releases machines, at most `maxMachinesPerRelease`. True: the machines and everything on them are gone. False: they
   * may be or not.
   */
  async release(machines: string[]): Promise<boolean> {
    try {
      const answer = await this.request('release', 'POST', '/rentals/release', releaseBody(machines));
      return answer.status === 200;
    } catch {
      return false;
    }
  }

  private async request(
    operation: CloudOperation,
    method: 'GET' | 'POST',
    path: string,
    body: unknown,
  ): Promise<Answer> {
    await sleep(this.pacer.reserve(1), this.signal);
    try {
      return await this.peer.exchange(method, path, body, {
        timeoutMs: requestTimeoutMs,
        signal: this.signal,
      });
    } catch (error) {
      throw new CloudConnectionError(operation, error);
    }
  }
}

function requireOk(operation: CloudOperation, answer: Answer): void {
  if (answer.status !== 200) throw new CloudStatusError(operation, answer.status);
}

function rentalOutcome(answer: Answer): RentalOutcome {
  switch (answer.status) {
    case 200:
      return { kind: 'rented', machines: parseMachineNames(answer.body) };
    case 503:
      return isCapacityRefusal(answer) ? { kind: 'no-capacity' } : { kind: 'busy' };
    case 429:
      return { kind: 'busy' };
    default:
      return { kind: 'unknown' };
  }
}

function isCapacityRefusal(answer: Answer): boolean {
  const body = answer.body as { error?: unknown } | undefined;
  return body?.error === 'no capacity';
}
