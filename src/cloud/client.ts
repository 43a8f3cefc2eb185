/**
 * Client of the cloud's HTTP interface. Lists machine types and rented machines, and rents and releases
 * machines.
 */
import { randomUUID } from 'node:crypto';

import type { Clock } from '../base/clock.js';
import { sleep } from '../base/clock.js';
import { HttpClient, type HttpResponse } from '../base/http.js';
import type { OnRefusal } from '../base/refusals.js';
import { replyLimits } from '../base/reply-limits.js';
import { TokenBucket } from '../base/token-bucket.js';
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
import { decode } from '../wire/codec.js';
import { CloudConnectionError, type CloudOperation, CloudStatusError } from './errors.js';

/** The result of a rental request. */
export type RentalOutcome =
  /** The machines with these ids were rented. */
  | { kind: 'rented'; machines: string[] }
  /** The zone has no machine of the requested type left. */
  | { kind: 'no-capacity' }
  /**
   * The cloud refused the request: with status 429 because of the request rate, or with status 503 for a
   * reason other than missing capacity.
   */
  | { kind: 'busy' }
  /**
   * No response arrived, or its status shows neither success nor refusal. Machines may have been rented. If
   * so, the machine list will contain them.
   */
  | { kind: 'unknown' };

const requestTimeoutMs = 6000;
const maxConnections = 4;
/**
 * The share of the cloud's rate limit that one controller uses. Controllers that do not lead request only the
 * machine types, so the leader may use most of the limit.
 */
const requestRateShare = 0.8;
/** Maximum number of attempts per rental request. A request without a response is retried once. */
const maxRentalAttempts = 2;
/** Maximum number of machines on one page of the machine list; a limit of the cloud. */
export const maxMachinesPerPage = 500;
/** Maximum number of machines in one release request; a limit of the cloud. */
export const maxMachinesPerRelease = 100;
/** Maximum number of machines in one rental request; a limit of the cloud. */
export const maxMachinesPerRental = 50;

/** The settings and inputs of the client. */
export interface CloudClientPorts {
  /** Contains the address and the rate limit of the cloud. */
  settings: Settings;
  clock: Clock;
  /** Cancels the requests in flight and all later requests. */
  signal: AbortSignal;
  /** Receives each response that is malformed or too large. Such a response counts as none. */
  onRefusal?: OnRefusal;
}

/**
 * Sends requests to the cloud and delays them to stay within its rate limit. If no readable response arrives
 * or the status of the response is not 200, `machineTypes` and `listMachines` throw a `CloudError`. `rent`
 * and `release` never throw.
 */
export class CloudClient {
  private readonly signal: AbortSignal;
  private readonly httpClient: HttpClient;
  private readonly pacer: TokenBucket;
  /**
   * Prefix of the names of rental requests. It is unique across all controllers and process restarts, because
   * a request name that received a response with status 200 must never be used for another rental.
   */
  private readonly requestNamePrefix = randomUUID();
  private rentalCount = 0;

  constructor({ settings, clock, signal, onRefusal }: CloudClientPorts) {
    this.signal = signal;
    const reading = { limits: replyLimits(), decode, source: 'cloud' as const, onRefusal };
    this.httpClient = new HttpClient(settings.cloudAddress, maxConnections, reading);
    const ratePerS = settings.cloud.rps * requestRateShare;
    this.pacer = new TokenBucket(ratePerS, ratePerS, clock);
  }

  /** Returns the machine types that the cloud offers. Throws a `CloudError` if the request fails. */
  async machineTypes(): Promise<MachineType[]> {
    const response = await this.request('machine types', 'GET', '/machine_types', undefined);
    requireOk('machine types', response);
    return parseMachineTypes(response.body);
  }

  /**
   * Returns all rented machines, read page by page. Throws a `CloudError` if the request for any page fails.
   */
  async listMachines(): Promise<CloudMachine[]> {
    const machines: CloudMachine[] = [];
    let after = '';
    for (;;) {
      const path = machineListPath(after, maxMachinesPerPage);
      const response = await this.request('machine list', 'GET', path, undefined);
      requireOk('machine list', response);
      const page = parseMachineList(response.body);
      machines.push(...page.machines);
      const last = page.machines.at(-1);
      if (!page.hasMore || !last) return machines;
      after = last.id;
    }
  }

  /**
   * Rents up to `count` machines, at most `maxMachinesPerRental`. If no response arrives, retries the request
   * under the same request name, which makes the rental idempotent.
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
        const response = await this.request('rental', 'POST', '/rentals', body);
        return rentalOutcome(response);
      } catch {
        if (this.signal.aborted) break;
      }
    }
    return { kind: 'unknown' };
  }

  /**
   * Releases machines, at most `maxMachinesPerRelease`. Returns true if the cloud has terminated the machines
   * and everything that ran on them. Returns false if it is unknown whether the machines were terminated.
   */
  async release(machines: string[]): Promise<boolean> {
    try {
      const response = await this.request('release', 'POST', '/rentals/release', releaseBody(machines));
      return response.status === 200;
    } catch {
      return false;
    }
  }

  private async request(
    operation: CloudOperation,
    method: 'GET' | 'POST',
    path: string,
    body: unknown,
  ): Promise<HttpResponse> {
    await sleep(this.pacer.reserve(1), this.signal);
    try {
      return await this.httpClient.exchange(method, path, body, {
        timeoutMs: requestTimeoutMs,
        signal: this.signal,
      });
    } catch (error) {
      throw new CloudConnectionError(operation, error);
    }
  }
}

function requireOk(operation: CloudOperation, response: HttpResponse): void {
  if (response.status !== 200) throw new CloudStatusError(operation, response.status);
}

function rentalOutcome(response: HttpResponse): RentalOutcome {
  switch (response.status) {
    case 200:
      return { kind: 'rented', machines: parseMachineNames(response.body) };
    case 503:
      return isCapacityRefusal(response) ? { kind: 'no-capacity' } : { kind: 'busy' };
    case 429:
      return { kind: 'busy' };
    default:
      return { kind: 'unknown' };
  }
}

function isCapacityRefusal(response: HttpResponse): boolean {
  const body = response.body as { error?: unknown } | undefined;
  return body?.error === 'no capacity';
}
