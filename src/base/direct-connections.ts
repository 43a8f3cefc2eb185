/**
 * The fast path of the HTTP server. It answers requests that arrive complete in one chunk directly on their
 * socket. Node's server would create a parser, two streams and a dozen events for each request, which is most
 * of the cost of a heartbeat.
 */
import { STATUS_CODES } from 'node:http';
import type { Socket } from 'node:net';

import { encode } from '../wire/codec.js';
import type { Clock } from './clock.js';
import type { ConnectionLoad } from './connection-load.js';
import type { Log } from './log.js';
import type { OnRefusal } from './refusals.js';
import { type FastPathRoute, handleFastPath, maxBodyBytes, type Reply, replyHeaders } from './replies.js';
import { TimeSlicedQueue } from './time-sliced-queue.js';

const endOfHead = '\r\n\r\n';
const contentLength = /\r\ncontent-length: *(\d+) *\r\n/i;
/** Headers that the fast path does not support. Node's server handles requests that contain one of them. */
const unsupportedHeaders = /\r\n(transfer-encoding|expect|upgrade|connection: *close)/i;

interface CompleteRequest {
  requestLine: string;
  body: Buffer;
}

/**
 * Parses a chunk that holds exactly one complete request. Returns undefined for any other chunk, and for a
 * request with unsupported headers or with a body over `maxBodyBytes`.
 */
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

/**
 * Encodes the response as a string with one character per byte, so that head and body are sent in one write.
 */
function responseText(reply: Reply): string {
  const body = encode(reply.body ?? {});
  let head = `HTTP/1.1 ${reply.status} ${STATUS_CODES[reply.status] ?? ''}\r\n`;
  const headers = replyHeaders(reply, body.length);
  for (let i = 0; i < headers.length; i += 2) head += `${headers[i] ?? ''}: ${headers[i + 1] ?? ''}\r\n`;
  return `${head}\r\n${body.toString('latin1')}`;
}

/** Routes, limits and dependencies of the fast path. */
export interface DirectConnectionsOptions {
  routes: FastPathRoute[];
  log: Log;
  /** Receives each request whose body is malformed. */
  onRefusal: OnRefusal;
  clock: Clock;
  /** Maximum time in milliseconds that one event-loop iteration spends on queued requests. */
  turnBudgetMs: number;
  /** Time in milliseconds after which a connection is closed if nothing was received or sent on it. */
  idleTimeoutMs: number;
  load: ConnectionLoad;
  /** Passes a connection to Node's server. */
  delegate: (socket: Socket) => void;
}

/**
 * The connections that the fast path serves. A connection is removed when it closes or is passed to Node's
 * server.
 */
export class DirectConnections {
  private readonly sockets = new Set<Socket>();
  private readonly routes: ReadonlyMap<string, FastPathRoute>;
  private readonly queue: TimeSlicedQueue;

  constructor(private readonly options: DirectConnectionsOptions) {
    this.queue = new TimeSlicedQueue(options.clock, options.turnBudgetMs);
    this.routes = new Map(options.routes.map((route) => [`${route.method} ${route.path} HTTP/1.1`, route]));
  }

  /**
   * Serves a new connection. If a request arrives that the fast path cannot serve, passes the connection and
   * this request to Node's server, which serves the connection from then on.
   */
  accept(socket: Socket): void {
    this.add(socket);
    let isAwaitingReply = false;
    const onData = (bytes: Buffer): void => {
      if (isAwaitingReply) {
        // Clients of the fast path must not pipeline. A client that sends before it has received its response
        // violates the protocol.
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
      isAwaitingReply = true;
      this.serve(socket, route, request.body, (reply) => {
        if (!isAwaitingReply || socket.destroyed) return;
        isAwaitingReply = false;
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

  /** Closes all connections immediately, except those that were passed to Node's server. */
  closeAll(): void {
    for (const socket of this.sockets) socket.destroy();
  }

  private serve(socket: Socket, route: FastPathRoute, body: Buffer, answer: (reply: Reply) => void): void {
    const run = (): void => handleFastPath({ route, bytes: body, socket, answer }, this.options);
    if (route.queued === true) this.queue.add({ isStillNeeded: () => !socket.destroyed, run });
    else run();
  }

  private respond(socket: Socket, route: FastPathRoute, reply: Reply): void {
    const shouldClose = reply.close === true || (route.queued === true && this.options.load.isNearLimit);
    socket.write(responseText(shouldClose ? { ...reply, close: true } : reply), 'latin1');
    if (shouldClose) socket.end();
  }

  /**
   * Passes a connection to Node's server, together with the bytes already read from the socket. The caller
   * must have removed its listeners from the socket.
   */
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
