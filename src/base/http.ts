/** The HTTP client: MessagePack requests to one address over kept-alive connections. */
import { Agent, type ClientRequest, type IncomingMessage, request } from 'node:http';

import { decode, encode } from '../wire/codec.js';
import { onAbort } from './aborts.js';
import { parseSocketAddress } from './socket-address.js';
import { nextTurn } from './turns.js';

/** A response, whatever its status. */
export interface Answer {
  status: number;
  /** The decoded body, undefined where it is empty. */
  body: unknown;
}

/** The limits of one exchange. */
export interface ExchangeOptions {
  /** Covers the whole exchange, from connecting to the end of the response. */
  timeoutMs: number;
  /** Cancels the exchange. */
  signal?: AbortSignal | undefined;
}

/** Why an exchange ended without a response that can be used. */
export type ExchangeFailure = 'cancelled' | 'timed-out' | 'connection-lost' | 'malformed';

const failureMessages: Record<ExchangeFailure, string> = {
  cancelled: 'cancelled',
  'timed-out': 'no answer in time',
  'connection-lost': 'connection lost',
  malformed: 'malformed answer',
};

/** An exchange that ended without a usable response. Failures of the socket itself reject with the system's error instead. */
export class ExchangeError extends Error {
  constructor(
    readonly failure: ExchangeFailure,
    options?: ErrorOptions,
  ) {
    super(failureMessages[failure], options);
    this.name = 'ExchangeError';
  }
}

/** A peer at one address. */
export class HttpPeer {
  private readonly agent: Agent;
  private readonly host: string;
  private readonly port: number;

  /**
   * Opens no connection yet.
   * @param address `host:port`
   * @param sockets how many connections there may be at a time; exchanges beyond that wait
   */
  constructor(address: string, sockets: number) {
    const { host, port } = parseSocketAddress(address);
    this.host = host;
    this.port = port;
    this.agent = new Agent({ keepAlive: true, maxSockets: sockets, maxFreeSockets: sockets });
  }

  /**
   * Sends one request and resolves with its response, whatever the status.
   *
   * Rejects with an `ExchangeError` or an error of the socket; whether the request was carried out is then unknown, except
   * that nothing was sent where the signal had fired before.
   */
  exchange(method: string, path: string, body: unknown, options: ExchangeOptions): Promise<Answer> {
    if (options.signal?.aborted) return Promise.reject(new ExchangeError('cancelled'));
    return new Promise((resolve, reject) => {
      const payload = body === undefined ? undefined : encode(body);
      const call = this.createRequest(method, path, payload);
      const stopLimits = applyLimits(call, options);
      const succeed = (answer: Answer): void => {
        stopLimits();
        resolve(answer);
      };
      const fail = (error: Error): void => {
        stopLimits();
        reject(error);
      };
      call.on('error', fail);
      call.on('response', (response) => readAnswer(response, succeed, fail));
      // As text of one byte a character, head and body go out in one write instead of a list of two.
      if (payload === undefined) call.end();
      else call.end(payload.toString('latin1'), 'latin1');
    });
  }

  /** Closes all connections; exchanges in flight fail. */
  close(): void {
    this.agent.destroy();
  }

  private createRequest(method: string, path: string, payload: Buffer | undefined): ClientRequest {
    const headers =
      payload === undefined
        ? {}
        : { 'content-type': 'application/msgpack', 'content-length': payload.length };
    return request({ host: this.host, port: this.port, method, path, headers, agent: this.agent });
  }
}

/** Destroys the request at its deadline or when the signal fires, until the returned function is called. */
function applyLimits(call: ClientRequest, { timeoutMs, signal }: ExchangeOptions): () => void {
  let isSettled = false;
  // After a long turn timers come before sockets: what has arrived by the deadline is read before the request is given up.
  const expire = async (): Promise<void> => {
    await nextTurn();
    if (!isSettled) call.destroy(new ExchangeError('timed-out'));
  };
  // The deadline covers the whole exchange, since a network partition drops packets without an error.
  const deadline = setTimeout(() => void expire(), timeoutMs);
  const stopListening = signal && onAbort(signal, () => void call.destroy(new ExchangeError('cancelled')));
  return () => {
    isSettled = true;
    clearTimeout(deadline);
    stopListening?.();
  };
}

/** Reads the whole response, then calls back once or more; only the first call counts. */
function readAnswer(
  response: IncomingMessage,
  succeed: (answer: Answer) => void,
  fail: (error: Error) => void,
): void {
  const chunks: Buffer[] = [];
  response.on('data', (chunk: Buffer) => chunks.push(chunk));
  response.on('error', fail);
  response.on('aborted', () => fail(new ExchangeError('connection-lost')));
  response.on('end', () => {
    let body: unknown;
    try {
      const bytes = Buffer.concat(chunks);
      body = bytes.length > 0 ? decode(bytes) : undefined;
    } catch (error) {
      fail(new ExchangeError('malformed', { cause: error }));
      return;
    }
    succeed({ status: response.statusCode ?? 0, body });
  });
}
