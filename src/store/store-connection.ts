/** Requests to the state service: each is paced, bounded in time, and recorded as proof of contact or of its loss. */
import { type Clock, sleep } from '../base/clock.js';
import { type Answer, HttpPeer } from '../base/http.js';
import { StoreConnectionError, type StoreOperation } from './errors.js';
import type { RequestPacing, TrafficClass } from './request-pacing.js';
import type { StoreContact } from './store-contact.js';

const requestTimeoutMs = 1500;

/** One request of the state service's protocol. */
export interface StoreRequest {
  operation: StoreOperation;
  method: 'GET' | 'POST' | 'DELETE';
  path: string;
  body?: unknown;
}

/** What a connection needs. */
export interface StoreConnectionPorts {
  /** `host:port` of the state service. */
  address: string;
  clock: Clock;
  /** Ends pauses and requests under way. */
  signal: AbortSignal;
  pacing: Pick<RequestPacing, 'reserveRequest'>;
  contact: Pick<StoreContact, 'recordAnswer' | 'recordNoAnswer'>;
}

/** Kept-alive connections to the state service. */
export class StoreConnection {
  private readonly peer: HttpPeer;

  /**
   * @param ports what the connection uses
   * @param sockets how many requests may be under way at a time; further ones wait for one of these
   */
  constructor(
    private readonly ports: StoreConnectionPorts,
    sockets: number,
  ) {
    this.peer = new HttpPeer(ports.address, sockets);
  }

  /**
   * Sends the request once its traffic class has its turn.
   *
   * @throws {StoreConnectionError} when no answer arrives in time
   */
  async sendInTurn(trafficClass: TrafficClass, request: StoreRequest): Promise<Answer> {
    const { pacing, signal } = this.ports;
    await sleep(pacing.reserveRequest(trafficClass), signal);
    return this.send(request);
  }

  /**
   * Sends the request at once and takes its turn from those that come later.
   *
   * @throws {StoreConnectionError} when no answer arrives in time
   */
  sendAhead(trafficClass: TrafficClass, request: StoreRequest): Promise<Answer> {
    this.ports.pacing.reserveRequest(trafficClass);
    return this.send(request);
  }

  private async send({ operation, method, path, body }: StoreRequest): Promise<Answer> {
    const { clock, signal, contact } = this.ports;
    const sentAt = clock();
    try {
      const answer = await this.peer.exchange(method, path, body, { timeoutMs: requestTimeoutMs, signal });
      contact.recordAnswer(sentAt, answer);
      return answer;
    } catch (error) {
      contact.recordNoAnswer(sentAt);
      throw new StoreConnectionError(operation, error);
    }
  }
}
