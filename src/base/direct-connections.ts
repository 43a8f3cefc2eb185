/**
 * The short path of a lean POST route: a request that arrives whole in one piece is answered straight from its socket.
 * Node's own server makes a parser, two streams and a dozen events of each, which is most of what a report costs.
 */
import { STATUS_CODES } from 'node:http';
import type { Socket } from 'node:net';
import { decode, encode } from '../wire/codec.js';
import type { Log } from './log.js';
import { type LeanRoute, type Reply, malformedReply, replyHeaders, troubleReply } from './web.js';

const endOfHead = '\r\n\r\n';
const contentLength = /\r\ncontent-length: *(\d+) *\r\n/i;
/** Headers that ask for more than a plain answer; they are for the ordinary server. */
const unusual = /\r\n(transfer-encoding|expect|upgrade|connection: *close)/i;

/** The body of a request that is whole, and nothing but that; undefined for anything else. */
function wholeBody(bytes: Buffer, requestLine: string): Buffer | undefined {
  const end = bytes.indexOf(endOfHead);
  if (end < 0) return undefined;
  const head = bytes.toString('latin1', 0, end + 2);
  if (!head.startsWith(requestLine) || unusual.test(head)) return undefined;
  const length = Number(contentLength.exec(head)?.[1] ?? NaN);
  const start = end + endOfHead.length;
  return bytes.length === start + length ? bytes.subarray(start) : undefined;
}

/** As one text of one byte a character, which goes out in a single write. */
function responseText(reply: Reply): string {
  const body = encode(reply.body ?? {});
  let head = `HTTP/1.1 ${reply.status} ${STATUS_CODES[reply.status] ?? ''}\r\n`;
  const headers = replyHeaders(reply, body.length);
  for (let i = 0; i < headers.length; i += 2) head += `${headers[i]}: ${headers[i + 1]}\r\n`;
  return `${head}\r\n${body.toString('latin1')}`;
}

export interface DirectOptions {
  route: LeanRoute;
  log: Log;
  /** A connection that says nothing for so long is closed. */
  idleMs: number;
  /** The ordinary server's way of taking a connection. */
  delegate: (socket: Socket) => void;
}

/** Connections on which nothing but whole requests of the route have come so far. */
export class DirectConnections {
  private readonly sockets = new Set<Socket>();
  private readonly requestLine: string;

  constructor(private readonly options: DirectOptions) {
    this.requestLine = `${options.route.method} ${options.route.path} HTTP/1.1\r\n`;
  }

  /** Takes a new connection, and hands it to the ordinary server with the first request that is not for this path. */
  take(socket: Socket): void {
    this.sockets.add(socket);
    let answering = false;
    const onData = (bytes: Buffer): void => {
      // Nobody pipelines here: who speaks before the answer has broken the protocol.
      if (answering) return void socket.destroy();
      const body = wholeBody(bytes, this.requestLine);
      if (!body) return handOver(bytes);
      answering = true;
      this.serve(body, (reply) => {
        if (!answering || socket.destroyed) return;
        answering = false;
        socket.write(responseText(reply), 'latin1');
      });
    };
    const onEnd = (): void => void socket.end();
    const onTimeout = (): void => void socket.destroy();
    const onError = (): void => undefined;
    const onClose = (): void => void this.sockets.delete(socket);
    const handOver = (bytes: Buffer): void => {
      socket.off('data', onData).off('end', onEnd).off('timeout', onTimeout);
      socket.off('error', onError).off('close', onClose);
      socket.setTimeout(0);
      this.sockets.delete(socket);
      socket.pause();
      socket.unshift(bytes);
      this.options.delegate(socket);
      process.nextTick(() => socket.resume());
    };
    socket.on('data', onData).on('end', onEnd).on('timeout', onTimeout);
    socket.on('error', onError).on('close', onClose);
    socket.setTimeout(this.options.idleMs);
  }

  closeAll(): void {
    for (const socket of this.sockets) socket.destroy();
  }

  private serve(bytes: Buffer, answer: (reply: Reply) => void): void {
    const { route, log } = this.options;
    let body: unknown;
    try {
      body = bytes.length > 0 ? decode(bytes) : undefined;
    } catch {
      return answer(malformedReply);
    }
    try {
      route.handle(body, answer);
    } catch (error) {
      log.error({ event: 'request-failed', path: route.path, err: error }, 'request failed');
      answer(troubleReply);
    }
  }
}
