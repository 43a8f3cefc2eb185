/**
 * Sends requests to the state service with a time-out. Each request counts towards the request pacing, and
 * its answer or failure is recorded as presence or loss of contact with the service.
 */
import { type Clock, sleep } from '../base/clock.js';
import { HttpClient, type HttpResponse, type ResponseReading } from '../base/http.js';
import { StoreConnectionError, type StoreOperation } from './errors.js';
import type { RequestPacing, TrafficClass } from './request-pacing.js';
import type { StoreContact } from './store-contact.js';

const requestTimeoutMs = 1500;

/** A request to the state service. */
export interface StoreRequest {
  operation: StoreOperation;
  method: 'GET' | 'POST' | 'DELETE';
  path: string;
  body?: unknown;
}

/** The parts of the store client that a connection uses. */
export interface StoreConnectionPorts {
  /** `host:port` of the state service. */
  address: string;
  clock: Clock;
  /** Aborts pauses and pending requests. */
  signal: AbortSignal;
  pacing: Pick<RequestPacing, 'reserveRequest'>;
  contact: Pick<StoreContact, 'recordAnswer' | 'recordNoAnswer'>;
  reading: ResponseReading;
}

/** A pool of persistent connections to the state service. */
export class StoreConnection {
  private readonly httpClient: HttpClient;

  /**
   * @param ports the dependencies of the connection
   * @param sockets limit of concurrent requests; further requests wait until another request has ended
   */
  constructor(
    private readonly ports: StoreConnectionPorts,
    sockets: number,
  ) {
    this.httpClient = new HttpClient(ports.address, sockets, ports.reading);
  }

  /**
   * Sends the request when the pacing of its traffic class admits it.
   *
   * @throws {StoreConnectionError} when no answer arrives in time
   */
  async sendPaced(trafficClass: TrafficClass, request: StoreRequest): Promise<HttpResponse> {
    const { pacing, signal } = this.ports;
    await sleep(pacing.reserveRequest(trafficClass), signal);
    return this.send(request);
  }

  /**
   * Sends the request without waiting for the pacing. The request still counts towards the pacing and so
   * delays later requests.
   *
   * @throws {StoreConnectionError} when no answer arrives in time
   */
  sendImmediately(trafficClass: TrafficClass, request: StoreRequest): Promise<HttpResponse> {
    this.ports.pacing.reserveRequest(trafficClass);
    return this.send(request);
  }

  private async send({ operation, method, path, body }: StoreRequest): Promise<HttpResponse> {
    const { clock, signal, contact } = this.ports;
    const sentAt = clock();
    try {
      const answer = await this.httpClient.exchange(method, path, body, {
        timeoutMs: requestTimeoutMs,
        signal,
      });
      contact.recordAnswer(sentAt, answer);
      return answer;
    } catch (error) {
      contact.recordNoAnswer(sentAt);
      throw new StoreConnectionError(operation, error);
    }
  }
}
