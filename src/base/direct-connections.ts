/**
 * The short path of the lean routes: a request that arrives whole in one piece is answered straight from its socket.
 * Node's own server makes a parser, two streams and a dozen events of each, which is most of what a report costs.
 */
import { STATUS_CODES } from 'node:http';
import type { Socket } from 'node:net';
import { encode } from '../wire/codec.js';
import type { Clock } from './clock.js';
import type { ConnectionLoad } from './connection-load.js';
import type { Log } from './log.js';
import { TurnQueue } from './turn-queue.js';
import { type LeanRoute, type Reply, bodyLimit, handleLean, replyHeaders } from './replies.js';

const endOfHead = '\r\n\r\n';
const contentLength = /\r\ncontent-length: *(\d+) *\r\n/i;
/** Headers that ask for more than a plain answer; they are for the ordinary server. */
const unusual = /\r\n(transfer-encoding|expect|upgrade|connection: *close)/i;

interface WholeRequest {
  requestLine: string;
  body: Buffer;
}

/** A request that is whole, with nothing after it; undefined for anything else. */
function parseWhole(bytes: Buffer): WholeRequest | undefined {
  const end = bytes.indexOf(endOfHead);
  if (end < 0) return undefined;
  const head = bytes.toString('latin1', 0, end + 2);
  if (unusual.test(head)) return undefined;
  const length = Number(contentLength.exec(head)?.[1] ?? 0);
  if (length > bodyLimit) return undefined;
  const start = end + endOfHead.length;
  if (bytes.length !== start + length) return undefined;
  return { requestLine: head.slice(0, head.indexOf('\r\n')), body: bytes.subarray(start) };
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
  routes: LeanRoute[];
  log: Log;
  clock: Clock;
  /** How long one turn of the event loop may serve queued requests. */
  sliceMs: number;
  /** A connection that says nothing for so long is closed. */
  idleMs: number;
  load: ConnectionLoad;
  /** The ordinary server's way of taking a connection. */
  delegate: (socket: Socket) => void;
}

/** Connections on which nothing but whole requests of the routes have come so far. */
export class DirectConnections {
  private readonly sockets = new Set<Socket>();
  private readonly routes: ReadonlyMap<string, LeanRoute>;
  private readonly queue: TurnQueue;

  constructor(private readonly options: DirectOptions) {
    this.queue = new TurnQueue(options.clock, options.sliceMs);
    this.routes = new Map(options.routes.map((route) => [`${route.method} ${route.path} HTTP/1.1`, route]));
  }

  /** Takes a new connection, and hands it to the ordinary server with the first request that is not for this path. */
  take(socket: Socket): void {
    this.add(socket);
    let answering = false;
    const onData = (bytes: Buffer): void => {
      // Nobody pipelines here: who speaks before the answer has broken the protocol.
      if (answering) return void socket.destroy();
      const request = parseWhole(bytes);
      const route = request && this.routes.get(request.requestLine);
      if (!route) return handOver(bytes);
      answering = true;
      const answer = (reply: Reply): void => {
        if (!answering || socket.destroyed) return;
        answering = false;
        const isGivenUp = reply.close === true || (route.queued === true && this.options.load.isCrowded);
        socket.write(responseText(isGivenUp ? { ...reply, close: true } : reply), 'latin1');
        if (isGivenUp) socket.end();
      };
      const run = (): void => handleLean(route, request.body, answer, this.options.log);
      if (route.queued === true) this.queue.add({ isWanted: () => !socket.destroyed, run });
      else run();
    };
    const onEnd = (): void => void socket.end();
    const onTimeout = (): void => void socket.destroy();
    const onError = (): void => undefined;
    const onClose = (): void => this.remove(socket);
    const handOver = (bytes: Buffer): void => {
      socket.off('data', onData).off('end', onEnd).off('timeout', onTimeout);
      socket.off('error', onError).off('close', onClose);
      socket.setTimeout(0);
      this.remove(socket);
      socket.pause();
      socket.unshift(bytes);
      this.options.delegate(socket);
      process.nextTick(() => socket.resume());
    };
    socket.on('data', onData).on('end', onEnd).on('timeout', onTimeout);
    socket.on('error', onError).on('close', onClose);
    socket.setTimeout(this.options.idleMs);
  }

  private add(socket: Socket): void {
    this.sockets.add(socket);
    this.options.load.open = this.sockets.size;
  }

  private remove(socket: Socket): void {
    this.sockets.delete(socket);
    this.options.load.open = this.sockets.size;
  }

  closeAll(): void {
    for (const socket of this.sockets) socket.destroy();
  }
}
