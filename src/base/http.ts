import { Agent, request } from 'node:http';
import { decode, encode } from '../wire/codec.js';
import { onAbort } from './aborts.js';
import { parseSocketAddress } from './socket-address.js';
import { nextTurn } from './turns.js';

export interface Answer {
  status: number;
  body: unknown;
}

export interface ExchangeOptions {
  timeoutMs: number;
  signal?: AbortSignal | undefined;
}

/** One peer reached over kept-alive connections. A failed exchange rejects: its outcome is unknown. */
export class HttpPeer {
  private readonly agent: Agent;
  private readonly host: string;
  private readonly port: number;

  constructor(address: string, sockets: number) {
    const { host, port } = parseSocketAddress(address);
    this.host = host;
    this.port = port;
    this.agent = new Agent({ keepAlive: true, maxSockets: sockets, maxFreeSockets: sockets });
  }

  exchange(method: string, path: string, body: unknown, options: ExchangeOptions): Promise<Answer> {
    if (options.signal?.aborted) return Promise.reject(new Error('cancelled'));
    return new Promise((resolve, reject) => {
      const payload = body === undefined ? undefined : encode(body);
      const headers =
        payload === undefined
          ? {}
          : { 'content-type': 'application/msgpack', 'content-length': payload.length };
      const call = request({ host: this.host, port: this.port, method, path, headers, agent: this.agent });
      let settled = false;
      // After a long turn timers come before sockets: what has arrived by the deadline is read before the call is given up.
      const expire = async (): Promise<void> => {
        await nextTurn();
        if (!settled) call.destroy(new Error('no answer in time'));
      };
      // The deadline covers the whole exchange, since a cut swallows packets without an error.
      const timer = setTimeout(() => void expire(), options.timeoutMs);
      const stopListening =
        options.signal && onAbort(options.signal, () => void call.destroy(new Error('cancelled')));
      const settle = (finish: () => void): void => {
        settled = true;
        clearTimeout(timer);
        stopListening?.();
        finish();
      };
      call.on('error', (error) => settle(() => reject(error)));
      call.on('response', (response) => {
        const chunks: Buffer[] = [];
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.on('error', (error) => settle(() => reject(error)));
        response.on('aborted', () => settle(() => reject(new Error('connection lost'))));
        response.on('end', () =>
          settle(() => {
            try {
              const bytes = Buffer.concat(chunks);
              resolve({ status: response.statusCode ?? 0, body: bytes.length ? decode(bytes) : undefined });
            } catch (error) {
              reject(error instanceof Error ? error : new Error(String(error)));
            }
          }),
        );
      });
      // As text of one byte a character, head and body go out in one write instead of a list of two.
      if (payload === undefined) call.end();
      else call.end(payload.toString('latin1'), 'latin1');
    });
  }

  close(): void {
    this.agent.destroy();
  }
}
