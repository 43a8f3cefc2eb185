/** The HTTP server of a controller. Heartbeats and health checks take a fast path past the framework. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import type { Clock } from './clock.js';
import type { ConnectionLoad } from './connection-load.js';
import { DirectConnections } from './direct-connections.js';
import type { Log } from './log.js';
import {
  type FastPathRoute,
  handleFastPath,
  maxBodyBytes,
  type Reply,
  send,
  tooLargeReply,
  unavailableReply,
} from './replies.js';

/** Answers a request of Node's server. It handles its own failures. */
export type RequestHandler = (request: IncomingMessage, response: ServerResponse) => void;

/** What the server serves, and its limits. */
export interface HttpServerOptions {
  fastPathRoutes: FastPathRoute[];
  /** Loads the handler of all other requests; called once, with the first of them. */
  loadHandler: () => Promise<RequestHandler>;
  log: Log;
  host: string;
  port: number;
  clock: Clock;
  load: ConnectionLoad;
  /** A connection without a request for so long is closed. */
  idleTimeoutMs: number;
  /** How long one turn of the event loop may serve queued requests. */
  turnBudgetMs: number;
}

/** Serves until the signal fires; open connections are then closed. Rejects where the server cannot listen. */
export async function serveHttp(options: HttpServerOptions, signal: AbortSignal): Promise<void> {
  const server = createServer(createRequestHandler(options));
  const direct = acceptDirectly(server, options);
  server.maxConnections = options.load.maxConnections;
  // Users poll every few seconds: closing a connection between two polls would cost them a failed request.
  server.keepAliveTimeout = options.idleTimeoutMs;
  server.headersTimeout = options.idleTimeoutMs;
  await new Promise<void>((resolve, reject) => {
    server.on('error', reject);
    const stop = (): void => {
      server.close(() => resolve());
      server.closeAllConnections();
      direct.closeAll();
    };
    signal.addEventListener('abort', stop, { once: true });
    server.listen(options.port, options.host);
  });
}

/** Passes new connections to the fast path first; Node's server takes them over where that declines them. */
function acceptDirectly(server: Server, options: HttpServerOptions): DirectConnections {
  const [accept] = server.listeners('connection') as ((socket: Socket) => void)[];
  const delegate = (socket: Socket): void => accept?.call(server, socket);
  const direct = new DirectConnections({ ...options, routes: options.fastPathRoutes, delegate });
  server.removeAllListeners('connection');
  server.on('connection', (socket: Socket) => direct.accept(socket));
  return direct;
}

/** Serves the requests that have come to Node's server: also those of the fast path that did not arrive in one piece. */
function createRequestHandler(options: HttpServerOptions): RequestHandler {
  const routes = new Map(options.fastPathRoutes.map((route) => [`${route.method} ${route.path}`, route]));
  const serveOther = createLazyHandler(options);
  return (request, response) => {
    const route = routes.get(`${request.method ?? ''} ${request.url ?? ''}`);
    if (route) serveFastPath(route, request, response, options.log);
    else serveOther(request, response);
  };
}

function createLazyHandler({ loadHandler, log }: HttpServerOptions): RequestHandler {
  let handler: Promise<RequestHandler> | undefined;
  return (request, response) => {
    handler ??= loadHandler();
    handler
      .then((handle) => handle(request, response))
      .catch((error: unknown) => {
        log.error({ event: 'request-failed', path: request.url, err: error }, 'request failed');
        send(response, unavailableReply);
      });
  };
}

function serveFastPath(
  route: FastPathRoute,
  request: IncomingMessage,
  response: ServerResponse,
  log: Log,
): void {
  const answer = (reply: Reply): void => {
    if (!response.headersSent && !response.destroyed) send(response, reply);
  };
  if (route.method === 'GET') {
    handleFastPath(route, undefined, answer, log);
    return;
  }
  let bytes: Buffer | undefined;
  request.on('data', (chunk: Buffer) => {
    bytes = bytes ? Buffer.concat([bytes, chunk]) : chunk;
    if (bytes.length <= maxBodyBytes) return;
    request.pause();
    answer(tooLargeReply);
  });
  request.on('end', () => handleFastPath(route, bytes, answer, log));
  // A heartbeat is lost with its connection: the worker sends another.
  request.on('error', () => undefined);
}
