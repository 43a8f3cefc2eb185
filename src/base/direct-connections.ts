/**
 * The fast path of the HTTP server: a request that arrives whole in one piece is answered directly from its socket. Node's
 * own server makes a parser, two streams and a dozen events of each, which is most of what a heartbeat costs.
 */
import { STATUS_CODES } from 'node:http';
import type { Socket } from 'node:net';

import { encode } from '../wire/codec.js';
import type { Clock } from './clock.js';
import type { ConnectionLoad } from './connection-load.js';
import type { Log } from './log.js';
import { type FastPathRoute, handleFastPath, maxBodyBytes, type Reply, replyHeaders } from './replies.js';
import { TurnQueue } from './turn-queue.js';

const endOfHead = '\r\n\r\n';
const contentLength = /\r\ncontent-length: *(\d+) *\r\n/i;
/** Headers whose handling is left to Node's server. */
const unsupportedHeaders = /\r\n(transfer-encoding|expect|upgrade|connection: *close)/i;

interface CompleteRequest {
  requestLine: string;
  body: Buffer;
}

/** A request that is complete, with nothing after it; undefined for anything else. */
function parseCompleteRequest(bytes: Buffer): CompleteRequest | undefined {
  const end = bytes.indexOf(endOfHead);
  if (end < 0) return undefined;
  const head = bytes.toString('latin1', 0, end + 2);
  if (unsupportedHeaders.test(head)) return undefined;
  const length = Number(contentLength.exec(head)?.[1] ?? 0);
  if (length > maxBodyBytes) return undefined;
  const start = end + endOfHead.length;
  if (bytes.length !== start + length) return undefined;
  return { requestLine: head.slice(0, head.indexOf('\r\n')), body: bytes.subarray(start) };
}

/** The response as text of one byte a character, which goes out in a single write. */
function responseText(reply: Reply): string {
  const body = encode(reply.body ?? {});
  let head = `HTTP/1.1 ${reply.status} ${STATUS_CODES[reply.status] ?? ''}\r\n`;
  const headers = replyHeaders(reply, body.length);
  for (let i = 0; i < headers.length; i += 2) head += `${headers[i] ?? ''}: ${headers[i + 1] ?? ''}\r\n`;
  return `${head}\r\n${body.toString('latin1')}`;
}

/** What the fast path serves, and its limits. */
export interface DirectConnectionsOptions {
  routes: FastPathRoute[];
  log: Log;
  clock: Clock;
  /** How long one turn of the event loop may serve queued requests. */
  turnBudgetMs: number;
  /** A connection on which nothing comes for so long is closed. */
  idleTimeoutMs: number;
  load: ConnectionLoad;
  /** Has Node's server take over a connection. */
  delegate: (socket: Socket) => void;
}

/** The open connections on which only complete requests of the fast path's routes have come so far. */
export class DirectConnections {
  private readonly sockets = new Set<Socket>();
  private readonly routes: ReadonlyMap<string, FastPathRoute>;
  private readonly queue: TurnQueue;

  constructor(private readonly options: DirectConnectionsOptions) {
    this.queue = new TurnQueue(options.clock, options.turnBudgetMs);
    this.routes = new Map(options.routes.map((route) => [`${route.method} ${route.path} HTTP/1.1`, route]));
  }

  /** Serves a new connection, and delegates it to Node's server with the first request that is not for the fast path. */
  accept(socket: Socket): void {
    this.add(socket);
    let isAnswering = false;
    const onData = (bytes: Buffer): void => {
      if (isAnswering) {
        // Clients of these routes do not pipeline: one that sends before it has its response has broken the protocol.
        socket.destroy();
        return;
      }
      const request = parseCompleteRequest(bytes);
      const route = request && this.routes.get(request.requestLine);
      if (!route) {
        stopServing();
        this.delegate(socket, bytes);
        return;
      }
      isAnswering = true;
      this.serve(socket, route, request.body, (reply) => {
        if (!isAnswering || socket.destroyed) return;
        isAnswering = false;
        this.respond(socket, route, reply);
      });
    };
    const onEnd = (): void => void socket.end();
    const onTimeout = (): void => void socket.destroy();
    const onError = (): void => undefined;
    const onClose = (): void => this.remove(socket);
    const stopServing = (): void => {
      socket.off('data', onData).off('end', onEnd).off('timeout', onTimeout);
      socket.off('error', onError).off('close', onClose);
    };
    socket.on('data', onData).on('end', onEnd).on('timeout', onTimeout);
    socket.on('error', onError).on('close', onClose);
    socket.setTimeout(this.options.idleTimeoutMs);
  }

  /** Closes all connections at once; those that were delegated are not among them. */
  closeAll(): void {
    for (const socket of this.sockets) socket.destroy();
  }

  private serve(socket: Socket, route: FastPathRoute, body: Buffer, answer: (reply: Reply) => void): void {
    const run = (): void => handleFastPath(route, body, answer, this.options.log);
    if (route.queued === true) this.queue.add({ isWanted: () => !socket.destroyed, run });
    else run();
  }

  private respond(socket: Socket, route: FastPathRoute, reply: Reply): void {
    const closes = reply.close === true || (route.queued === true && this.options.load.isCrowded);
    socket.write(responseText(closes ? { ...reply, close: true } : reply), 'latin1');
    if (closes) socket.end();
  }

  /** Hands over a connection to which nothing listens any more, with the bytes that have been read from it. */
  private delegate(socket: Socket, bytes: Buffer): void {
    socket.setTimeout(0);
    this.remove(socket);
    socket.pause();
    socket.unshift(bytes);
    this.options.delegate(socket);
    process.nextTick(() => socket.resume());
  }

  private add(socket: Socket): void {
    this.sockets.add(socket);
    this.options.load.openConnections = this.sockets.size;
  }

  private remove(socket: Socket): void {
    this.sockets.delete(socket);
    this.options.load.openConnections = this.sockets.size;
  }
}
