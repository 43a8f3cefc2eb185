/** The HTTP server of a controller, and the short path that reports and health checks take through it. */
import { type IncomingMessage, type Server, type ServerResponse, createServer } from 'node:http';
import type { Socket } from 'node:net';
import { decode, encode } from '../wire/codec.js';
import { DirectConnections } from './direct-connections.js';
import type { Clock } from './clock.js';
import type { Log } from './log.js';

export interface Reply {
  status: number;
  body?: unknown;
  retryAfterS?: number;
  /** The connection ends with this answer: its user is better off with another controller. */
  close?: boolean;
}

export interface Route {
  method: 'GET' | 'POST';
  path: RegExp;
  /** `body` is undefined where the request has none; `params` are the groups of `path`. */
  handle: (body: unknown, params: string[]) => Reply | Promise<Reply>;
}

/**
 * A route that Koa is not asked about, for what comes most often by far: reports and health checks. It answers through a
 * call instead of a promise, so that the usual one is over within the turn that brought it.
 */
export interface LeanRoute {
  method: 'GET' | 'POST';
  path: string;
  /** It comes in numbers, and may wait for a turn of the event loop while there are too many at a time. */
  queued?: boolean;
  handle: (body: unknown, answer: (reply: Reply) => void) => void;
}

/** Largest body of a request, in bytes. */
export const bodyLimit = 64 * 1024;
export const tooLargeReply: Reply = { status: 413, body: { error: 'body over 64 KiB' }, close: true };
export const malformedReply: Reply = { status: 400, body: { error: 'not MessagePack' } };
export const troubleReply: Reply = { status: 503, body: { error: 'trouble' }, retryAfterS: 1 };

/** Names and values in turn. */
export function replyHeaders(reply: Reply, bodyBytes: number): string[] {
  const headers = ['Content-Type', 'application/msgpack', 'Content-Length', String(bodyBytes)];
  if (reply.retryAfterS !== undefined) headers.push('Retry-After', String(Math.ceil(reply.retryAfterS)));
  if (reply.close === true) headers.push('Connection', 'close');
  return headers;
}

/**
 * Always a short answer in one piece: as text of one byte a character, head and body go out in one write, which takes a
 * fraction of what the framework's own way takes.
 */
export function send(response: ServerResponse, reply: Reply): void {
  const body = encode(reply.body ?? {});
  // A date would cost a timer a second and is of use to nobody here.
  response.sendDate = false;
  response.writeHead(reply.status, replyHeaders(reply, body.length));
  response.end(body.toString('latin1'), 'latin1');
}

/** Hands a request's whole body to its route. */
export function handleLean(
  route: LeanRoute,
  bytes: Buffer | undefined,
  answer: (reply: Reply) => void,
  log: Log,
): void {
  let body: unknown;
  try {
    body = bytes && bytes.length > 0 ? decode(bytes) : undefined;
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

function serveLean(route: LeanRoute, request: IncomingMessage, response: ServerResponse, log: Log): void {
  const answer = (reply: Reply): void => {
    if (!response.headersSent && !response.destroyed) send(response, reply);
  };
  if (route.method === 'GET') return handleLean(route, undefined, answer, log);
  let bytes: Buffer | undefined;
  request.on('data', (chunk: Buffer) => {
    bytes = bytes ? Buffer.concat([bytes, chunk]) : chunk;
    if (bytes.length <= bodyLimit) return;
    request.pause();
    answer(tooLargeReply);
  });
  request.on('end', () => handleLean(route, bytes, answer, log));
  // A connection that is lost takes its report with it: the worker sends another.
  request.on('error', () => undefined);
}

export type RequestHandler = (request: IncomingMessage, response: ServerResponse) => void;

export interface ListenOptions {
  lean: LeanRoute[];
  /** Loads what serves all other requests; called with the first of them. */
  loadHandler: () => Promise<RequestHandler>;
  log: Log;
  host: string;
  port: number;
  clock: Clock;
  maxConnections: number;
  idleMs: number;
  /** How long one turn of the event loop may serve queued requests. */
  sliceMs: number;
}

/** Serves until the signal fires; open connections are then closed. */
export async function serveWeb(options: ListenOptions, signal: AbortSignal): Promise<void> {
  let handler: Promise<RequestHandler> | undefined;
  const serveOther: RequestHandler = (request, response) => {
    handler ??= options.loadHandler();
    handler
      .then((handle) => handle(request, response))
      .catch((error: unknown) => {
        options.log.error({ event: 'request-failed', path: request.url, err: error }, 'request failed');
        send(response, troubleReply);
      });
  };
  const lean = new Map(options.lean.map((route) => [`${route.method} ${route.path}`, route]));
  const server: Server = createServer((request, response) => {
    const route = lean.get(`${request.method} ${request.url}`);
    if (route) serveLean(route, request, response, options.log);
    else serveOther(request, response);
  });
  // What the ordinary server does with a connection comes after the short path has declined it.
  const [accept] = server.listeners('connection') as ((socket: Socket) => void)[];
  const delegate = (socket: Socket): void => accept?.call(server, socket);
  const direct = new DirectConnections({ ...options, routes: options.lean, delegate });
  server.removeAllListeners('connection');
  server.on('connection', (socket: Socket) => direct.take(socket));
  server.maxConnections = options.maxConnections;
  // Users poll every few seconds: closing a connection between two polls would cost them a failed request.
  server.keepAliveTimeout = options.idleMs;
  server.headersTimeout = options.idleMs;
  await new Promise<void>((resolve, reject) => {
    server.on('error', reject);
    signal.addEventListener(
      'abort',
      () => {
        server.close(() => resolve());
        server.closeAllConnections();
        direct.closeAll();
      },
      { once: true },
    );
    server.listen(options.port, options.host);
  });
}
