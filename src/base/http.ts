/** The HTTP client: sends MessagePack requests to one address over kept-alive connections. */
import { Agent, type ClientRequest, type IncomingMessage, request } from 'node:http';

import { encode } from '../wire/codec.js';
import { MalformedMessageError } from '../wire/message-errors.js';
import type { DecodeLimits } from '../wire/message-scanner.js';
import { onAbort } from './abort-callbacks.js';
import { nextEventLoopIteration } from './event-loop.js';
import { ReceiveBuffer } from './receive-buffer.js';
import type { OnRefusal, RefusalSource } from './refusals.js';
import { parseSocketAddress } from './socket-address.js';

/** An HTTP response with any status. */
export interface HttpResponse {
  status: number;
  /** The decoded body, or undefined if it is empty. */
  body: unknown;
}

/** Time-out and cancellation of one exchange, that is, of one request and its response. */
export interface ExchangeOptions {
  /** Time-out in milliseconds for the whole exchange, from connecting to the end of the response. */
  timeoutMs: number;
  /** Cancels the exchange when it fires. */
  signal?: AbortSignal | undefined;
}

/** Why an exchange ended without a usable response. */
export type ExchangeFailure = 'cancelled' | 'timed-out' | 'connection-lost' | 'malformed' | 'too-large';

const failureMessages: Record<ExchangeFailure, string> = {
  cancelled: 'exchange cancelled',
  'timed-out': 'no response within the time-out',
  'connection-lost': 'connection closed before the end of the response',
  malformed: 'response body is malformed',
  'too-large': 'response body is larger than this client accepts',
};

/**
 * An exchange ended without a usable response. If the socket itself fails, the exchange rejects with the
 * error of the operating system instead.
 */
export class ExchangeError extends Error {
  constructor(
    readonly failure: ExchangeFailure,
    options?: ErrorOptions,
  ) {
    super(failureMessages[failure], options);
    this.name = 'ExchangeError';
  }
}

/** How a client reads the responses of its server. */
export interface ResponseReading {
  limits: DecodeLimits;
  /**
   * Decodes a response body.
   * @throws MalformedMessageError if the body is malformed or exceeds the limits
   */
  decode: (bytes: Buffer, limits: DecodeLimits) => unknown;
  /** The kind of the server. */
  source: RefusalSource;
  /** Receives each response whose body is malformed or exceeds the limits. */
  onRefusal?: OnRefusal | undefined;
}

/** A client for the HTTP server at one address. */
export class HttpClient {
  private readonly agent: Agent;
  private readonly host: string;
  private readonly port: number;

  /**
   * Creates a client. The first exchange opens a connection.
   * @param address `host:port` of the server
   * @param sockets the maximum number of open connections; further exchanges wait for a free connection
   * @param reading the limits of the responses, and how they are decoded
   */
  constructor(
    private readonly address: string,
    sockets: number,
    private readonly reading: ResponseReading,
  ) {
    const { host, port } = parseSocketAddress(address);
    this.host = host;
    this.port = port;
    this.agent = new Agent({ keepAlive: true, maxSockets: sockets, maxFreeSockets: sockets });
  }

  /**
   * Sends one request and resolves with the response, also if its HTTP status is an error.
   *
   * Rejects with an `ExchangeError` or an error of the socket. It is then unknown whether the server
   * processed the request, unless the signal had fired before the call: in this case no request was sent.
   */
  exchange(method: string, path: string, body: unknown, options: ExchangeOptions): Promise<HttpResponse> {
    if (options.signal?.aborted) return Promise.reject(new ExchangeError('cancelled'));
    return new Promise((resolve, reject) => {
      const payload = body === undefined ? undefined : encode(body);
      const clientRequest = this.createRequest(method, path, payload);
      const removeLimits = applyLimits(clientRequest, options);
      const succeed = (answer: HttpResponse): void => {
        removeLimits();
        resolve(answer);
      };
      const fail = (error: Error): void => {
        removeLimits();
        reject(error);
      };
      clientRequest.on('error', fail);
      clientRequest.on('response', (response) => {
        this.readResponse(response, path).then(succeed, fail);
      });
      // A string body with one character per byte is sent in one write together with the head. If the body
      // were a Buffer, head and body would be sent as a list of two chunks.
      if (payload === undefined) clientRequest.end();
      else clientRequest.end(payload.toString('latin1'), 'latin1');
    });
  }

  /** Closes all connections. Exchanges in flight reject. */
  close(): void {
    this.agent.destroy();
  }

  private async readResponse(response: IncomingMessage, path: string): Promise<HttpResponse> {
    const { limits, decode: decodeResponse, source, onRefusal } = this.reading;
    const status = response.statusCode ?? 0;
    const received = new ReceiveBuffer();
    try {
      await readBody(response, received, limits.maxBytes);
      if (received.length === 0) return { status, body: undefined };
      return { status, body: decodeResponse(received.bytes, limits) };
    } catch (error) {
      if (!(error instanceof MalformedMessageError)) throw error;
      onRefusal?.({ source, path, sender: this.address, error, bytes: received.bytes });
      throw new ExchangeError(exceedsLimit(error) ? 'too-large' : 'malformed', { cause: error });
    }
  }

  private createRequest(method: string, path: string, payload: Buffer | undefined): ClientRequest {
    const headers =
      payload === undefined
        ? {}
        : { 'content-type': 'application/msgpack', 'content-length': payload.length };
    return request({ host: this.host, port: this.port, method, path, headers, agent: this.agent });
  }
}

/**
 * Destroys the request at its deadline or when the signal fires. The returned function removes both limits.
 */
function applyLimits(clientRequest: ClientRequest, { timeoutMs, signal }: ExchangeOptions): () => void {
  let isSettled = false;
  // After a long event-loop iteration, timers run before sockets are read. The request is therefore destroyed
  // only after another poll of the sockets, which reads a response that arrived before the deadline.
  const expire = async (): Promise<void> => {
    await nextEventLoopIteration();
    if (!isSettled) clientRequest.destroy(new ExchangeError('timed-out'));
  };
  // The deadline covers the whole exchange, because a network partition drops packets without an error.
  const deadline = setTimeout(() => void expire(), timeoutMs);
  const stopListening =
    signal && onAbort(signal, () => void clientRequest.destroy(new ExchangeError('cancelled')));
  return () => {
    isSettled = true;
    clearTimeout(deadline);
    stopListening?.();
  };
}

/**
 * Reads the whole body of a response into a buffer.
 * @throws ExchangeError if the connection is lost before the end of the body, MalformedMessageError if the body
 * is larger than `maxBytes`
 */
function readBody(response: IncomingMessage, received: ReceiveBuffer, maxBytes: number): Promise<void> {
  return new Promise((resolve, reject) => {
    response.on('data', (chunk: Buffer) => {
      received.append(chunk);
      if (received.length <= maxBytes) return;
      reject(new MalformedMessageError('too-large', maxBytes));
      response.destroy();
    });
    response.on('error', reject);
    response.on('aborted', () => reject(new ExchangeError('connection-lost')));
    response.on('end', () => resolve());
  });
}

function exceedsLimit({ reason }: MalformedMessageError): boolean {
  return reason === 'too-large' || reason === 'too-expensive';
}
