/** The HTTP server of a controller, and the short path that reports and health checks take through it. */
import { type IncomingMessage, type Server, type ServerResponse, createServer } from 'node:http';
import type { Socket } from 'node:net';
import { DirectConnections } from './direct-connections.js';
import type { Clock } from './clock.js';
import type { ConnectionLoad } from './connection-load.js';
import type { Log } from './log.js';
import {
  type LeanRoute,
  type Reply,
  bodyLimit,
  handleLean,
  send,
  tooLargeReply,
  troubleReply,
} from './replies.js';

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
  load: ConnectionLoad;
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
  server.maxConnections = options.load.most;
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
